package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// waitingByCell returns the number of waiting requests in each cell.
func (s *cluster) waitingByCell() map[string]int {
	waiting := map[string]int{}
	for _, n := range s.nodes {
		for _, c := range n.coordinator.Status().Cells {
			waiting[string(c.Cell)] += c.Waiting
		}
	}
	return waiting
}

// nameForEqualCells renames the endpoints so that each cell has the same number of
// them.
func nameForEqualCells(tbl *table.Table, cellSize int) {
	for first := 0; ; first++ {
		for i := range tbl.Endpoints {
			tbl.Endpoints[i].Name = table.EndpointName(fmt.Sprint("engine-", first+i))
		}
		plan := cell.NewPlan(tbl, cellSize)
		if !slices.ContainsFunc(plan.All(), func(id cell.ID) bool { return len(plan.Members(id)) != cellSize }) {
			return
		}
	}
}

// Guards against unused slots and early refusals in a pool of two cells with two
// engines each. Requests must go to the cell with the lower published pressure, and
// a request that a full cell refuses must be tried at the other one before the
// caller is refused.
func TestRequestsSpreadOverCells(t *testing.T) {
	const engines, cellSize, queue = 4, 2, 2
	tbl := testTable(engines, queue)
	nameForEqualCells(tbl, cellSize)
	s := newClusterWith(t, 3, cellSize, tbl)
	entry := s.nodes[0]
	for range engines {
		s.awaitGrant(s.reserve(entry))
		s.run(600 * time.Millisecond)
	}
	for range queue {
		s.assertWaiting(s.reserve(entry), "though all slots are taken")
	}
	for id, n := range s.waitingByCell() {
		if n != queue/2 {
			t.Errorf("%d wait in cell %s, want %d", n, id, queue/2)
		}
	}
	refused := s.reserve(entry)
	s.eventually(refused.isDone)
	if got := outcome.FromError(refused.err); got.Reason != outcome.ReasonQueueFull || got.Outcome != outcome.NotRun {
		t.Errorf("refused for %s with outcome %s, want a full queue and notRun", got.Reason, got.Outcome)
	}
}

// Guards against prompts with the same beginning that are divided among the cells of
// a pool, each of which then computes it again, and against all prompts in one cell.
func TestCellFollowsFromTheSharedPartsOfThePrompt(t *testing.T) {
	const cells, prompts = 8, 64
	tbl := testTable(2*cells, 2)
	nameForEqualCells(tbl, 2)
	entry := newClusterWith(t, 3, 2, tbl).nodes[0]
	first := func(parts ...uint64) cell.ID {
		r := Request{Pool: testPool, Class: testClass}
		for _, id := range parts {
			r.Parts = append(r.Parts, Part{ID: id, Tokens: 100})
		}
		ids, refusal := entry.placer.chooseCells(&r)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return ids[0]
	}
	used := map[cell.ID]bool{}
	for prompt := range uint64(prompts) {
		id := first(prompt, 1)
		used[id] = true
		if other := first(prompt, 2); other != id {
			t.Errorf("prompt %d goes to cell %s and %s", prompt, id, other)
		}
	}
	if len(used) < cells {
		t.Errorf("%d prompts go to %d of %d cells", prompts, len(used), cells)
	}
}
