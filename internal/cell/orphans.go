package cell

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/schedule"
)

const (
	// sweepInterval is the time between two searches for orphans.
	sweepInterval = time.Second
	// orphanSilence is how long a session must be silent for what it holds to
	// be given up, if its host is not known to live.
	orphanSilence = 3 * time.Second
)

// Sweep drops what incarnations hold that have ended, and returns how many such
// incarnations there were. The function alive returns the hosts that live.
//
// A batch can come after news of its daemon's end: it lay in the socket of a
// coordinator that was paused. Nobody ever releases what it reserved, and each
// such grant takes a place for good; one without a first token makes its engine
// look further behind with every second, until no request is sent there any
// more. Events alone can't close that gap, so the whole state is compared with
// the view from time to time.
func (c *Coordinator) Sweep(alive func() *membership.Snapshot) int {
	c.mu.Lock()
	now := c.clock.Now()
	if now.Sub(c.swept) < sweepInterval {
		c.mu.Unlock()
		return 0
	}
	c.swept = now
	c.mu.Unlock()
	orphans := c.orphans(alive(), now)
	for _, h := range orphans {
		c.DropHost(string(h.Host), h.Incarnation)
	}
	return len(orphans)
}

// orphans returns the holders that have ended.
func (c *Coordinator) orphans(living *membership.Snapshot, now time.Time) []schedule.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	var orphans []schedule.Holder
	for _, cell := range c.cells {
		for _, h := range cell.Holders() {
			if c.orphaned(h, living, now) {
				orphans = append(orphans, h)
			}
		}
	}
	return orphans
}

// orphaned tells whether an incarnation has ended: another one lives, or none
// does and it has been silent. One that the view has lost by mistake still
// sends.
func (c *Coordinator) orphaned(h schedule.Holder, living *membership.Snapshot, now time.Time) bool {
	if host, ok := living.Find(membership.HostID(h.Host)); ok {
		return host.Incarnation > h.Incarnation
	}
	s := c.sessions[sessionKey{h.Host, h.Incarnation}]
	return s == nil || now.Sub(s.heard) >= orphanSilence
}
