package facts

import (
	"time"

	"github.com/beechhead/beechhead/internal/storetime"
)

const (
	// outage is how old the knowledge of endpoints must be for the next news to
	// count as the store's return, if reads have failed meanwhile, and
	// longOutage if it is not known whether any has.
	outage     = 1500 * time.Millisecond
	longOutage = 3 * time.Second
	// returnGrace is how long after the store's return an endpoint whose
	// registration has lapsed may still come back: endpoints register again
	// within about two seconds.
	returnGrace = 2200 * time.Millisecond
)

// grace keeps endpoints whose registrations lapse around an outage of the
// store: if they were taken for gone at once, every outage would empty the
// pools. It decides only what this daemon uses, and never what it tells.
type grace struct {
	// until is the time up to which an endpoint that goes is kept.
	until storetime.Instant
	// kept has until when each endpoint is kept.
	kept map[EndpointID]storetime.Instant
}

// note takes in that a row changed.
func (g *grace) note(e Endpoint, now storetime.Instant) {
	delete(g.kept, e.ID)
	if e.Gone && !e.Draining && e.Address != "" && now < g.until {
		g.kept[e.ID] = g.until
	}
}

// keeps tells whether an endpoint that is gone still counts as registered.
func (g *grace) keeps(id EndpointID, now storetime.Instant) bool {
	until, ok := g.kept[id]
	return ok && now < until
}

// expire forgets the endpoints whose time is over, and returns them.
func (g *grace) expire(now storetime.Instant) (gone []EndpointID) {
	for id := range g.kept {
		if !g.keeps(id, now) {
			delete(g.kept, id)
			gone = append(gone, id)
		}
	}
	return gone
}
