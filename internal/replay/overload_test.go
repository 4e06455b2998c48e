package replay

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/pkg/table"
)

// overloaded returns the scenario of engines at their limit with a multiple of the load
// of long prompts.
func overloaded(t *testing.T, factor float64) *Scenario {
	t.Helper()
	s := scenario(t, "overload")
	s.Bursts = append(s.Bursts, Burst{Class: "merge", For: s.Duration, Factor: factor})
	return s
}

// Guards against a collapse under overload: engines that read prompts without a break
// decode so slowly that streams run until their callers leave, and the slots and the
// decoding are spent in vain.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	t.Parallel()
	const (
		// kept is the part of the best goodput that must be left.
		kept = 0.9
		// vain is the part of all requests that may end at their deadline.
		vain = 0.01
	)
	inTime := func(r *Result) int { return r.Class("merge").InTime + r.Class("notice").InTime }
	best := inTime(Play(overloaded(t, 1), schedule.ByTier))
	for _, factor := range []float64{1.5, 2, 3} {
		r := Play(overloaded(t, factor), schedule.ByTier)
		best = max(best, inTime(r))
		if got := inTime(r); float64(got) < kept*float64(best) {
			t.Errorf("at %v times the load, %d answers are in time, %d at best", factor, got, best)
		}
		if c := r.Class("merge"); float64(c.Expired) > vain*float64(c.Asked) {
			t.Errorf("at %v times the load, %d of %d requests end at their deadline", factor, c.Expired, c.Asked)
		}
	}
}

// Guards against a new coordinator that does not know what still has to end: it gives the
// engines prompts as if they ran nothing, and the streams on them run until their callers
// leave.
func TestStreamsEndInTimeAcrossHandovers(t *testing.T) {
	t.Parallel()
	const seeds = 4
	play := func(disabled ...schedule.Mechanism) (sum ClassResult) {
		s := overloaded(t, 1.5)
		s.Duration /= 2
		for at := 5 * time.Second; at < s.Duration.Std(); at += 5 * time.Second {
			s.Handovers = append(s.Handovers, table.Duration(at))
		}
		s.Disabled = disabled
		for range seeds {
			r := Play(s, schedule.ByTier).Class("merge")
			sum.Asked, sum.InTime, sum.Expired = sum.Asked+r.Asked, sum.InTime+r.InTime, sum.Expired+r.Expired
			s.Seed++
		}
		return sum
	}
	with, without := play(), play(schedule.Completion)
	lost := float64(without.InTime-with.InTime) / float64(with.Asked)
	if with.Expired*2 > without.Expired || lost > worthSlack {
		t.Errorf("%d requests end at their deadline and %d in time; %d and %d if nobody knows", with.Expired, with.InTime, without.Expired, without.InTime)
	}
}

// Requests that state no deadline are decided on as without the mechanism.
func TestCompletionNeedsDeadlines(t *testing.T) {
	play := func(disabled ...schedule.Mechanism) *Result {
		s := overloaded(t, 2)
		s.Duration /= 6
		s.unstated, s.Disabled = true, disabled
		return Play(s, schedule.ByTier)
	}
	with, without := play(), play(schedule.Completion)
	for i, c := range with.Classes {
		if other := without.Classes[i]; c.InTime != other.InTime || c.Late != other.Late || c.Refused != other.Refused || c.Expired != other.Expired {
			t.Errorf("%s: %+v with the mechanism, %+v without", c.Name, c, other)
		}
	}
}
