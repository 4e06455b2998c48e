package facts

import (
	"time"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// restoreGuardTime is how long, after the store was restored from a backup,
// its old rows can't revive endpoints that have departed since. By then live
// endpoints have written their rows again, and the rows of others have lapsed.
const restoreGuardTime = 6 * time.Second

// restoreGuard remembers, when the store is restored from a backup, which
// endpoints were draining or gone before. It affects only which endpoints this
// daemon uses, never what it sends to others.
type restoreGuard struct {
	// until is when the guard ends.
	until storetime.Instant
	// listPosition is the position of the list with which the era began here.
	// Rows that changed after it were written in the new era.
	listPosition Position
	// departed holds the rows of these endpoints from before the restore.
	departed map[EndpointID]Endpoint
}

// begin records the endpoints as they counted before the era.
func (r *restoreGuard) begin(before []Endpoint, listed Position, until storetime.Instant) {
	ended := map[EndpointID]Endpoint{}
	for _, e := range before {
		if e.Draining || e.Gone {
			e.Sequence = max(e.Sequence, r.departed[e.ID].Sequence)
			ended[e.ID] = e
		}
	}
	r.until, r.listPosition, r.departed = until, listed, ended
}

// apply returns a row as it counts, since the backup may be older than what
// was known.
func (r *restoreGuard) apply(e Endpoint, now storetime.Instant) Endpoint {
	old, ok := r.departed[e.ID]
	if !ok || now >= r.until || e.Changed > r.listPosition || e.Born != old.Born || e.Sequence > old.Sequence {
		return e
	}
	e.Draining = e.Draining || old.Draining
	e.Gone = e.Gone || old.Gone
	return e
}

// expire ends the guard when its time is over, and returns the endpoints whose
// rows count from then on.
func (r *restoreGuard) expire(now storetime.Instant) (ids []EndpointID) {
	if r.departed == nil || now < r.until {
		return nil
	}
	for id := range r.departed {
		ids = append(ids, id)
	}
	r.departed = nil
	return ids
}

// beginEra begins the restore guard and a grace period if an update shows that
// the store was restored from a backup. It must be called before the update is
// merged, with the lock held.
func (h *Holder) beginEra(n EndpointUpdate) (from platform.Era, began bool) {
	from = h.registry.position.Era()
	if h.registry.position == 0 || n.Position.Era() <= from {
		return from, false
	}
	now := h.now()
	before := make([]Endpoint, 0, len(h.registry.rows))
	for _, e := range h.registry.rows {
		before = append(before, h.effective(e, now))
	}
	h.restoreGuard.begin(before, n.Position, n.AsOf.Add(restoreGuardTime))
	h.grace.until = max(h.grace.until, n.AsOf.Add(graceTime))
	return from, true
}
