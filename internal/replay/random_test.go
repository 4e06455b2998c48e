package replay

import (
	"testing"

	"github.com/beechhead/beechhead/internal/schedule"
)

// Sites with other engines than any that was looked at: slow and fast readers,
// small and large batches, one engine or forty. On each the decisions must earn
// about what the simplest rule does at least, and on all together clearly more.
func TestRandomSitesAgainstTheSimplestRule(t *testing.T) {
	t.Parallel()
	const (
		sites = 50
		// slack is what chance may cost on a single site.
		slack = 0.05
		// gain is what all sites together must earn beyond the simplest rule.
		gain = 0.05
	)
	ours, simplest := 0.0, 0.0
	for seed := uint64(1); seed <= sites; seed++ {
		s := Random(seed)
		if faults := s.check(); len(faults) > 0 {
			t.Fatalf("seed %d: %v", seed, faults)
		}
		a, b := Play(s, schedule.ByTier).Share(), Play(s, schedule.LeastOutstanding).Share()
		if a < b-slack {
			t.Errorf("seed %d: %.3f, the simplest rule %.3f; %+v", seed, a, b, s.Engines)
		}
		ours, simplest = ours+a/sites, simplest+b/sites
	}
	if ours < simplest+gain {
		t.Errorf("%.3f on all sites, the simplest rule %.3f", ours, simplest)
	}
	t.Logf("%.3f on all sites, the simplest rule %.3f", ours, simplest)
}
