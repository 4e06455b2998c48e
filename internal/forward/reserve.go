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
func (r *run) reserve(ctx context.Context) (*placement.Grant, error) {
	for {
		backingOff, _ := r.f.Notices.BackingOff(r.req.Pool)
		request := placement.Request{
			Pool:            r.req.Pool,
			Class:           r.req.Class,
			Account:         r.req.Account,
			PromptTokens:    r.req.PromptTokens,
			EstimatedTokens: r.req.OutputTokens,
			Parts:           r.req.Parts,
			Waited:          r.f.BootClock.Now() - r.req.ReceivedAt,
			StartTimeout:    r.startLimit(),
			Excluded:        append(backingOff, r.failed...),
			Attempt:         r.mayHaveRun + r.notRun,
		}
		if r.continues() {
			request.Version = &r.begunVersion
		}
		grant, err := r.f.Reserve(ctx, request)
		if err != nil {
			if !r.awaitBackoff(ctx, err) && !r.awaitTable(ctx, err) {
				return nil, err
			}
			continue
		}
		if refusal := r.checkSend(); refusal != nil {
			grant.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
			return nil, refusal
		}
		if r.usable(&grant.Endpoint) {
			r.recordPlaced(grant)
			return grant, nil
		}
		grant.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		if r.excludes(&grant.Endpoint, len(backingOff)) {
			r.failed = append(r.failed, grant.Endpoint.Name)
		}
		r.f.Metrics.Inc("places.unusable")
	}
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
	if r.mayHaveRun > 0 || r.headSent {
		return 0
	}
	until := r.req.Deadline - r.req.ReceivedAt
	if r.req.StartTimeout > 0 {
		until = min(until, r.req.StartTimeout)
	}
	return until
}

// awaitBackoff reports whether a reservation that was refused while endpoints have
// asked for back-off should be repeated. It waits until the first of them may be used
// again. If that takes too long, the refusal tells the caller when to return.
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
	isUntried := func(name table.EndpointName) bool { return !slices.Contains(r.failed, name) }
	if backoff > left/backoffWaitDivisor || !slices.ContainsFunc(names, isUntried) {
		refusal.RetryAfter = backoff + time.Duration(rand.Int64N(int64(backoff/backoffSpreadDivisor)+1)) //nolint:gosec // spreads callers
		r.staleRetries = maxStaleRetries
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.f.Clock.After(backoff):
		return true
	}
}

// awaitTable reports whether a reservation should be repeated because its refusal
// may be due to different table versions at this daemon and the coordinator. It
// waits for staleRetryDelay first.
func (r *run) awaitTable(ctx context.Context, err error) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	if !ok || r.staleRetries >= maxStaleRetries {
		return false
	}
	if refusal.Reason != outcome.ReasonNoEndpoint && refusal.Reason != outcome.ReasonUnknownClass {
		return false
	}
	r.staleRetries++
	select {
	case <-ctx.Done():
		return false
	case <-r.f.Clock.After(staleRetryDelay):
		return true
	}
}

// usable reports whether a request may be sent to the endpoint, by what this daemon
// knows and by what the endpoint has told it.
func (r *run) usable(e *table.Endpoint) bool {
	return r.hasVersion(e) && r.f.Usable(e) && r.f.Notices.MaySend(e.Name)
}
