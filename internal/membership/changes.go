package membership

import (
	"cmp"
	"slices"
)

// sendsPerChange is how often a daemon sends a change: once on each of the about
// 2 × Rings connections on which it exchanges heartbeats, and twice more to make
// up for lost messages. What is still missed shows as a difference of digests.
const sendsPerChange = 2*Rings + 2

// changes are the hosts with an update to send. The update is read from the view
// when it is sent, so each host is listed at most once.
type changes map[HostID]*change

type change struct {
	// sendsLeft is how often the change has yet to be sent; it is positive.
	sendsLeft int
	urgent    bool
}

// put queues a change. A change that is queued as urgent stays urgent.
func (c changes) put(id HostID, urgent bool) {
	if old := c[id]; old != nil && old.urgent {
		urgent = true
	}
	c[id] = &change{sendsLeft: sendsPerChange, urgent: urgent}
}

// take returns up to n hosts whose updates are to be sent, urgent changes first
// and then those sent least often, and counts one send of each.
func (c changes) take(n int) []HostID {
	ids := make([]HostID, 0, len(c))
	for id := range c {
		ids = append(ids, id)
	}
	rank := func(id HostID) int {
		if c[id].urgent {
			return 0
		}
		return 1
	}
	slices.SortFunc(ids, func(a, b HostID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(c[b].sendsLeft, c[a].sendsLeft), cmp.Compare(a, b))
	})
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		c[id].sendsLeft--
		if c[id].sendsLeft == 0 {
			delete(c, id)
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

// All returns an update of every host except this daemon's own.
func (v *View) All() []Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	updates := make([]Update, 0, len(v.hosts))
	for _, e := range v.hosts {
		updates = append(updates, e.update)
	}
	return updates
}
