package placement

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
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

// Guards against unused slots and early refusals in a pool of two cells with two
// engines each. Requests must go to the cell with the lower published pressure, and
// a request that a full cell refuses must be tried at the other one before the
// caller is refused.
func TestRequestsSpreadOverCells(t *testing.T) {
	const engines, queue = 4, 2
	s := newClusterWith(t, 3, 2, testTable(engines, queue))
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
