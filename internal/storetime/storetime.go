// Package storetime bounds what time it is on the steady clock of the
// platform's store, so that a daemon knows how old its facts may be, also
// while it can't reach the store.
package storetime

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
)

// Instant is a moment on the store's steady clock, in milliseconds.
type Instant int64

// Add returns the moment that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d/time.Millisecond) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i-j) * time.Millisecond }

// drift is by how much two steady clocks may part, as a share of the time.
// Quartz stays within 100 millionths; both ends may err.
const drift = 200e-6

// Clock bounds the store's time from above. It is safe for concurrent use.
type Clock struct {
	boot boottime.Clock

	mu    sync.Mutex
	known bool
	// ahead is by how much the store's clock may be ahead of the local one,
	// as observed at the local time at.
	ahead time.Duration
	at    time.Duration
}

// NewClock returns a clock that knows nothing yet.
func NewClock(boot boottime.Clock) *Clock { return &Clock{boot: boot} }

// Observe takes in that the store's clock showed now, or less, at some moment
// after the local time sent. A call's own duration only widens the bound: the
// moment is taken as early as it can have been.
func (c *Clock) Observe(sent time.Duration, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := time.Duration(now)*time.Millisecond - sent
	local := c.boot.Now()
	if c.known && c.aheadAt(local) <= ahead {
		return
	}
	c.known = true
	c.ahead = ahead
	c.at = local
}

// Latest returns the latest that it may be at the store; false if nothing is
// known.
func (c *Clock) Latest() (Instant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0, false
	}
	local := c.boot.Now()
	return Instant((local + c.aheadAt(local)) / time.Millisecond), true
}

func (c *Clock) aheadAt(local time.Duration) time.Duration {
	return c.ahead + time.Duration(drift*float64(local-c.at))
}
