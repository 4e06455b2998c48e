package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

// edit is a put of a table after a version, or a read of the head if it has
// no number.
type edit struct {
	base table.Version
	n    int
}

// edited is what an edit returned; unknown when its reply was lost.
type edited struct {
	version  table.Version
	n        int
	conflict bool
	unknown  bool
}

// headState is which edit the head is at.
type headState struct {
	version table.Version
	n       int
}

// headModel is what compare-and-set of the table's head promises.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{headState{}} },
	Step: func(state, in, out any) []any { return stepHead(state.(headState), in.(edit), out.(edited)) },
}

func stepHead(s headState, in edit, out edited) []any {
	next := headState{version: in.base + 1, n: in.n}
	fits := s.version == in.base
	switch {
	case in.n == 0 && out.version == s.version && out.n == s.n:
		return []any{s}
	case in.n == 0:
		return nil
	case out.unknown && fits:
		return []any{s, next}
	case out.unknown, out.conflict && !fits:
		return []any{s}
	case !out.conflict && fits && out.version == next.version:
		return []any{next}
	}
	return nil
}

const (
	editors   = 3
	perEditor = 10
	editSeeds = 12
)

// Operators edit through three hosts at once while the store loses requests
// and replies and delivers writes late. No accepted edit may be lost or
// reverted, and each version has one content.
func TestTableHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(editSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			if !porcupine.CheckOperations(headModel.ToModel(), editHistory(t, seed, nil)) {
				t.Error("the history is not linearizable")
			}
		})
	}
}

// The same check must catch a store that does not compare before it sets.
func TestTableWithoutCompareIsCaught(t *testing.T) {
	compare := regexp.MustCompile(`"expect":\d+`)
	for seed := range uint64(editSeeds) {
		p := standin.NewPlatform()
		blind := func(body []byte) []byte {
			head := p.Rows("table")["head"].Version
			return compare.ReplaceAll(body, fmt.Appendf(nil, `"expect":%d`, head))
		}
		if !porcupine.CheckOperations(headModel.ToModel(), editHistoryOn(t, p, seed, blind)) {
			return
		}
	}
	t.Errorf("none of %d histories is caught", editSeeds)
}

func editHistory(t *testing.T, seed uint64, change func([]byte) []byte) []porcupine.Operation {
	return editHistoryOn(t, standin.NewPlatform(), seed, change)
}

// editHistoryOn records a history of all editors.
func editHistoryOn(t *testing.T, p *standin.Platform, seed uint64, change func([]byte) []byte) []porcupine.Operation {
	r := &editRecorder{t: t, began: time.Now()}
	var running sync.WaitGroup
	for id := range editors {
		transport := standin.NewFaultyTransport(p.Handler(), seed*editors+uint64(id))
		transport.Change = change
		store := tablesync.NewStore(platform.NewClient("http://platform", transport, time.Minute))
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		running.Go(func() {
			for i := range perEditor {
				base := r.head(id, store)
				if random.IntN(3) > 0 {
					r.put(id, store, base, id*perEditor+i+1)
				}
			}
			transport.Wait()
		})
	}
	running.Wait()
	for i := range r.history {
		if r.history[i].Output.(edited).unknown {
			// It may have taken effect at any time since.
			r.history[i].Return = r.now()
		}
	}
	return r.history
}

// editRecorder is a history as it is recorded.
type editRecorder struct {
	t     *testing.T
	began time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

func (r *editRecorder) now() int64 { return time.Since(r.began).Nanoseconds() }

func (r *editRecorder) add(client int, in edit, call int64, out edited) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: r.now()})
}

func (r *editRecorder) head(client int, s *tablesync.Store) table.Version {
	call := r.now()
	version, object, err := s.Head(context.Background())
	if err != nil {
		r.t.Error(err)
		return 0
	}
	out := edited{version: version}
	if version > 0 {
		out.n = r.load(s, object)
	}
	r.add(client, edit{}, call, out)
	return version
}

// load returns the number of the edit that an object holds.
func (r *editRecorder) load(s *tablesync.Store, object string) int {
	data, err := s.Load(context.Background(), object)
	var t table.Table
	if err != nil || json.Unmarshal(data, &t) != nil || len(t.Classes) != 1 {
		r.t.Errorf("object %s: %v", object, err)
		return 0
	}
	return t.Classes[0].Weight
}

func (r *editRecorder) put(client int, s *tablesync.Store, base table.Version, n int) {
	call := r.now()
	t := &table.Table{Classes: []table.Class{{Name: "c", Weight: n}}}
	version, err := s.Put(context.Background(), base, t, tablesync.HistoryEntry{EditID: fmt.Sprint(n)})
	out := edited{version: version, n: n}
	switch {
	case errors.Is(err, tablesync.ErrConflict):
		out.conflict = true
	case err != nil:
		out.unknown = true
	}
	r.add(client, edit{base: base, n: n}, call, out)
}
