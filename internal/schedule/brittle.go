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
	// refusedAt holds the times of the refusals within refusalWindow.
	refusedAt []time.Duration
	// undecided holds the grants that the endpoint may still refuse.
	undecided []undecidedGrant
}

type undecidedGrant struct {
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
	return running < b.room && len(b.refusedAt)+len(b.undecided) < b.perSecond
}

func (b *brittleness) expire(now time.Duration) {
	for len(b.refusedAt) > 0 && now-b.refusedAt[0] >= refusalWindow {
		b.refusedAt = b.refusedAt[1:]
	}
	for len(b.undecided) > 0 && now-b.undecided[0].at >= acceptTime {
		b.undecided = b.undecided[1:]
	}
}

// granted records a grant.
func (b *brittleness) granted(id RequestID, now time.Duration) {
	if b.isActive() {
		b.undecided = append(b.undecided, undecidedGrant{id: id, at: now})
	}
}

func (b *brittleness) decided(id RequestID) {
	b.undecided = slices.DeleteFunc(b.undecided, func(g undecidedGrant) bool { return g.id == id })
}

// refused records that the endpoint has turned a request away while it ran others.
func (b *brittleness) refused(id RequestID, running int, now time.Duration) {
	b.decided(id)
	b.refusedAt = append(b.refusedAt, now)
	b.room, b.roomAt = max(1, min(b.room, running)), now
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

// SetBrittle records how many requests an endpoint can turn away within a second,
// according to a response received the given time ago.
func (c *Cell) SetBrittle(name Endpoint, perSecond int, age time.Duration) {
	e := c.endpoints[name]
	if e == nil || perSecond <= 0 {
		return
	}
	b, now := &e.brittle, c.now()
	at := now - age
	if b.isReported && at < b.reportedAt {
		return
	}
	perSecond = max(1, perSecond/max(1, c.share))
	b.begin(perSecond, e.policy.Concurrency, now)
	b.isReported, b.reportedAt = true, at
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
		e.brittle.begin(c.poolBrittle.perSecond, e.policy.Concurrency, c.now())
	}
}

// begin sets the number of requests that the endpoint can turn away, and its room if it
// was not brittle before.
func (b *brittleness) begin(perSecond, concurrency int, now time.Duration) {
	if !b.isActive() {
		b.room, b.roomAt = concurrency, now
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
