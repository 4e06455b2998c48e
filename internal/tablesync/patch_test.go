package tablesync

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/pkg/table"
)

// tableOf returns a table with the given number of accounts and with other rows
// in proportion to the design capacity of 6,600 accounts.
func tableOf(accounts int) *table.Table {
	t := &table.Table{Classes: []table.Class{}, Endpoints: []table.Endpoint{}, Accounts: []table.Account{}}
	for i := range accounts * 910 / 6600 {
		t.Endpoints = append(t.Endpoints, table.Endpoint{
			Name: table.EndpointName(fmt.Sprintf("engine-%03d", i)), Kind: table.KindEngine, Pool: table.Pool(fmt.Sprintf("model-%d", i%8)),
			URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250+1), Region: "r", Zone: "z", Concurrency: 32, Adapters: []string{},
		})
	}
	for i := range 24 {
		t.Classes = append(t.Classes, table.Class{
			Name: table.ClassName(fmt.Sprintf("class-%d", i)), Tier: table.Tier(i % 4), Weight: 1,
			Pools: []table.Pool{table.Pool(fmt.Sprintf("model-%d", i%8))}, MaxWait: table.Duration(time.Minute), Idempotent: true,
		})
	}
	for i := range accounts {
		t.Accounts = append(t.Accounts, table.Account{
			Name: table.AccountName(fmt.Sprintf("account-%04d", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			Classes: []table.ClassName{"class-0", "class-1"},
		})
	}
	return t
}

func newTestReplica() *Replica { return NewReplica(clockwork.NewFakeClock(), metric.NewRegistry()) }

func adopt(t *testing.T, k *Replica, v table.Version, tbl *table.Table) {
	t.Helper()
	if err := k.Adopt(v, mustJSON(tbl)); err != nil {
		t.Fatal(err)
	}
}

// change makes one random change: it changes a field, adds a row or deletes a
// row.
func change(rng *rand.Rand, t *table.Table, n int) *table.Table {
	c := t.Clone()
	i := rng.IntN(len(c.Accounts))
	switch rng.IntN(3) {
	case 0:
		c.Classes[rng.IntN(len(c.Classes))].Weight = 2 + rng.IntN(100)
	case 1:
		c.Accounts = append(c.Accounts, table.Account{
			Name: table.AccountName(fmt.Sprintf("new-%d", n)), KeyHashes: []string{}, Classes: []table.ClassName{"class-1"},
		})
	default:
		c.Accounts = slices.Delete(c.Accounts, i, i+1)
	}
	return c
}

// One daemon gets each version of the table directly, the other fetches from it
// occasionally. Both must have the same table, and the bytes transferred per
// edit must be few regardless of the size of the table.
func TestPatchesGiveTheSameTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	first, second := newTestReplica(), newTestReplica()
	tbl := tableOf(400)
	adopt(t, first, 1, tbl)
	adopt(t, second, 1, tbl)
	edits, sent := 0, 0
	for v := table.Version(2); v < 40; v++ {
		tbl = change(rng, tbl, int(v))
		adopt(t, first, v, tbl)
		if edits++; rng.IntN(3) != 0 {
			continue
		}
		f := first.UpdateFor(second.Version(), false)
		for _, p := range f.Patches {
			sent += len(p)
		}
		if len(f.Data) > 0 {
			t.Fatalf("version %d was sent as a whole table", v)
		}
		if err := second.AdoptUpdate(second.Version(), f); err != nil {
			t.Fatal(err)
		}
		if a, b := string(mustJSON(first.Current().Table)), string(mustJSON(second.Current().Table)); a != b || second.Version() != v {
			t.Fatalf("version %d differs", v)
		}
	}
	whole := len(mustJSON(tbl))
	t.Logf("%d bytes for %d edits of a table of %d bytes", sent, edits, whole)
	if sent > whole/10 {
		t.Errorf("%d bytes were sent for %d edits", sent, edits)
	}
}

// A daemon must get the whole table, and the right one, if it has missed more
// versions than are kept, if the rows were reordered, or if its table differs
// from the one that the patches start from.
func TestWholeTableIfPatchesDoNotApply(t *testing.T) {
	tbl := tableOf(400)
	reordered := tbl.Clone()
	slices.Reverse(reordered.Accounts)
	edited := tbl.Clone()
	edited.Classes[0].Weight = 7
	for name, prepare := range map[string]func(a, b *Replica){
		"reordered": func(a, b *Replica) {
			adopt(t, a, 1, tbl)
			adopt(t, b, 1, tbl)
			adopt(t, a, 2, reordered)
		},
		"unknown version": func(a, b *Replica) {
			adopt(t, b, 1, tbl)
			adopt(t, a, 5, tbl)
			adopt(t, a, 6, edited)
		},
		"another table of that version": func(a, b *Replica) {
			adopt(t, a, 1, tbl)
			adopt(t, b, 1, reordered)
			adopt(t, a, 2, edited)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestReplica(), newTestReplica()
			prepare(a, b)
			s := &Propagator{
				Replica: b, Host: "b", Count: func(string) {}, Partners: func() []string { return nil },
				Fetch: func(_ context.Context, _ string, than table.Version, whole bool) (Update, error) {
					return a.UpdateFor(than, whole), nil
				},
			}
			if err := s.FetchFrom(context.Background(), "a"); err != nil {
				t.Fatal(err)
			}
			got, want := mustJSON(b.Current().Table), mustJSON(a.Current().Table)
			if string(got) != string(want) || b.Version() != a.Version() {
				t.Error("the tables differ")
			}
		})
	}
}

// A peer sends invalid patches or a wrong checksum. The active table must not
// change.
func TestInvalidPatchesChangeNothing(t *testing.T) {
	k := newTestReplica()
	adopt(t, k, 1, tableOf(400))
	good, err := json.Marshal(table.Patch{})
	if err != nil {
		t.Fatal(err)
	}
	for name, f := range map[string]Update{
		"no JSON":   {Version: 2, Patches: [][]byte{[]byte("{")}},
		"wrong sum": {Version: 2, Patches: [][]byte{good}, Checksum: 1},
	} {
		if err := k.AdoptUpdate(1, f); err == nil || k.Version() != 1 {
			t.Errorf("%s: error %v, version %d", name, err, k.Version())
		}
	}
	if err := k.AdoptUpdate(0, Update{Version: 2, Patches: [][]byte{good}}); err == nil {
		t.Error("patches to another base version were accepted")
	}
}

// BenchmarkEditAtFullSize measures what an edit costs a daemon that gets it
// from a peer, at design capacity.
func BenchmarkEditAtFullSize(b *testing.B) {
	tbl := tableOf(6600)
	edited := tbl.Clone()
	edited.Classes[0].Weight = 7
	source := newTestReplica()
	for v, t := range []*table.Table{tbl, edited} {
		if err := source.Adopt(table.Version(v+1), mustJSON(t)); err != nil {
			b.Fatal(err)
		}
	}
	for _, whole := range []bool{true, false} {
		f := source.UpdateFor(1, whole)
		name, sent := "whole", len(f.Data)
		if !whole {
			name, sent = "patches", len(f.Patches[0])
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				k := newTestReplica()
				if err := k.Adopt(1, mustJSON(tbl)); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				if err := k.AdoptUpdate(1, f); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent), "bytes")
		})
	}
}
