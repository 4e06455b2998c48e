package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// limitBurst is how much unused time an idle endpoint with a rate limit
// accumulates, that is, for how long at its rate it can catch up at once.
const limitBurst = 500 * time.Millisecond

// rateLimit is the rate limit that an endpoint reports.
type rateLimit struct {
	// perSecond is the limit over all hosts; zero means no limit.
	perSecond float64
	// known reports whether the endpoint has ever reported a limit; reportedAt is
	// when it last reported or removed one.
	known      bool
	reportedAt time.Duration
	// nextAt is when the next request may be granted.
	nextAt time.Duration
}

// remove removes the limit if the endpoint, which no longer reports one, was
// granted the answered request after the last report. A response to an earlier
// request may only have been delayed.
func (l *rateLimit) remove(granted time.Duration) {
	if l.perSecond > 0 && granted > l.reportedAt {
		l.reportedAt, l.perSecond = granted, 0
	}
}

// throttled reports whether the limit currently forbids another request.
func (l *rateLimit) throttled(now time.Duration) bool { return l.perSecond > 0 && now < l.nextAt }

// requestInterval returns the minimum time between two requests under a limit.
func (c *Cell) requestInterval(l *rateLimit) time.Duration {
	return stat.Seconds(float64(max(1, c.share)) / l.perSecond)
}

// consume counts a granted request against a limit.
func (c *Cell) consume(l *rateLimit, now time.Duration) {
	if l.perSecond > 0 {
		l.nextAt = max(l.nextAt, now-limitBurst) + c.requestInterval(l)
	}
}

// SetRateLimit records the rate limit that an endpoint reported in a response,
// received the given time ago. The limit applies to all hosts together.
func (c *Cell) SetRateLimit(name Endpoint, perSecond float64, age time.Duration) {
	e := c.endpoints[name]
	if e == nil || perSecond <= 0 {
		return
	}
	l, now := &e.limit, c.now()
	at := now - age
	if l.known && at < l.reportedAt {
		return
	}
	fresh := l.perSecond == 0
	l.known, l.reportedAt, l.perSecond = true, at, perSecond
	if fresh {
		l.nextAt = now + c.requestInterval(l)
	}
}

// removeLimit handles the end of a grant whose response reported no limit. It
// ignores grants that another coordinator issued, since their start is unknown.
func (c *Cell) removeLimit(g *entry) {
	if !g.adopted {
		g.endpoint.limit.remove(g.Granted)
	}
}
