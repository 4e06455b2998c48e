// Package storetime bounds the current time on the monotonic clock of the
// platform's store, so that a daemon knows how old its facts may be even while
// it can't reach the store.
package storetime

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
)

// Instant is a time on the store's monotonic clock, in milliseconds.
type Instant int64

// Add returns the time d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d/time.Millisecond) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i-j) * time.Millisecond }

// maxDrift is the maximum relative drift between two monotonic clocks. Quartz
// oscillators stay within 100 ppm, and both clocks may be off.
const maxDrift = 200e-6

// Clock maintains an upper bound for the store's time. It is safe for
// concurrent use.
type Clock struct {
	boot boottime.Clock

	mu    sync.Mutex
	known bool
	// offset is the maximum by which the store's clock may be ahead of the local
	// one, as observed at the local time observedAt.
	offset     time.Duration
	observedAt time.Duration
}

// NewClock returns a clock without any observation.
func NewClock(boot boottime.Clock) *Clock { return &Clock{boot: boot} }

// Observe records that the store's clock showed the time shown, or less, at
// some moment after the local time sent. The duration of the call only loosens
// the bound, since the earliest possible moment is assumed.
func (c *Clock) Observe(sent time.Duration, shown Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := time.Duration(shown)*time.Millisecond - sent
	local := c.boot.Now()
	if c.known && c.offsetAt(local) <= ahead {
		return
	}
	c.known = true
	c.offset = ahead
	c.observedAt = local
}

// Latest returns an upper bound for the current time at the store; false
// before the first observation.
func (c *Clock) Latest() (Instant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0, false
	}
	local := c.boot.Now()
	return Instant((local + c.offsetAt(local)) / time.Millisecond), true
}

func (c *Clock) offsetAt(local time.Duration) time.Duration {
	return c.offset + time.Duration(maxDrift*float64(local-c.observedAt))
}
