// Package boottime provides a clock that counts the time since the machine's start,
// including the time during which it was suspended. Go's monotonic clock stops
// during suspension, so that stale facts would look fresh.
package boottime

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock measures the time since a fixed moment.
type Clock interface {
	Now() time.Duration
}

// Fake is a clock that tests advance. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the sum of all advances.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// FromClock returns a clock that follows another one, which may stop while the
// machine is suspended. It is meant for simulated time.
func FromClock(c clockwork.Clock) Clock { return follower{clock: c, start: c.Now().Add(-time.Hour)} }

type follower struct {
	clock clockwork.Clock
	start time.Time
}

func (f follower) Now() time.Duration { return f.clock.Since(f.start) }
