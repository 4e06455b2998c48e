// Package bubbleclock is a clock for tests that run in a bubble of testing/synctest.
//
// The channel timers of package time corrupt the race detector there: one that has
// expired while nobody waited for it is run by the goroutine that receives from it,
// with a race context that all timers of the bubble share and without a lock
// (runtime.(*timer).maybeRunChan). The clock's timers call functions, which only the
// bubble's root goroutine runs.
package bubbleclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// minDelay keeps a timer from expiring where it is set: that, too, would run it on
// the goroutine that sets it.
const minDelay = time.Nanosecond

type clock struct{ clockwork.Clock }

// New returns a clock that has the time of package time.
func New() clockwork.Clock { return clock{clockwork.NewRealClock()} }

// After returns a channel that receives the time once, after d.
func After(d time.Duration) <-chan time.Time { return newTimer(d, 0).c }

func (clock) After(d time.Duration) <-chan time.Time { return After(d) }

func (clock) NewTimer(d time.Duration) clockwork.Timer { return newTimer(d, 0) }

func (clock) NewTicker(d time.Duration) clockwork.Ticker { return ticker{newTimer(d, d)} }

func (c clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return c.Clock.AfterFunc(max(d, minDelay), f)
}

// timer sends the time to a channel, once or periodically. As in package time,
// nothing sent before Stop or Reset is received after it.
type timer struct {
	c chan time.Time

	mu sync.Mutex
	// period is 0 for a timer that expires once.
	period time.Duration
	// expires is when the timer expires next; zero if it is stopped.
	expires time.Time
	t       *time.Timer
}

func newTimer(d, period time.Duration) *timer {
	t := &timer{c: make(chan time.Time, 1), period: period}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.t = time.AfterFunc(max(d, minDelay), t.expire)
	t.expires = time.Now().Add(max(d, minDelay))
	return t
}

func (t *timer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.expires.IsZero() || now.Before(t.expires) {
		return
	}
	t.expires = time.Time{}
	select {
	case t.c <- now:
	default:
	}
	if t.period > 0 {
		t.set(t.period)
	}
}

// set makes the timer expire after d; t.mu must be locked.
func (t *timer) set(d time.Duration) {
	d = max(d, minDelay)
	t.expires = time.Now().Add(d)
	t.t.Reset(d)
}

// clear stops the timer and reports whether it was running; t.mu must be locked.
func (t *timer) clear() bool {
	running := !t.expires.IsZero()
	t.expires = time.Time{}
	t.t.Stop()
	select {
	case <-t.c:
		running = true
	default:
	}
	return running
}

func (t *timer) Chan() <-chan time.Time { return t.c }

func (t *timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear()
}

func (t *timer) Reset(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.clear()
	t.set(d)
	return running
}

// ticker is a timer that expires periodically.
type ticker struct{ t *timer }

func (t ticker) Chan() <-chan time.Time { return t.t.c }

func (t ticker) Stop() { t.t.Stop() }

func (t ticker) Reset(d time.Duration) {
	t.t.mu.Lock()
	t.t.period = d
	t.t.mu.Unlock()
	t.t.Reset(d)
}
