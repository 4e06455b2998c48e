package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/graceperiod"
	"github.com/beechhead/beechhead/internal/outcome"
)

// defaultRetryAfter is the Retry-After time of refusals by this package.
const defaultRetryAfter = 500 * time.Millisecond

// failAttempts ends a request after its last attempt has failed.
func (r *run) failAttempts(ctx context.Context, e attemptResult) error {
	switch {
	case r.headSent:
		return errors.Wrap(ErrTruncated, e.err.Error())
	case r.errorResponse != nil && ctx.Err() == nil:
		return r.forwardResponse(r.errorResponse)
	}
	if refusal, ok := errors.Into[*outcome.Refusal](e.err); ok && r.mayHaveRun == 0 {
		return refusal
	}
	return r.refusal(ctx, e.reason, e.err.Error())
}

// failReserve ends a request for which no slot could be reserved.
func (r *run) failReserve(ctx context.Context, err error) error {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	if r.mayHaveRun > 0 {
		r.recordNoRetry(obstacle("noSlot: " + err.Error()))
	}
	switch {
	case r.headSent:
		return errors.Wrap(ErrTruncated, err.Error())
	case r.errorResponse != nil && ctx.Err() == nil:
		return r.forwardResponse(r.errorResponse)
	case !ok:
		return r.refusal(ctx, outcome.ReasonOverloaded, err.Error())
	case r.mayHaveRun > 0:
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

func (r *run) refusal(ctx context.Context, reason outcome.Reason, message string) *outcome.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = outcome.ReasonDeadline
	case errors.Is(context.Cause(ctx), graceperiod.ErrEnding), ctx.Err() == nil && r.abandoned:
		reason, message = outcome.ReasonLeaving, leavingMessage
	case ctx.Err() != nil:
		reason = outcome.ReasonCallerGone
	}
	if r.mayHaveRun > 0 {
		return outcome.UnknownError(reason, message)
	}
	if reason == outcome.ReasonLeaving {
		return r.leavingRefusal()
	}
	refusal := outcome.NotRunError(reason, message)
	refusal.RetryAfter = defaultRetryAfter
	return refusal
}

// sendHead forwards the head of a response.
func (r *run) sendHead(status int, h http.Header, length int64) {
	r.sink.Head(status, h, length)
	r.headSent = true
	r.promised = r.f.Protocol.ImpliesNotRun(status)
}

// forwardResponse forwards a response unchanged. The exception is a status code
// that callers take to mean that the request was not run: the endpoint has not
// confirmed that with a header, and callers would repeat a request that may have
// run.
func (r *run) forwardResponse(a *response) error {
	if r.f.Protocol.ImpliesNotRun(a.status) {
		return outcome.UnknownError(outcome.ReasonEndpointFailed, "the endpoint failed the request")
	}
	r.sendHead(a.status, a.header, int64(len(a.body)))
	if err := r.sink.Body(a.body); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	return nil
}
