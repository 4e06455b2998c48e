package facts

import (
	"time"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// recallTime is how long after the store has come back from a copy its old
// rows don't bring back what has ended since. Endpoints that live have written
// by then what they had written, and entries of others have lapsed.
const recallTime = 6 * time.Second

// recall remembers, when the store comes back from a copy, which endpoints had
// said that they leave, or had left. It decides only what this daemon uses, and
// never what it tells.
type recall struct {
	// until is when it is over.
	until storetime.Instant
	// listed is the position of the list with which the era began here. Rows
	// that changed later were written in the era.
	listed Position
	// ended has the rows from before.
	ended map[EndpointID]Endpoint
}

// begin takes in the endpoints as they counted before the era.
func (r *recall) begin(before []Endpoint, listed Position, until storetime.Instant) {
	ended := map[EndpointID]Endpoint{}
	for _, e := range before {
		if e.Draining || e.Gone {
			e.Sequence = max(e.Sequence, r.ended[e.ID].Sequence)
			ended[e.ID] = e
		}
	}
	r.until, r.listed, r.ended = until, listed, ended
}

// apply returns a row as it counts, though the copy may be older than what was
// known.
func (r *recall) apply(e Endpoint, now storetime.Instant) Endpoint {
	old, ok := r.ended[e.ID]
	if !ok || now >= r.until || e.Changed > r.listed || e.Born != old.Born || e.Sequence > old.Sequence {
		return e
	}
	e.Draining = e.Draining || old.Draining
	e.Gone = e.Gone || old.Gone
	return e
}

// expire ends the recall when its time is over, and returns whose rows count
// from now on.
func (r *recall) expire(now storetime.Instant) (ids []EndpointID) {
	if r.ended == nil || now < r.until {
		return nil
	}
	for id := range r.ended {
		ids = append(ids, id)
	}
	r.ended = nil
	return ids
}

// beginEra takes in that the store has come back from a copy, if the news says
// so. It must be called before the news is merged. The caller holds the lock.
func (h *Holder) beginEra(n News) (from platform.Era, began bool) {
	from = h.registry.position.Era()
	if h.registry.position == 0 || n.Position.Era() <= from {
		return from, false
	}
	now := h.now()
	before := make([]Endpoint, 0, len(h.registry.rows))
	for _, e := range h.registry.rows {
		before = append(before, h.counted(e, now))
	}
	h.recall.begin(before, n.Position, n.AsOf.Add(recallTime))
	h.grace.until = max(h.grace.until, n.AsOf.Add(returnGrace))
	return from, true
}
