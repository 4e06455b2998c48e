package forward

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// noticeLifetime is how long a notice is kept after the endpoint is no longer
// known: its registration may come back.
const noticeLifetime = 10 * time.Minute

// registrationTime exceeds the time after which a process has registered, also while the
// store is away. It limits what clocks that differ can do.
const registrationTime = time.Minute

// maxBackingOff bounds the endpoints that a request excludes because they have asked
// for back-off.
const maxBackingOff = 256

// Notices holds the statements of endpoints in responses to this daemon. It binds this
// daemon whatever coordinators know. It is safe for concurrent use.
type Notices struct {
	Clock clockwork.Clock
	// ProcessOf returns the ID under which an endpoint has registered and when its
	// process started. A process that has not registered yet is taken for the one before
	// it, so that what it says counts for its own name as well.
	ProcessOf func(name table.EndpointName) (id string, startedAt time.Time)
	// OnLeaving is called when an endpoint says for the first time that it is
	// leaving.
	OnLeaving func(endpoint table.EndpointName)
	// OnBackoff is called when an endpoint asks for back-off.
	OnBackoff func(endpoint table.EndpointName, backoff time.Duration)

	mu sync.Mutex
	// all holds the notices by the IDs of the endpoints.
	all map[string]notice
	// lastBackoff is the latest backoffUntil of all.
	lastBackoff time.Time
}

// notice holds the statements of one endpoint.
type notice struct {
	name table.EndpointName
	at   time.Time
	// pool is the endpoint's pool, if known.
	pool table.Pool
	// backoffUntil is the end of the back-off that the endpoint has asked for.
	backoffUntil time.Time
	// leaving ends only with the endpoint, whose next start has another name. leavingAt
	// is when it was said first: by a process that had started before.
	leaving   bool
	leavingAt time.Time
}

// of returns what counts for a name.
func (o notice) of(name table.EndpointName, startedAt time.Time) notice {
	if o.name == name {
		return o
	}
	o.name = name
	o.leaving = o.leaving && !o.leavingAt.Before(startedAt)
	if o.at.Before(startedAt) {
		o.backoffUntil = time.Time{}
	}
	return o
}

// Record records what a response of an endpoint announces.
func (n *Notices) Record(e *table.Endpoint, a placement.Announcement) {
	if !a.Leaving && a.Backoff == 0 {
		return
	}
	n.mu.Lock()
	now := n.Clock.Now()
	id, old := n.find(e.Name)
	if n.all == nil {
		n.all = map[string]notice{}
	}
	next := notice{name: e.Name, at: now, pool: e.Pool, backoffUntil: old.backoffUntil, leaving: old.leaving, leavingAt: old.leavingAt}
	if a.Leaving && !old.leaving {
		next.leaving, next.leavingAt = true, now
	}
	if until := now.Add(a.Backoff); a.Backoff > 0 && until.After(old.backoffUntil) {
		next.backoffUntil = until
		if until.After(n.lastBackoff) {
			n.lastBackoff = until
		}
	}
	n.all[id] = next
	n.mu.Unlock()
	if a.Leaving && !old.leaving {
		n.OnLeaving(e.Name)
	}
	if a.Backoff > 0 {
		n.OnBackoff(e.Name, a.Backoff)
	}
}

// MaySend reports whether a request may be sent to an endpoint.
func (n *Notices) MaySend(name table.EndpointName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, one := n.find(name)
	return !one.leaving && !n.Clock.Now().Before(one.backoffUntil)
}

// IsBackingOff reports whether an endpoint is not used only because it has asked for
// back-off.
func (n *Notices) IsBackingOff(name table.EndpointName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, one := n.find(name)
	return !one.leaving && n.Clock.Now().Before(one.backoffUntil)
}

// find returns the notice that counts for a name, and its ID. If a process has registered
// since, its notice gets its name. The caller must hold the mutex.
func (n *Notices) find(name table.EndpointName) (string, notice) {
	id, startedAt := n.ProcessOf(name)
	known, ok := n.all[id]
	if !ok || known.name == name {
		return id, known
	}
	if n.Clock.Since(known.at) >= registrationTime {
		return id, notice{name: name}
	}
	one := known.of(name, startedAt)
	if _, before := n.ProcessOf(known.name); startedAt.After(before) {
		n.all[id] = one
	}
	return id, one
}

// BackingOff returns the endpoints of a pool that have asked for back-off, at most
// maxBackingOff of them, and when the first of them may be used again.
func (n *Notices) BackingOff(pool table.Pool) (names []table.EndpointName, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	if !now.Before(n.lastBackoff) {
		return nil, time.Time{}
	}
	for _, one := range n.all {
		if one.pool != pool || one.leaving || !now.Before(one.backoffUntil) {
			continue
		}
		if until.IsZero() || one.backoffUntil.Before(until) {
			until = one.backoffUntil
		}
		if len(names) < maxBackingOff {
			names = append(names, one.name)
		}
	}
	return names, until
}

// Prune drops old notices of endpoints that are no longer known.
func (n *Notices) Prune(isKnown func(table.EndpointName) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, one := range n.all {
		if n.Clock.Since(one.at) >= noticeLifetime && (!one.leaving || !isKnown(one.name)) {
			delete(n.all, id)
		}
	}
}
