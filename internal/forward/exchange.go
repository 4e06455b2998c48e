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
)

const (
	// maxWhole is the size in bytes up to which an answer is gathered before
	// it is passed on, so that one that breaks off can still be replaced.
	maxWhole = 1 << 20
	// silentTargets is after how many targets an endpoint that has sent
	// nothing is given up, where the request may go on elsewhere. A busy
	// endpoint takes long, and to ask another one then adds to the load.
	silentTargets = 4
	// minSilence bounds that from below: a lost packet takes as long.
	minSilence = 1200 * time.Millisecond
	// silentPauses is the same for the pause between events.
	silentPauses = 4
)

var errUnsigned = errors.New("a success without the endpoint's signature")

// failure is an end after which the endpoint may have run the request.
func failure(reason outcome.Reason, err error) end {
	return end{err: err, reason: reason, ran: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED}
}

// done is the end of an answer that was passed on whole. One that ends with its
// connection does not tell an endpoint that has completed it from one that has
// ended.
func done(resp *http.Response) end {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return end{success: framed && resp.StatusCode/100 == 2, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE}
}

// exchange reads the answer and passes it on.
func (r *run) exchange(ctx context.Context, x *http1.Exchange, grant *placement.Grant) end {
	x.Patience(r.patience(silentTargets * r.r.Objective))
	resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection; closing the body would read it to its end
	if err != nil {
		return failure(readReason(ctx, err), err)
	}
	verdict := r.f.Wire.Read(resp.StatusCode, resp.Header)
	grant.Answered(verdict.Limit)
	if verdict.NotRun {
		r.discard(x, resp)
		return end{
			err:    errors.Errorf("refused with status %d", resp.StatusCode),
			reason: outcome.ReasonEndpointRefused,
			report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT,
		}
	}
	success := resp.StatusCode/100 == 2
	switch {
	case success && !verdict.Signed:
		return failure(outcome.ReasonWrongAnswer, errUnsigned)
	case success && r.r.Kind == catalog.Stream:
		return r.stream(ctx, x, resp, grant)
	}
	return r.whole(ctx, x, resp)
}

// discard reads what is left of a short answer, so that its connection can be
// used again.
func (r *run) discard(x *http1.Exchange, resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWhole)); err != nil {
		x.Abort()
		return
	}
	x.Finish()
}

// patience returns how long to wait for an endpoint that is silent. Requests
// that can't go on elsewhere wait to their end: silence is no reason to end an
// answer that may still come.
func (r *run) patience(d time.Duration) time.Duration {
	if !r.r.repeatable() || r.ran+1 >= r.r.Attempts || d == 0 {
		return 0
	}
	return max(d, minSilence)
}

// whole passes on an answer that is not a stream.
func (r *run) whole(ctx context.Context, x *http1.Exchange, resp *http.Response) end {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	if err != nil {
		return failure(readReason(ctx, err), err)
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if len(body) == maxWhole {
		return r.long(ctx, x, resp, a)
	}
	x.Finish()
	if resp.StatusCode/100 == 5 || r.f.Wire.Promises(resp.StatusCode) {
		r.answer = a
		return failure(outcome.ReasonEndpointFailed, errors.Errorf("status %d", resp.StatusCode))
	}
	r.begun = true
	if err := r.passAnswer(a); err != nil {
		return end{err: err, reason: outcome.ReasonCallerGone, ran: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	}
	return done(resp)
}

// long passes on an answer that is too long to be gathered.
func (r *run) long(ctx context.Context, x *http1.Exchange, resp *http.Response, a *answer) end {
	r.begun = true
	r.sink.Head(a.status, a.header, resp.ContentLength)
	buf := a.body
	for {
		if err := r.sink.Body(buf); err != nil {
			return end{err: err, reason: outcome.ReasonCallerGone, ran: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
		}
		n, err := resp.Body.Read(a.body[:cap(a.body)])
		buf = a.body[:n]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if err := r.sink.Body(buf); err != nil {
				return failure(outcome.ReasonCallerGone, err)
			}
			x.Finish()
			return done(resp)
		default:
			return failure(readReason(ctx, err), err)
		}
	}
}

// readReason tells why reading an answer failed.
func readReason(ctx context.Context, err error) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCallerGone
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.ReasonSilent
	case errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.ReasonTruncated
	case errors.Is(err, http1.ErrForeign):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonConnectionLost
}
