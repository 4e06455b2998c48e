package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// limitBurst is the time for which an endpoint saves up what it takes while it
// gets nothing.
const limitBurst = 500 * time.Millisecond

// limit paces an endpoint that names how many requests it takes.
type limit struct {
	// perSecond is what it takes from all hosts; zero is without limit.
	perSecond float64
	// heard says that it has named a limit; at is when it last did, or named
	// none any more.
	heard bool
	at    time.Duration
	// next is when it has saved up for another request.
	next time.Duration
}

// lifted takes in that the endpoint named no limit in the answer to a request
// that was granted at some time. The answer to an earlier request than the last
// one that named a limit may only have come late.
func (l *limit) lifted(granted time.Duration) {
	if l.perSecond > 0 && granted > l.at {
		l.at, l.perSecond = granted, 0
	}
}

// paced tells whether the endpoint gets no request for the moment.
func (l *limit) paced(now time.Duration) bool { return l.perSecond > 0 && now < l.next }

// gap returns the time between two requests to an endpoint with a limit.
func (c *Cell) gap(l *limit) time.Duration {
	return stat.Seconds(float64(max(1, c.share)) / l.perSecond)
}

// book books a request on an endpoint's limit.
func (c *Cell) book(l *limit, now time.Duration) {
	if l.perSecond > 0 {
		l.next = max(l.next, now-limitBurst) + c.gap(l)
	}
}

// Limit takes in how many requests a second an endpoint takes from all hosts
// together, by an answer that came some time ago.
func (c *Cell) Limit(name Endpoint, perSecond float64, age time.Duration) {
	e := c.endpoints[name]
	if e == nil || perSecond <= 0 {
		return
	}
	l, now := &e.limit, c.now()
	at := now - age
	if l.heard && at < l.at {
		return
	}
	fresh := l.perSecond == 0
	l.heard, l.at, l.perSecond = true, at, perSecond
	if fresh {
		l.next = now + c.gap(l)
	}
}

// lift takes in the end of a grant whose answer named no limit. When a grant
// began that another coordinator gave is not known.
func (c *Cell) lift(g *entry) {
	if !g.held {
		g.endpoint.limit.lifted(g.Granted)
	}
}
