package cell

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/schedule"
)

const (
	// sweepInterval is the minimum interval between two searches for orphaned
	// grants.
	sweepInterval = time.Second
	// orphanTimeout is how long no batch must have arrived from a host that is
	// not known to be alive before its grants are dropped.
	orphanTimeout = 3 * time.Second
)

// DropOrphans drops the grants and waiting requests of daemon incarnations that have
// terminated. It returns how many it has dropped, counted once per cell. The
// function alive returns the hosts that are alive.
//
// If the coordinator was paused, it can read a batch from its socket after it
// has learned that the sender has terminated. Nobody releases the slots that
// such a batch reserves, so each grant occupies its slot forever. A grant
// without a first token also makes its engine appear further behind with every
// second, until it gets no requests any more. Handling events alone can't
// prevent this, so the state is compared with the membership view periodically.
func (c *Coordinator) DropOrphans(alive func() *membership.Snapshot) int {
	c.mu.Lock()
	now := c.clock.Now()
	if now.Sub(c.lastSweep) < sweepInterval {
		c.mu.Unlock()
		return 0
	}
	c.lastSweep = now
	c.mu.Unlock()
	orphans := c.orphans(alive(), now)
	for _, h := range orphans {
		c.DropHost(string(h.Host), h.Incarnation)
	}
	return len(orphans)
}

// orphans returns the holders whose daemon incarnation has terminated.
func (c *Coordinator) orphans(living *membership.Snapshot, now time.Time) []schedule.HostIncarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var orphans []schedule.HostIncarnation
	for _, cell := range c.cells {
		for _, h := range cell.HostIncarnations() {
			if c.isOrphan(h, living, now) {
				orphans = append(orphans, h)
			}
		}
	}
	return orphans
}

// isOrphan reports whether an incarnation has terminated: a newer incarnation
// of the host is alive, or the host is not alive and has no session or has sent
// nothing for orphanTimeout. A daemon that is missing from the view by mistake
// still sends batches and is kept.
func (c *Coordinator) isOrphan(h schedule.HostIncarnation, living *membership.Snapshot, now time.Time) bool {
	if host, ok := living.Find(membership.HostID(h.Host)); ok {
		return host.Incarnation > h.Incarnation
	}
	s := c.sessions[sessionKey{h.Host, h.Incarnation}]
	return s == nil || now.Sub(s.lastBatch) >= orphanTimeout
}
