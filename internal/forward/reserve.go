package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// staleRetryDelay is the delay before a slot is reserved again after a
	// refusal that may be due to different table versions at this daemon and
	// the coordinator: one does not know an endpoint or a class yet.
	staleRetryDelay = 40 * time.Millisecond
	// maxStaleRetries is the maximum number of such retries for one request.
	maxStaleRetries = 4
	// backoffWaitDivisor is the part of the time that a request has left up to which
	// it waits for the end of a back-off. One that would wait longer is refused, so
	// that its caller may ask elsewhere or return in time.
	backoffWaitDivisor = 4
	// backoffSpreadDivisor is the part of a back-off over which the callers that are
	// refused for it return.
	backoffSpreadDivisor = 4
)

// reserve reserves a slot on an endpoint that, as far as this daemon knows,
// accepts work.
func (c *call) reserve() (err error) {
	defer c.recoverPanic(func(refusal *outcome.Refusal) { err = refusal })
	r := c.run
	for {
		backingOff, _ := r.f.Notices.BackingOff(r.req.Pool)
		grant, err := r.f.Reserve(c.ctx, c.placementRequest(backingOff))
		if err != nil {
			if c.hedge || !c.awaitPaused(err) && !r.awaitBackoff(c.ctx, err) && !r.awaitTable(c.ctx, err) {
				return err
			}
			continue
		}
		usable, err := c.accept(grant, len(backingOff))
		if usable || err != nil {
			return err
		}
		r.f.Metrics.Inc("places.unusable")
	}
}

// placementRequest returns the request for a slot.
func (c *call) placementRequest(backingOff []table.EndpointName) placement.Request {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := slices.Concat(backingOff, r.failed)
	for _, other := range r.calls {
		if other != c && other.grant != nil {
			excluded = append(excluded, other.grant.Endpoint.Name)
		}
	}
	if c.hedge {
		excluded = append(excluded, r.f.activities.Silent(r.req.Pool, r.f.Clock.Now())...)
	}
	request := placement.Request{
		Pool:            r.req.Pool,
		Class:           r.req.Class,
		Account:         r.req.Account,
		PromptTokens:    r.req.PromptTokens,
		EstimatedTokens: r.req.OutputTokens,
		Parts:           r.req.Parts,
		Waited:          r.f.BootClock.Now() - r.req.ReceivedAt,
		StartTimeout:    r.startLimit(),
		EndTimeout:      r.req.Deadline - r.req.ReceivedAt,
		Fingerprint:     r.req.callerFingerprint(),
		BodyBytes:       len(r.req.Body),
		Excluded:        excluded,
		Attempt:         r.mayHaveRun + r.notRun + len(r.calls) - 1,
	}
	if r.continues() {
		request.Version = &r.begunVersion
	}
	return request
}

// accept takes a granted slot and reports whether it may be used; otherwise the slot is
// released. It returns an error if the request must not be sent any more.
func (c *call) accept(grant *placement.Grant, backingOff int) (usable bool, err error) {
	defer func() {
		if !usable {
			grant.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		}
	}()
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.superseded {
		return false, errSuperseded
	}
	if refusal := r.checkSend(!c.hedge); refusal != nil {
		return false, refusal
	}
	if r.usable(&grant.Endpoint) {
		r.recordPlaced(grant)
		c.grant = grant
		return true, nil
	}
	if r.excludes(&grant.Endpoint, backingOff) {
		r.failed = append(r.failed, grant.Endpoint.Name)
	}
	return false, nil
}

// excludes reports whether an endpoint that can't be used is excluded from all further
// attempts. One that only backs off is excluded until it no longer does.
func (r *run) excludes(e *table.Endpoint, backingOff int) bool {
	return !r.f.Usable(e) || !r.hasVersion(e) || backingOff == maxBackingOff || !r.f.Notices.IsBackingOff(e.Name)
}

// startLimit returns how long after its arrival the response must begin to be of
// use to the caller. It returns 0, no limit, once an endpoint may have run the
// request: the coordinator refuses late requests as not run, which would then be
// wrong.
func (r *run) startLimit() time.Duration {
	if r.mayHaveRun > 0 || r.headSent || len(r.calls) > 1 {
		return 0
	}
	until := r.req.Deadline - r.req.ReceivedAt
	if r.req.StartTimeout > 0 {
		until = min(until, r.req.StartTimeout)
	}
	return until
}

// awaitPaused reports whether a reservation that was refused should be repeated, since
// endpoints that have not answered a probe may only be paused. A probe has its own time to
// wait, so that they are not asked again at once.
func (c *call) awaitPaused(err error) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	return ok && refusal.Reason == outcome.ReasonNoEndpoint && c.ctx.Err() == nil && c.run.readmitUnanswered()
}

// awaitBackoff reports whether a reservation that was refused while endpoints have
// asked for back-off should be repeated. It waits until the first of them may be used
// again. If that takes too long, the refusal tells the caller when to return. It must be
// called without mu.
func (r *run) awaitBackoff(ctx context.Context, err error) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	if !ok || refusal.Reason != outcome.ReasonNoEndpoint {
		return false
	}
	names, until := r.f.Notices.BackingOff(r.req.Pool)
	backoff := until.Sub(r.f.Clock.Now())
	if len(names) == 0 || backoff <= 0 {
		return false
	}
	left := r.req.Deadline - r.f.BootClock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	isUntried := func(name table.EndpointName) bool { return !slices.Contains(r.failed, name) }
	if backoff > left/backoffWaitDivisor || !slices.ContainsFunc(names, isUntried) {
		refusal.RetryAfter = backoff + time.Duration(rand.Int64N(int64(backoff/backoffSpreadDivisor)+1)) //nolint:gosec // spreads callers
		r.staleRetries = maxStaleRetries
		return false
	}
	return r.sleep(ctx, backoff)
}

// sleep waits without mu, which it requires. It returns false if the context ends first.
func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-ctx.Done():
		return false
	case <-r.f.Clock.After(d):
		return true
	}
}

// awaitTable reports whether a reservation should be repeated because its refusal
// may be due to different table versions at this daemon and the coordinator. It
// waits for staleRetryDelay first. It must be called without mu.
func (r *run) awaitTable(ctx context.Context, err error) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || r.staleRetries >= maxStaleRetries {
		return false
	}
	if refusal.Reason != outcome.ReasonNoEndpoint && refusal.Reason != outcome.ReasonUnknownClass {
		return false
	}
	r.staleRetries++
	return r.sleep(ctx, staleRetryDelay)
}

// usable reports whether a request may be sent to the endpoint, by what this daemon
// knows and by what the endpoint has told it.
func (r *run) usable(e *table.Endpoint) bool {
	return r.hasVersion(e) && r.f.Usable(e) && r.f.Notices.MaySend(e.Name)
}
