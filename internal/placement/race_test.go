package placement

import (
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against a data race between a grant that has arrived and a change of
// coordinator, which moves it.
func TestGrantArrivesWhileItMoves(t *testing.T) {
	clock := clockwork.NewFakeClock()
	view := membership.NewView(clock, membership.Host{ID: "host-0"})
	p := NewPlacer(clock, view, nil, metric.NewRegistry(), cell.DefaultSize, "")
	p.Apply(&table.Table{}, cell.EmptyPlan(cell.DefaultSize))
	for range 100 {
		w := &pending{reserve: &peerv1.Reserve{Cell: "c"}, host: view.Self()}
		var wg sync.WaitGroup
		wg.Go(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.renumber(w)
		})
		if g, refusal := p.accept(w, answer{endpoint: "gone"}); g != nil || refusal == nil {
			t.Error("a place on an endpoint that is gone was accepted")
		}
		wg.Wait()
	}
}
