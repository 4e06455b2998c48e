package placement

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

const slowEngine table.EndpointName = "engine-0"

// newUnevenCluster returns hosts with engines that batch, of which one takes three times
// as long for each event, after their coordinator has seen streams on them.
func newUnevenCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	tbl := testTable(4, 0)
	tbl.Classes[0].Target.FirstToken = table.Duration(300 * time.Millisecond)
	tbl.Classes[0].Target.BetweenTokens = table.Duration(200 * time.Millisecond)
	for i := range tbl.Endpoints {
		tbl.Endpoints[i].Concurrency, tbl.Endpoints[i].MemoryTokens = 4, 100_000
	}
	s := newClusterWith(t, hosts, cell.DefaultSize, tbl)
	entry := s.ranked()[2]
	const steps, step = 60, 100 * time.Millisecond
	for range 3 {
		var grants []*Grant
		for range 12 {
			grants = append(grants, s.awaitGrant(s.reserve(entry)))
		}
		for i := range steps {
			for _, g := range grants {
				if g.Endpoint.Name != slowEngine || i%3 == 0 {
					g.RecordToken()
				}
			}
			s.run(step)
		}
		for _, g := range grants {
			events := steps
			if g.Endpoint.Name == slowEngine {
				events /= 3
			}
			g.Release(Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE, Duration: steps * step, Tokens: events})
		}
		s.run(step)
	}
	s.run(4 * time.Second)
	return s
}

// slowdown returns the slowdown of the slow engine as a host knows it.
func (n *node) slowdown(t *testing.T) float64 {
	t.Helper()
	for _, one := range n.coordinator.Status().Cells {
		for _, e := range one.Endpoints {
			if table.EndpointName(e.Endpoint) == slowEngine {
				return e.Slowdown
			}
		}
	}
	t.Fatal("the host does not coordinate the cell")
	return 0
}

// Guards against a coordinator that takes over after a crash and knows nothing of the
// engines until it has measured them again.
func TestNewCoordinatorKnowsEstimates(t *testing.T) {
	for _, hosts := range []int{3, cell.ReportAllMaxHosts + 2} {
		s := newUnevenCluster(t, hosts)
		ranked := s.ranked()
		before := ranked[0].slowdown(t)
		if before < 1.5 {
			t.Fatalf("the slowdown of the slow engine is %.2f", before)
		}
		s.kill(ranked[0])
		s.run(3 * time.Second)
		if after := ranked[1].slowdown(t); after < before*0.9 || after > before*1.1 {
			t.Errorf("%d hosts: the new coordinator takes the slowdown of the slow engine for %.2f, was %.2f", hosts, after, before)
		}
	}
}

// Guards against a coordinator that uses estimates of engines as they were long ago.
func TestNewCoordinatorIgnoresOldEstimates(t *testing.T) {
	s := newUnevenCluster(t, 3)
	ranked := s.ranked()
	s.run(batching.EstimateLifetime)
	s.kill(ranked[0])
	s.run(3 * time.Second)
	if after := ranked[1].slowdown(t); after != 1 {
		t.Errorf("the new coordinator takes the slowdown of the slow engine for %.2f", after)
	}
	if n := ranked[1].coordinator.Status().HandedEstimates.Adopted; n > 0 {
		t.Errorf("%d messages with old estimates were adopted", n)
	}
}
