// Package tick aligns the periodic work of a process. Timers that expire at the same
// time share a wake-up, which on a small host costs more than the work itself.
package tick

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Grid returns timers that expire at multiples of their interval after its start.
// It is safe for concurrent use.
type Grid struct {
	clock clockwork.Clock
	start time.Time
}

// NewGrid returns a grid that starts now.
func NewGrid(clock clockwork.Clock) *Grid { return &Grid{clock: clock, start: clock.Now()} }

// After returns a channel that receives at the next multiple of the interval, which
// must be positive.
func (g *Grid) After(interval time.Duration) <-chan time.Time {
	return g.clock.After(interval - g.clock.Since(g.start)%interval)
}
