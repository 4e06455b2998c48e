package forward

import (
	"context"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

const (
	// targetsUntilSilent is the number of targets without data after which an endpoint
	// counts as silent. It is above 1 because a busy endpoint responds late, and
	// further attempts would then add to the load.
	targetsUntilSilent = 4
	// minSilence is the lower limit of that time: recovery from a lost packet takes
	// that long.
	minSilence = 2 * activity.Recently
	// hedgeInterval is the time until the next attempt is tried when an endpoint
	// is silent and no further attempt was possible, or it has failed.
	hedgeInterval = activity.AskInterval
	// pausedAfter is how late a timer expires if this process was paused. What
	// endpoints sent meanwhile is then read first, which takes less than that.
	pausedAfter = 100 * time.Millisecond
	// never is longer than any request.
	never = 24 * time.Hour
)

// silenceLimit returns the time without data after which the endpoint of a call counts
// as silent; 0 means that no other endpoint can be asked instead.
func (r *run) silenceLimit(c *call) time.Duration {
	target := r.req.StartTarget
	if c.events > 0 {
		target = r.req.GapTarget
	}
	switch {
	case !r.req.Repeatable() || target == 0:
		return 0
	case r.headSent && r.req.Kind != catalog.Stream:
		return 0
	case r.attempts() >= r.req.Attempts:
		return 0
	}
	return max(targetsUntilSilent*target, minSilence)
}

// mayHedge reports whether a second attempt can become possible at all.
func (r *run) mayHedge() bool {
	return r.req.Repeatable() && r.req.Attempts > 1 && max(r.req.StartTarget, r.req.GapTarget) > 0
}

// newest returns the latest attempt.
func (r *run) newest() *call {
	for _, c := range slices.Backward(r.calls) {
		if !c.superseded {
			return c
		}
	}
	return nil
}

// untilSilent returns the time until checkSilence must be called. It must be called
// without mu.
func (r *run) untilSilent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.newest()
	if c == nil || !r.mayHedge() {
		return never
	}
	now := r.f.Clock.Now()
	limit := r.silenceLimit(c)
	switch {
	case limit == 0 || !c.sent || c.over || c.writing:
		// Another check finds out what has changed, or when the request was sent.
		return minSilence / 2
	case !c.late:
		return c.lastSign.Add(limit / 2).Sub(now)
	}
	return max(c.lastSign.Add(limit).Sub(now), r.nextHedge.Sub(now))
}

// checkSilence begins another attempt if the endpoint of the latest one is silent. That
// one goes on: its endpoint may only be paused. It must be called without mu.
func (r *run) checkSilence(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.newest()
	if c == nil || !c.sent || c.over || c.writing {
		return
	}
	limit := r.silenceLimit(c)
	now := r.f.Clock.Now()
	quiet := now.Sub(c.lastSign)
	if limit == 0 || quiet < limit/2 {
		return
	}
	c.beginLate()
	if quiet < limit || now.Before(r.nextHedge) {
		return
	}
	first := !c.silent
	c.silent = true
	if first && quiet > limit+pausedAfter {
		r.nextHedge = now.Add(pausedAfter)
		return
	}
	why := r.hedgeObstacle(ctx, quiet >= activity.SharedFactor*limit)
	r.recordSilent(c, quiet, first, why)
	if why != "" {
		r.nextHedge = now.Add(hedgeInterval)
		return
	}
	r.start(ctx, true)
}

// hedgeObstacle returns why no other endpoint is asked while one is silent; "" if one is.
// The attempt has then been taken from the budget. Silence that other endpoints share says
// nothing about one of them, and they would be silent to a second attempt as well.
func (r *run) hedgeObstacle(ctx context.Context, long bool) obstacle {
	switch {
	case ctx.Err() != nil:
		return obstacleEnded
	case r.tooLate():
		return obstacleLeaving
	case !long && r.f.activities.IsShared(r.req.Pool, r.f.Clock.Now()):
		return obstacleShared
	case r.tried || r.checkQuarantine(false) != nil:
		// A trial may end its endpoint, and no second one at the same time.
		return obstacleQuarantined
	case r.req.MaySend() != nil:
		return obstacleRefused
	}
	if why := r.attemptObstacle(); why != "" {
		return why
	}
	if !r.takeRetry() {
		return obstacleBudget
	}
	return ""
}

// takeLead supersedes all other attempts, since the endpoint of this one has gone on. It
// returns false if the call was itself superseded. It requires run.mu.
func (c *call) takeLead() bool {
	if c.superseded {
		return false
	}
	isLater := false
	for _, other := range c.run.calls {
		switch {
		case other == c:
			isLater = true
		case !other.superseded:
			other.superseded, other.replaced = true, !isLater && other.silent
			other.cancel()
		}
	}
	return true
}

func (c *call) isSuperseded() bool {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	return c.superseded
}

// supersededResult returns the result of a superseded call. Silence counts against an
// endpoint only if another one went on meanwhile. It requires run.mu.
func (c *call) supersededResult() attemptResult {
	e := attemptResult{err: errSuperseded, reason: outcome.ReasonSuperseded, mayHaveRun: c.sent, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	if !c.replaced || !c.sent {
		return e
	}
	e.reason = outcome.ReasonSilent
	endpoint := address(&c.grant.Endpoint)
	c.run.f.Pool.CloseIdle(endpoint)
	if !c.run.f.PathLost(endpoint) {
		e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
	}
	return e
}

// progress records that the endpoint has sent something. It requires run.mu.
func (c *call) progress() {
	now := c.run.f.Clock.Now()
	if c.silent {
		c.run.recordWentOn(c, now.Sub(c.lastSign))
	}
	c.lastSign = now
	c.activity.Record(now, c.silent)
	c.silent = false
	c.endLate()
}

func (c *call) beginLate() {
	if !c.late {
		c.late = true
		c.activity.AddLate(1)
	}
}

func (c *call) endLate() {
	if c.late {
		c.late = false
		c.activity.AddLate(-1)
	}
}

// recordSilent records that an endpoint is silent, and why no other one is asked, if so.
func (r *run) recordSilent(c *call, quiet time.Duration, first bool, why obstacle) {
	if first {
		r.f.Metrics.Inc("silence.begun")
	}
	if why == "" {
		r.f.Metrics.Inc("silence.hedged")
	}
	if first || why == "" {
		r.f.Logger.Info("endpoint silent", "request", r.req.ID, "class", r.req.Class, "endpoint", c.grant.Endpoint.Name, "events", r.events,
			"silentMs", quiet.Milliseconds(), "asksAnother", why == "", "why", why, "silentEndpoints", len(r.f.activities.Silent(r.req.Pool, r.f.Clock.Now())))
	}
}

// recordWentOn records that an endpoint has gone on after it was silent.
func (r *run) recordWentOn(c *call, quiet time.Duration) {
	r.f.Metrics.Inc("silence.wentOn")
	r.f.Logger.Info("endpoint went on", "request", r.req.ID, "class", r.req.Class, "endpoint", c.grant.Endpoint.Name, "events", r.events,
		"silentMs", quiet.Milliseconds(), "superseded", c.superseded)
}
