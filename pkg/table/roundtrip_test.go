package table_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beechhead/beechhead/pkg/table"
)

// A valid table must be unchanged after it is written and read back in either
// form.
func TestRoundTrip(t *testing.T) {
	// A fixed seed makes the result reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		v := &table.Versioned{Version: table.Version(rapid.Uint64().Draw(t, "version")), Table: drawTable(t)}
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		fromJSON, faults := table.ReadJSON(data)
		if len(faults) > 0 {
			t.Fatalf("JSON: %v", faults)
		}
		var b bytes.Buffer
		if err := table.WriteCSV(&b, v); err != nil {
			t.Fatal(err)
		}
		fromCSV, faults := table.ReadCSV(b.Bytes())
		if len(faults) > 0 {
			t.Fatalf("CSV: %v", faults)
		}
		if !reflect.DeepEqual(fromJSON, v) || !reflect.DeepEqual(fromCSV, v) {
			t.Fatalf("wrote %+v\nJSON %+v\nCSV  %+v", v.Table, fromJSON.Table, fromCSV.Table)
		}
	})
}

// drawTable generates a valid table.
func drawTable(t *rapid.T) *table.Table {
	pools := []table.Pool{"assistant", "booking"}
	kinds := map[table.Pool]table.EndpointKind{"assistant": table.KindEngine, "booking": table.KindService}
	v := &table.Table{Classes: []table.Class{}, Endpoints: []table.Endpoint{}, Accounts: []table.Account{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "endpoints") {
		v.Endpoints = append(v.Endpoints, drawEndpoint(t, i, pools[i%2], kinds[pools[i%2]]))
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "classes") {
		v.Classes = append(v.Classes, drawClass(t, i, pools))
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "accounts") {
		a := table.Account{Name: table.AccountName(drawName(t, i)), KeyHashes: []string{}, Classes: []table.ClassName{v.Classes[0].Name}}
		for j := range rapid.IntRange(0, 2).Draw(t, "keys") {
			a.KeyHashes = append(a.KeyHashes, fmt.Sprintf("%064x", 16*i+j))
		}
		v.Accounts = append(v.Accounts, a)
	}
	return v
}

// drawName generates a name that is unique to row i.
func drawName(t *rapid.T, i int) string {
	return rapid.StringMatching(`[a-zA-Z0-9][a-zA-Z0-9._-]{0,20}`).Draw(t, "name") + fmt.Sprintf("_%d", i)
}

func drawEndpoint(t *rapid.T, i int, pool table.Pool, kind table.EndpointKind) table.Endpoint {
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	return table.Endpoint{
		Name: table.EndpointName(drawName(t, i)), Kind: kind, Pool: pool,
		URL:    fmt.Sprintf("http://10.0.0.%d:%d", i+1, rapid.IntRange(1, 65535).Draw(t, "port")),
		Region: rapid.SampledFrom([]string{"", "r1"}).Draw(t, "region"), Zone: "z",
		Concurrency: rapid.IntRange(1, 1<<40).Draw(t, "concurrency"),
		ChecksFence: flag("fence"), CanCancel: flag("cancel"), CanResume: flag("resume"), EchoesID: flag("echo"),
		Adapters: rapid.SliceOfN(rapid.StringMatching(`[a-z0-9][a-z0-9/:@.]{0,9}`), 0, 3).Draw(t, "adapters"),
	}
}

func drawClass(t *rapid.T, i int, pools []table.Pool) table.Class {
	duration := func(name string, low int64) table.Duration {
		return table.Duration(time.Duration(rapid.Int64Range(low, 1<<50).Draw(t, name)))
	}
	count := func(name string) int { return rapid.IntRange(0, 1<<40).Draw(t, name) }
	rate := func(name string) float64 { return rapid.Float64Range(0, 1e300).Draw(t, name) }
	idempotent := rapid.Bool().Draw(t, "idempotent")
	return table.Class{
		Name: table.ClassName(drawName(t, i)), Tier: table.Tier(rapid.IntRange(0, int(table.MaxTier)).Draw(t, "tier")),
		Weight: rapid.IntRange(1, 1000).Draw(t, "weight"), Pools: pools[:rapid.IntRange(1, len(pools)).Draw(t, "pools")],
		Target:     table.Target{FirstToken: duration("first", 0), BetweenTokens: duration("between", 0), WholeAnswer: duration("whole", 0)},
		MaxWait:    duration("wait", 1),
		Limits:     table.Limits{Rate: rate("rate"), Concurrency: count("c"), Queue: count("q"), Tokens: count("t"), AccountRate: rate("ar"), AccountConcurrency: count("ac")},
		Idempotent: idempotent, Preemptible: idempotent && rapid.Bool().Draw(t, "preemptible"),
	}
}

// FuzzReadCSV checks that no input crashes the reader, and that a sheet without
// faults is unchanged after it is written and read back.
func FuzzReadCSV(f *testing.F) {
	f.Add([]byte("kind,name,pools,weight,maxWait\nversion,7\nclass,a,m,1,1s\nengine,e\n"))
	f.Add([]byte("\ufeffkind;name;pool;url;concurrency\r\nengine;e;m;http://10.0.0.1:80;1\r\n;;;\r\n"))
	f.Add([]byte("kind,name,kind,name,\n\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		v, faults := table.ReadCSV(data)
		_ = v.Table.Warnings()
		if len(faults) > 0 {
			return
		}
		var b bytes.Buffer
		if err := table.WriteCSV(&b, v); err != nil {
			t.Fatal(err)
		}
		again, faults := table.ReadCSV(b.Bytes())
		if len(faults) > 0 || !reflect.DeepEqual(v, again) {
			t.Fatalf("%v\n%s\n%+v\n%+v", faults, b.String(), v.Table, again.Table)
		}
	})
}

// FuzzReadJSON does the same for the JSON form, and edits one row of the table.
func FuzzReadJSON(f *testing.F) {
	f.Add([]byte(`{"version":3,"table":{"classes":[{"name":"a","weight":1,"pools":["m"],"maxWait":"1s"}],"endpoints":[{"name":"e","kind":"engine","pool":"m","url":"http://10.0.0.1:80","concurrency":1}],"accounts":[]}}`), "class/a", "target.firstToken", "1s")
	f.Add([]byte(`{"classes":[{"name":1}],"x":null,"classes":[]}`), "class/", "pools", `["a"]`)
	f.Add([]byte(`{"table":null}`), "account/a", "name", `"b"`)
	f.Fuzz(func(t *testing.T, data []byte, row, field, value string) {
		v, faults := table.ReadJSON(data)
		_ = v.Table.Warnings()
		if len(faults) > 0 {
			return
		}
		written, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		again, faults := table.ReadJSON(written)
		if len(faults) > 0 || !reflect.DeepEqual(v, again) {
			t.Fatalf("%v\n%s", faults, written)
		}
		changed, err := v.Table.Set(row, map[string]string{field: value})
		if err == nil && len(changed.Check()) > 0 {
			t.Fatalf("an accepted edit is invalid: %v", changed.Check())
		}
	})
}
