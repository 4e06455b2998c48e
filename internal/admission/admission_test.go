package admission

import (
	"testing"
	"time"
)

// Guards against refusals by the rate of a silence: the pace is not known during one and
// shortly after, and the silence does not lower it.
func TestSilenceIsNoPace(t *testing.T) {
	const tick = 10 * time.Millisecond
	var p Pace
	now := time.Duration(0)
	play := func(d time.Duration, grants int) {
		for end := now + d; now < end; now += tick {
			p.Step(now, grants, true)
		}
	}
	if _, ok := p.PerSecond(now); ok {
		t.Error("the pace of a new queue is known")
	}
	play(3*time.Second, 1)
	play(2*time.Second, 0)
	if _, ok := p.PerSecond(now); ok {
		t.Error("the pace is known during a silence")
	}
	play(settleTime/2, 1)
	if _, ok := p.PerSecond(now); ok {
		t.Error("the pace is known right after a silence")
	}
	play(settleTime, 1)
	if pace, ok := p.PerSecond(now); !ok || pace < 95 || pace > 105 {
		t.Errorf("the pace after a silence is %.0f, %v, want 100", pace, ok)
	}
}

// Guards against callers that are told to return when they can't be served any more, or
// later than they wait.
func TestReturnIsWithinTheTimeLeft(t *testing.T) {
	q := Queue{Pace: 10, Arrivals: 20, Waiting: 100}
	for left := 50 * time.Millisecond; left < 20*time.Second; left += 50 * time.Millisecond {
		for part := 0.; part < 1; part += 0.1 {
			r := Request{Lead: 300 * time.Millisecond, EndTimeout: left}
			after := q.ReturnAfter(&r, part)
			if after > left/returnDivisor || after > 0 && after+r.Lead >= left {
				t.Errorf("with %v left, a caller is told to return after %v", left, after)
			}
		}
	}
}

// A burst is served while the queue empties, a steady overload is not.
func TestBurstsAreServed(t *testing.T) {
	r := Request{Target: time.Second, StartTimeout: 6 * time.Second}
	burst := Queue{Pace: 32, Arrivals: 12, Ahead: 60, Waiting: 60}
	steady := burst
	steady.Arrivals = 48
	if burst.IsHopeless(&r) || !steady.IsHopeless(&r) {
		t.Errorf("hopeless in a burst: %v, in a steady overload: %v", burst.IsHopeless(&r), steady.IsHopeless(&r))
	}
}
