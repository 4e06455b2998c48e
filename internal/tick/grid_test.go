package tick

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against periodic work of one process that wakes it at different times.
func TestTimersOfAGridExpireTogether(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewGrid(clock)
	clock.Advance(130 * time.Millisecond)
	timers := []<-chan time.Time{g.After(25 * time.Millisecond), g.After(100 * time.Millisecond)}
	clock.Advance(5 * time.Millisecond)
	timers = append(timers, g.After(50*time.Millisecond), g.After(100*time.Millisecond))
	want := []time.Duration{150, 200, 150, 200}
	clock.Advance(14 * time.Millisecond)
	for i, timer := range timers {
		select {
		case <-timer:
			t.Errorf("timer %d expires before its multiple", i)
		default:
		}
	}
	for at := time.Duration(150); at <= 200; at += 50 {
		clock.Advance((at*time.Millisecond - clock.Since(g.start)).Abs())
		for i, timer := range timers {
			if want[i] != at {
				continue
			}
			select {
			case <-timer:
			default:
				t.Errorf("timer %d has not expired after %d ms", i, at)
			}
		}
	}
}
