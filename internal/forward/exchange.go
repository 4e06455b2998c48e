package forward

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxBuffered is the size in bytes up to which a response is buffered before
	// it is forwarded, so that a truncated one can still be replaced by that of
	// another attempt.
	maxBuffered = 1 << 20
	// targetsUntilSilent is the number of response time targets after which an
	// endpoint that has sent nothing is given up, if the request can be retried
	// at another one. It is above 1 because a busy endpoint responds late, and
	// retries would then add to the load.
	targetsUntilSilent = 4
	// minSilence is the lower limit of these timeouts: recovery from a lost
	// packet takes that long.
	minSilence = 1200 * time.Millisecond
	// terminationTime is how long a process that terminates may take to close its
	// connections and its listener, in any order.
	terminationTime = 20 * time.Millisecond
	// gapsUntilSilent is the number of target gaps between events after which an
	// endpoint that has sent no further event is given up.
	gapsUntilSilent = 4
)

var errEndpointTerminated = errors.New("the response ended with its endpoint")

var errUnsigned = errors.New("a success without the endpoint's signature")

// failedResult returns the result of an attempt that failed after the endpoint
// may have run the request.
func failedResult(reason outcome.Reason, err error) attemptResult {
	return attemptResult{err: err, reason: reason, mayHaveRun: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED}
}

// forwardedResult returns the result of an attempt whose response was forwarded
// completely. A response that is delimited by the end of its connection does not count
// as completed yet: the endpoint may terminate a moment later.
func forwardedResult(resp *http.Response) attemptResult {
	return attemptResult{
		completed: isFramed(resp) && resp.StatusCode/100 == 2,
		unframed:  !isFramed(resp) && resp.StatusCode/100 == 2,
		report:    peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE,
	}
}

// isFramed reports whether the response itself says where it ends, rather than ending
// with its connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// endedWithEndpoint reports whether a response that is delimited by the end of its
// connection has ended because its endpoint terminated.
func (r *run) endedWithEndpoint(ctx context.Context, resp *http.Response, e *table.Endpoint) bool {
	if isFramed(resp) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.f.Clock.After(terminationTime):
	}
	return r.f.Pool.HasTerminated(ctx, address(e))
}

// readResponse reads the response and forwards it.
func (r *run) readResponse(ctx context.Context, x *http1.Exchange, grant *placement.Grant) attemptResult {
	x.SetReadTimeout(r.silenceTimeout(targetsUntilSilent * r.req.StartTarget))
	resp, err := x.Response() //nolint:bodyclose // the exchange manages its connection; closing the body would read it to the end
	if err != nil {
		return failedResult(readFailureReason(ctx, err), err)
	}
	verdict := r.f.Protocol.ReadHead(resp.StatusCode, resp.Header)
	grant.RecordAnnouncement(verdict.Announcement)
	r.f.Notices.Record(&grant.Endpoint, verdict.Announcement)
	if verdict.NotRun {
		r.discard(x, resp)
		return attemptResult{
			err:    errors.Errorf("refused with status %d", resp.StatusCode),
			reason: outcome.ReasonEndpointRefused,
			report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT,
		}
	}
	if r.req.Kind != catalog.Stream {
		r.markBegun()
	}
	success := resp.StatusCode/100 == 2
	switch {
	case success && !verdict.Signed:
		return failedResult(outcome.ReasonWrongAnswer, errUnsigned)
	case success && r.req.Kind == catalog.Stream:
		return r.forwardStream(ctx, x, resp, grant)
	}
	return r.forwardWhole(ctx, x, resp, grant)
}

// discard reads the rest of a short response, so that its connection can be
// reused.
func (r *run) discard(x *http1.Exchange, resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered)); err != nil {
		x.Abort()
		return
	}
	x.Finish()
}

// silenceTimeout returns how long to wait for an endpoint that sends nothing, at
// least minSilence. It returns 0, no limit, for requests that can't be retried at
// another endpoint: they wait until their deadline, since the response may still
// arrive.
func (r *run) silenceTimeout(d time.Duration) time.Duration {
	if !r.req.repeatable() || r.mayHaveRun+1 >= r.req.Attempts || d == 0 {
		return 0
	}
	return max(d, minSilence)
}

// forwardWhole forwards a response that is not a stream.
func (r *run) forwardWhole(ctx context.Context, x *http1.Exchange, resp *http.Response, grant *placement.Grant) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return failedResult(readFailureReason(ctx, err), err)
	}
	a := &response{status: resp.StatusCode, header: resp.Header, body: body}
	if len(body) == maxBuffered {
		return r.forwardLong(ctx, x, resp, a, grant)
	}
	x.Finish()
	if r.endedWithEndpoint(ctx, resp, &grant.Endpoint) {
		return failedResult(outcome.ReasonTruncated, errEndpointTerminated)
	}
	if resp.StatusCode/100 == 5 || r.f.Protocol.ImpliesNotRun(resp.StatusCode) {
		r.errorResponse = a
		return failedResult(outcome.ReasonEndpointFailed, errors.Errorf("status %d", resp.StatusCode))
	}
	r.headSent = true
	if err := r.forwardResponse(a); err != nil {
		return attemptResult{err: err, reason: outcome.ReasonCallerGone, mayHaveRun: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	}
	return forwardedResult(resp)
}

// forwardLong forwards a response that is too long to be buffered.
func (r *run) forwardLong(ctx context.Context, x *http1.Exchange, resp *http.Response, a *response, grant *placement.Grant) attemptResult {
	r.headSent = true
	r.sink.Head(a.status, a.header, resp.ContentLength)
	buf := a.body
	for {
		if err := r.sink.Body(buf); err != nil {
			return attemptResult{err: err, reason: outcome.ReasonCallerGone, mayHaveRun: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
		}
		n, err := resp.Body.Read(a.body[:cap(a.body)])
		buf = a.body[:n]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if err := r.sink.Body(buf); err != nil {
				return failedResult(outcome.ReasonCallerGone, err)
			}
			x.Finish()
			if r.endedWithEndpoint(ctx, resp, &grant.Endpoint) {
				return failedResult(outcome.ReasonTruncated, errEndpointTerminated)
			}
			return forwardedResult(resp)
		default:
			return failedResult(readFailureReason(ctx, err), err)
		}
	}
}

// readFailureReason returns the reason why reading a response failed.
func readFailureReason(ctx context.Context, err error) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCallerGone
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.ReasonSilent
	case errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.ReasonTruncated
	case errors.Is(err, http1.ErrForeignResponse):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonConnectionLost
}
