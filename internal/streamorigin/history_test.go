package streamorigin

import (
	"encoding/json"
	"os"
	"slices"
	"testing"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

// historyCase is a test case of testdata/histories.json: rows as of 1000 s, and what they
// say of the pool llm and of a request to h.example/chat/x/y.
type historyCase struct {
	Name string
	Rows []struct {
		Kind          kind
		Owner, Member string
		SinceS, LeftS int64
		// Key and Raw replace the key and the value.
		Key string
		Raw *string
	}
	Versions          []table.SoftwareVersion
	Pools             []table.Pool
	UncertainVersions bool
	UncertainPools    bool
}

const historyNowMs = 1000_000

func (tt *historyCase) history(t *testing.T) *History {
	t.Helper()
	rows := platform.Rows{NowMs: historyNowMs}
	for i, r := range tt.Rows {
		o := Origin{r.Kind, r.Owner, r.Member}
		value, err := json.Marshal(record{r.Kind, r.Owner, r.Member, 1000 * r.SinceS, 1000 * r.LeftS})
		if err != nil {
			t.Fatal(err)
		}
		one := platform.FeedRow{Key: o.key(), Version: uint64(i + 1), Value: value}
		if r.Key != "" {
			one.Key = r.Key
		}
		if r.Raw != nil {
			one.Value = []byte(*r.Raw)
		}
		rows.Rows = append(rows.Rows, one)
	}
	return NewHistory(rows)
}

// Guards against a history that lacks an origin of streams which may still be taken up, and
// against one that has too many.
func TestHistory(t *testing.T) {
	data, err := os.ReadFile("testdata/histories.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []historyCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tt := range cases {
		t.Run(tt.Name, func(t *testing.T) {
			h := tt.history(t)
			versions, certain := h.Versions("llm")
			if certain == tt.UncertainVersions || certain && !slices.Equal(versions, tt.Versions) {
				t.Errorf("versions %q, %v, want %q", versions, certain, tt.Versions)
			}
			pools, certain := h.Pools("h.example", "/chat/x/y")
			if certain == tt.UncertainPools || certain && !slices.Equal(pools, tt.Pools) {
				t.Errorf("pools %q, %v, want %q", pools, certain, tt.Pools)
			}
		})
	}
}
