package facts

import (
	"time"

	"github.com/beechhead/beechhead/internal/storetime"
)

const (
	// outageAge is the minimum age of the endpoint list at which the next
	// successful read counts as the end of a store outage if reads have failed in
	// the meantime; unconfirmedOutageAge is the minimum age if it is not known
	// whether any read has failed.
	outageAge            = 1500 * time.Millisecond
	unconfirmedOutageAge = 3 * time.Second
	// graceTime is how long after the end of an outage an endpoint whose
	// registration has lapsed may register again. Endpoints register again within
	// about two seconds.
	graceTime = 2200 * time.Millisecond
)

// gracePeriod retains endpoints whose registrations lapse around a store
// outage. If they counted as gone at once, every outage would empty the pools.
// It affects only which endpoints this daemon uses, never what it sends to
// others.
type gracePeriod struct {
	// until is the end of the period. Endpoints that disappear before it are
	// retained until then.
	until storetime.Instant
	// retained holds, for each retained endpoint, the time until which it is
	// retained.
	retained map[EndpointID]storetime.Instant
}

// observe processes a changed row.
func (g *gracePeriod) observe(e Endpoint, now storetime.Instant) {
	delete(g.retained, e.ID)
	if e.Gone && !e.Draining && e.Address != "" && now < g.until {
		g.retained[e.ID] = g.until
	}
}

// retains reports whether an endpoint that is gone still counts as registered.
func (g *gracePeriod) retains(id EndpointID, now storetime.Instant) bool {
	until, ok := g.retained[id]
	return ok && now < until
}

// expire removes the endpoints whose time is over and returns them.
func (g *gracePeriod) expire(now storetime.Instant) (gone []EndpointID) {
	for id := range g.retained {
		if !g.retains(id, now) {
			delete(g.retained, id)
			gone = append(gone, id)
		}
	}
	return gone
}
