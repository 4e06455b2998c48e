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

// maxBackingOff bounds the endpoints that a request excludes because they have asked
// for back-off.
const maxBackingOff = 256

// Notices holds the statements of endpoints in responses to this daemon. It binds this
// daemon whatever coordinators know. It is safe for concurrent use.
type Notices struct {
	Clock clockwork.Clock
	// OnLeaving is called when an endpoint says for the first time that it is
	// leaving.
	OnLeaving func(endpoint table.EndpointName)
	// OnBackoff is called when an endpoint asks for back-off.
	OnBackoff func(endpoint table.EndpointName, backoff time.Duration)

	mu  sync.Mutex
	all map[table.EndpointName]notice
	// lastBackoff is the latest backoffUntil of all.
	lastBackoff time.Time
}

// notice holds the statements of one endpoint.
type notice struct {
	at time.Time
	// pool is the endpoint's pool, if known.
	pool table.Pool
	// backoffUntil is the end of the back-off that the endpoint has asked for.
	backoffUntil time.Time
	// leaving ends only with the endpoint, whose next start has another name.
	leaving bool
}

// Record records what a response of an endpoint announces.
func (n *Notices) Record(e *table.Endpoint, a placement.Announcement) {
	if !a.Leaving && a.Backoff == 0 {
		return
	}
	n.mu.Lock()
	now := n.Clock.Now()
	old := n.all[e.Name]
	if n.all == nil {
		n.all = map[table.EndpointName]notice{}
	}
	next := notice{at: now, pool: e.Pool, backoffUntil: old.backoffUntil, leaving: old.leaving || a.Leaving}
	if until := now.Add(a.Backoff); a.Backoff > 0 && until.After(old.backoffUntil) {
		next.backoffUntil = until
		if until.After(n.lastBackoff) {
			n.lastBackoff = until
		}
	}
	n.all[e.Name] = next
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
	one := n.all[name]
	return !one.leaving && !n.Clock.Now().Before(one.backoffUntil)
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
	for name, one := range n.all {
		if one.pool != pool || one.leaving || !now.Before(one.backoffUntil) {
			continue
		}
		if until.IsZero() || one.backoffUntil.Before(until) {
			until = one.backoffUntil
		}
		if len(names) < maxBackingOff {
			names = append(names, name)
		}
	}
	return names, until
}

// Prune drops old notices of endpoints that are no longer known.
func (n *Notices) Prune(isKnown func(table.EndpointName) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, one := range n.all {
		if n.Clock.Since(one.at) >= noticeLifetime && (!one.leaving || !isKnown(name)) {
			delete(n.all, name)
		}
	}
}
