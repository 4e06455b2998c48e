package replay

import (
	"testing"

	"github.com/beechhead/beechhead/internal/schedule"
)

// Guards against ageing that spends scarce slots on requests which are late
// already, while a burst of long prompts meets few engines.
func TestAgeingCostsLittleInABurst(t *testing.T) {
	t.Parallel()
	const (
		seeds = 4
		// slack is what ageing may cost the class that it serves.
		slack = 0.02
	)
	with, without := 0.0, 0.0
	for seed := range uint64(seeds) {
		s := scenario(t, "summaries-fewer")
		s.Seed += seed
		with += Play(s, schedule.ByTier).Class("summary").Share() / seeds
		s.Disabled = append(s.Disabled, schedule.Ageing)
		without += Play(s, schedule.ByTier).Class("summary").Share() / seeds
	}
	if with < without-slack {
		t.Errorf("summaries earn %.3f of their worth with ageing, %.3f without", with, without)
	}
}
