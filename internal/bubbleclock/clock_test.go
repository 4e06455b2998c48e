package bubbleclock

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against timers that several goroutines run at once, which makes the race
// detector crash.
func TestExpiredTimersDoNotCrashTheRaceDetector(t *testing.T) {
	const goroutines, rounds = 500, 100
	synctest.Test(t, func(*testing.T) {
		c := New()
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for range rounds {
					expired, atOnce := c.NewTimer(time.Millisecond), c.After(0)
					time.Sleep(2 * time.Millisecond)
					<-expired.Chan()
					<-atOnce
				}
			})
		}
		wg.Wait()
	})
}

// Guards against timers that differ from those of package time.
func TestTimers(t *testing.T) {
	for _, c := range []clockwork.Clock{clockwork.NewRealClock(), New()} {
		synctest.Test(t, func(t *testing.T) {
			timer := c.NewTimer(time.Second)
			checkNext(t, "a timer", timer.Chan(), time.Second)
			if timer.Reset(time.Second) {
				t.Error("an expired timer that was received from is running")
			}
			time.Sleep(2 * time.Second)
			if !timer.Stop() {
				t.Error("an expired timer that nobody received from is not running")
			}
			select {
			case <-timer.Chan():
				t.Error("a stopped timer sends")
			default:
			}
			ticker := c.NewTicker(time.Second)
			for range 3 {
				checkNext(t, "a ticker", ticker.Chan(), time.Second)
			}
			ticker.Reset(time.Minute)
			checkNext(t, "a ticker after a reset", ticker.Chan(), time.Minute)
			ticker.Stop()
		})
	}
}

func checkNext(t *testing.T, name string, c <-chan time.Time, want time.Duration) {
	t.Helper()
	start := time.Now()
	if got := (<-c).Sub(start); got != want {
		t.Errorf("%s sends after %s, want %s", name, got, want)
	}
}
