package schedule

import (
	"slices"
	"time"
)

const (
	// refusalWindow is the time in which refusals are counted: the second that
	// endpoints state, and an allowance for the transit of requests and refusals.
	refusalWindow = 1250 * time.Millisecond
	// acceptTime is the time after which a grant counts as accepted if it was not
	// refused. Endpoints refuse at once.
	acceptTime = 300 * time.Millisecond
	// roomInterval is the minimum time between a change of an endpoint's room and
	// its next increase.
	roomInterval = time.Second
)

// brittleness is the state of an endpoint that terminates if it has to turn away
// too many requests within a second. Its room is what it is seen to take: it may
// be less than configured.
type brittleness struct {
	// perSecond is the number of requests that the endpoint can turn away within a
	// second; zero means that it is not brittle.
	perSecond int
	// isReported reports whether the endpoint has responded, with or without a
	// statement that it is brittle, reportedAt when it last did so with one.
	isReported bool
	reportedAt time.Duration
	// room is the number of requests that the endpoint is assumed to run at once,
	// roomAt when it was last changed.
	room   int
	roomAt time.Duration
	// refusals holds the requests that were turned away within refusalWindow.
	refusals []requestAt
	// undecided holds the grants that the endpoint may still refuse.
	undecided []requestAt
}

// requestAt is a request that was granted, or turned away, at a time.
type requestAt struct {
	id RequestID
	at time.Duration
}

func (b *brittleness) isActive() bool { return b.perSecond > 0 }

// admits reports whether the endpoint may be granted one more request: if it fits,
// and if the endpoint bears the refusal of all that it may still refuse.
func (b *brittleness) admits(running int, now time.Duration) bool {
	if !b.isActive() {
		return true
	}
	b.expire(now)
	return running < b.room && len(b.refusals)+len(b.undecided) < b.perSecond
}

func (b *brittleness) expire(now time.Duration) {
	b.refusals = slices.DeleteFunc(b.refusals, func(r requestAt) bool { return now-r.at >= refusalWindow })
	b.undecided = slices.DeleteFunc(b.undecided, func(g requestAt) bool { return now-g.at >= acceptTime })
}

// granted records a grant.
func (b *brittleness) granted(id RequestID, now time.Duration) {
	if b.isActive() {
		b.undecided = append(b.undecided, requestAt{id: id, at: now})
	}
}

func (b *brittleness) decided(id RequestID) {
	b.undecided = slices.DeleteFunc(b.undecided, func(g requestAt) bool { return g.id == id })
}

// refused records that the endpoint has turned a request away while it ran others.
func (b *brittleness) refused(id RequestID, running int, now time.Duration) {
	b.decided(id)
	b.countRefusal(id, now)
	b.room, b.roomAt = max(1, min(b.room, running)), now
}

// countRefusal records when a request was turned away, once: the host of the request
// may also tell of it when the coordinator changes.
func (b *brittleness) countRefusal(id RequestID, at time.Duration) {
	if !slices.ContainsFunc(b.refusals, func(r requestAt) bool { return r.id == id }) {
		b.refusals = append(b.refusals, requestAt{id: id, at: at})
	}
}

// accepted records that the endpoint runs a request, or has run it, as one of a
// number of requests. A full endpoint gets more room after a while, since it may
// have more.
func (b *brittleness) accepted(id RequestID, running, concurrency int, now time.Duration) {
	if !b.isActive() {
		return
	}
	b.decided(id)
	if running >= b.room && b.room < concurrency && now-b.roomAt >= roomInterval {
		b.room, b.roomAt = b.room+1, now
	}
}

// RecordRefusal records that an endpoint turned away a request of another coordinator
// the given time ago.
func (c *Cell) RecordRefusal(name Endpoint, id RequestID, age time.Duration) {
	if e := c.endpoints[name]; e != nil && age < refusalWindow {
		e.brittle.countRefusal(id, c.now()-age)
	}
}

// SetBrittle records how many requests an endpoint can turn away within a second,
// according to a response received the given time ago. The endpoint may be gone; the
// others of its pool are brittle like it.
func (c *Cell) SetBrittle(name Endpoint, perSecond int, age time.Duration) {
	if perSecond <= 0 {
		return
	}
	at := c.now() - age
	perSecond = max(1, perSecond/max(1, c.share))
	if e := c.endpoints[name]; e != nil {
		if e.brittle.isReported && at < e.brittle.reportedAt {
			return
		}
		c.beginBrittle(e, perSecond)
		e.brittle.isReported, e.brittle.reportedAt = true, at
	}
	if c.poolBrittle.isReported && at < c.poolBrittle.at {
		return
	}
	c.poolBrittle = poolBrittleness{isReported: true, perSecond: perSecond, at: at}
	for _, other := range c.sortedEndpoints {
		c.assumeBrittle(other)
	}
}

// poolBrittleness is the newest statement of the endpoints of a cell. They are of one
// pool, whose endpoints are brittle together.
type poolBrittleness struct {
	isReported bool
	// perSecond is zero if the endpoints are not brittle.
	perSecond int
	at        time.Duration
}

// assumeBrittle treats an endpoint that has not responded yet like the others.
func (c *Cell) assumeBrittle(e *endpointState) {
	if !e.brittle.isReported && c.poolBrittle.perSecond > 0 {
		c.beginBrittle(e, c.poolBrittle.perSecond)
	}
}

// beginBrittle sets the number of requests that an endpoint can turn away. If it was not
// brittle before, its room is what it registered, and it may still refuse what it was
// granted last.
func (c *Cell) beginBrittle(e *endpointState, perSecond int) {
	b := &e.brittle
	if !b.isActive() {
		now := c.now()
		b.room, b.roomAt = e.policy.Concurrency, now
		for id, g := range c.entries {
			if g.endpoint == e && !g.accepted && now-g.Granted < acceptTime {
				b.undecided = append(b.undecided, requestAt{id: id, at: g.Granted})
			}
		}
	}
	b.perSecond = perSecond
}

// removeBrittle handles the end of a grant whose response did not state that the
// endpoint is brittle. A response to a request that was granted before the last
// report may only have been delayed.
func (c *Cell) removeBrittle(g *entry) {
	b := &g.endpoint.brittle
	if g.adopted || g.Granted < g.endpoint.addedAt || b.isReported && g.Granted <= b.reportedAt {
		return
	}
	*b = brittleness{isReported: true, reportedAt: g.Granted}
	if !c.poolBrittle.isReported || g.Granted > c.poolBrittle.at {
		c.poolBrittle = poolBrittleness{isReported: true, at: g.Granted}
	}
}
