package tablesync

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/pkg/table"
)

// FuzzAdopt checks that no table from a peer or the store crashes the replica,
// that only a valid table becomes active, and that the version never decreases.
func FuzzAdopt(f *testing.F) {
	valid := []byte(`{"classes":[{"name":"a","weight":1,"pools":["m"],"maxWait":"1s"}],"endpoints":[{"name":"e","kind":"engine","pool":"m","url":"http://10.0.0.1:80","concurrency":1}],"accounts":[]}`)
	f.Add(uint64(7), valid, uint64(6), valid)
	f.Add(uint64(1), valid, uint64(2), []byte(`{"classes":[{"name":"a"}]}`))
	f.Add(uint64(1), []byte(`{}`), uint64(1<<63), []byte(`null`))
	f.Fuzz(func(t *testing.T, v1 uint64, data1 []byte, v2 uint64, data2 []byte) {
		k := NewReplica(clockwork.NewFakeClock(), metric.NewRegistry())
		for _, one := range []struct {
			version uint64
			data    []byte
		}{{v1, data1}, {v2, data2}} {
			before := k.Version()
			err := k.Adopt(table.Version(one.version), one.data)
			after := k.Version()
			if after < before || err != nil && after != before {
				t.Fatalf("version %d became %d: %v", before, after, err)
			}
			if current := k.Current(); current != nil && len(current.Table.Check()) > 0 {
				t.Fatalf("active table has faults: %v", current.Table.Check())
			}
		}
	})
}
