// Package truetime provides the time of day that a temporary jump of the
// machine's clock does not move.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
)

// samples is the number of readings of the time of day that are kept. A jump is
// followed only after it has lasted for half of them.
const samples = 61

// Clock derives the time of day from a clock that never jumps, and from the
// median of recent readings of the machine's time of day. It is safe for
// concurrent use.
type Clock struct {
	boot boottime.Clock
	wall func() time.Time

	mu sync.Mutex
	// offsets are recent differences between the time of day and boot time,
	// oldest first.
	offsets []time.Duration
	median  time.Duration
}

// NewClock returns a clock; wall returns the machine's time of day.
func NewClock(boot boottime.Clock, wall func() time.Time) *Clock {
	c := &Clock{boot: boot, wall: wall}
	c.Sample()
	return c
}

// Sample reads the machine's time of day. It is to be called regularly, about
// once per second.
func (c *Clock) Sample() {
	offset := time.Duration(c.wall().UnixNano()) - c.boot.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.offsets) == samples {
		c.offsets = append(c.offsets[:0], c.offsets[1:]...)
	}
	c.offsets = append(c.offsets, offset)
	sorted := slices.Sorted(slices.Values(c.offsets))
	c.median = sorted[len(sorted)/2]
}

// Now returns the time of day as the time since the start of 1970.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot.Now() + c.median
}
