package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// recentChanges is how many of the latest changes are sent to a daemon with which
// no heartbeat has been exchanged yet. What else differs, the digests show.
const recentChanges = 8

// Position identifies a point in a daemon's list of changes. Positions of one
// incarnation are greater than those of the host's earlier ones. Zero means
// unknown.
type Position uint64

// changes lists the hosts in the order in which their states last changed here, so
// that every partner is sent each change once and not what it is known to have. It
// is not safe for concurrent use.
type changes struct {
	// log is sorted by position. An entry whose position is not the host's latest
	// one is skipped.
	log    []change
	latest map[HostID]Position
	// first is a position before all changes, last that of the latest one.
	first, last Position
}

type change struct {
	at Position
	id HostID
	// knownBy holds the daemons that sent this update.
	knownBy []HostID
}

func newChanges(first Position) changes {
	return changes{latest: map[HostID]Position{}, first: first, last: first}
}

// put adds a change of a host as the latest one. It was sent by source, which is
// empty if this daemon has found it itself.
func (c *changes) put(id, source HostID) {
	c.last++
	c.latest[id] = c.last
	added := change{at: c.last, id: id}
	if source != "" {
		added.knownBy = []HostID{source}
	}
	c.log = append(c.log, added)
	if len(c.log) > 2*len(c.latest)+recentChanges {
		c.log = slices.DeleteFunc(c.log, func(one change) bool { return !c.current(one) })
	}
}

func (c *changes) current(one change) bool { return c.latest[one.id] == one.at }

// markKnown records that a daemon knows the latest change of a host.
func (c *changes) markKnown(id, by HostID) {
	i, ok := c.search(c.latest[id])
	if ok && by != "" && !slices.Contains(c.log[i].knownBy, by) {
		c.log[i].knownBy = append(c.log[i].knownBy, by)
	}
}

func (c *changes) search(at Position) (int, bool) {
	return slices.BinarySearchFunc(c.log, at, func(one change, at Position) int { return cmp.Compare(one.at, at) })
}

func (c *changes) remove(id HostID) { delete(c.latest, id) }

// after returns up to n hosts that have changed after a position and that the peer
// is not known to have, and up to where the list was read.
func (c *changes) after(position Position, peer HostID, n int) (ids []HostID, upTo Position) {
	i, found := c.search(c.start(position))
	if found {
		i++
	}
	for ; i < len(c.log); i++ {
		one := c.log[i]
		if !c.current(one) || slices.Contains(one.knownBy, peer) {
			continue
		}
		if len(ids) == n {
			return ids, one.at - 1
		}
		ids = append(ids, one.id)
	}
	return ids, c.last
}

// start returns the position after which changes are sent. A position that is not
// one of this incarnation is replaced by the one before the recent changes.
func (c *changes) start(position Position) Position {
	switch {
	case position > 0 && position >= c.first && position <= c.last:
		return position
	case len(c.log) > recentChanges:
		return c.log[len(c.log)-recentChanges].at - 1
	}
	return c.first
}

// ChangesAfter returns up to n updates of hosts that have changed after a position
// and that the given daemon has not sent itself, and the position up to which they
// are complete.
func (v *View) ChangesAfter(position Position, peer HostID, n int) ([]Update, Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids, upTo := v.changes.after(position, peer, n)
	updates := make([]Update, 0, len(ids))
	for _, id := range ids {
		updates = append(updates, v.hosts[id].update)
	}
	return updates, upTo
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
