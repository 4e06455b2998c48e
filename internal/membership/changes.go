package membership

import "math/rand/v2"

// sendsPerChange is how often a daemon sends a change: once on each of the about
// 2 × Rings connections on which it exchanges heartbeats, and twice more to make
// up for lost messages. What is still missed shows as a difference of digests.
const sendsPerChange = 2*Rings + 2

// changes are the hosts with an update to send. The update is read from the view
// when it is sent, so each host is listed at most once. Taking an update costs the
// same however many are listed.
type changes struct {
	byHost map[HostID]change
	// queues hold the hosts by their change. An entry that no longer equals the
	// host's change is skipped.
	queues map[change][]HostID
}

type change struct {
	// sendsLeft is how often the change has yet to be sent; it is positive.
	sendsLeft int
	urgent    bool
}

func newChanges() changes {
	return changes{byHost: map[HostID]change{}, queues: map[change][]HostID{}}
}

// put queues a change. A change that is queued as urgent stays urgent.
func (c *changes) put(id HostID, urgent bool) {
	old, ok := c.byHost[id]
	next := change{sendsLeft: sendsPerChange, urgent: urgent || old.urgent}
	if !ok || old != next {
		c.set(id, next)
	}
}

func (c *changes) set(id HostID, next change) {
	c.byHost[id] = next
	c.queues[next] = append(c.queues[next], id)
}

// take returns up to n hosts whose updates are to be sent, urgent changes first
// and then those sent least often, and counts one send of each.
func (c *changes) take(n int) []HostID {
	ids := make([]HostID, 0, min(n, len(c.byHost)))
	var resend []change
	for _, urgent := range []bool{true, false} {
		for left := sendsPerChange; left > 0; left-- {
			for one := (change{left, urgent}); len(ids) < n && len(c.queues[one]) > 0; {
				id := c.queues[one][0]
				c.queues[one] = c.queues[one][1:]
				if c.byHost[id] == one {
					delete(c.byHost, id)
					ids, resend = append(ids, id), append(resend, change{left - 1, urgent})
				}
			}
		}
	}
	for i, id := range ids {
		if resend[i].sendsLeft > 0 {
			c.set(id, resend[i])
		}
	}
	return ids
}

// TakeChanges returns up to n updates to send in one message.
func (v *View) TakeChanges(n int) []Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	var updates []Update
	for _, id := range v.changes.take(n) {
		if e := v.hosts[id]; e != nil {
			updates = append(updates, e.update)
		}
	}
	return updates
}

// SuspectOrGone returns the update of a host, and true, if its given incarnation is
// known as suspect or gone.
func (v *View) SuspectOrGone(h Host) (Update, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.hosts[h.ID]
	if e == nil || e.update.Status == Alive || e.update.Host.Incarnation != h.Incarnation {
		return Update{}, false
	}
	return e.update, true
}

// Sample returns updates of up to n hosts that are not gone, drawn at random.
func (v *View) Sample(n int) []Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	updates := make([]Update, 0, n)
	for _, i := range rand.Perm(len(v.sorted)) { //nolint:gosec // no secret
		if e := v.sorted[i]; !e.gone() && len(updates) < n {
			updates = append(updates, e.update)
		}
	}
	return updates
}

// All returns an update of every host except this daemon's own.
func (v *View) All() []Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	updates := make([]Update, 0, len(v.hosts))
	for _, e := range v.sorted {
		updates = append(updates, e.update)
	}
	return updates
}
