package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/httpresponse"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/responseroom"
)

const (
	// maxBuffered is the size in bytes up to which a response is buffered before
	// it is forwarded, so that a truncated one can still be replaced by that of
	// another attempt.
	maxBuffered = 1 << 20
	// terminationTime is how long a process that terminates may take to close its
	// connections and its listener, in any order.
	terminationTime = 20 * time.Millisecond
	// longPart is the maximum size in bytes of the parts in which the rest of a long response
	// is forwarded.
	longPart = 64 << 10
)

var (
	errEndpointTerminated = errors.New("the response ended with its endpoint")
	// errMayHaveTerminated reports that connections are refused after the response, by the
	// endpoint's machine or by the path. It counts against neither.
	errMayHaveTerminated = errors.New("the response may have ended with its endpoint")
)

var (
	errUnsigned  = errors.New("a success without the endpoint's signature")
	errNoContent = errors.New("a status without content in response to a stream request")
	errNoEnd     = errors.New("an error response without length does not end")
	errNoBody    = errors.New("a success without length ends before its first byte")
)

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

// checkEnd returns an error if a response that is delimited by the end of its connection
// may have ended because its endpoint terminated.
func (c *call) checkEnd(resp *http.Response) error {
	f := c.run.f
	if isFramed(resp) {
		return nil
	}
	select {
	case <-c.ctx.Done():
		return nil
	case <-f.Clock.After(terminationTime):
	}
	refused, isCertain := f.Pool.MayHaveTerminated(c.ctx, address(&c.grant.Endpoint))
	switch {
	case isCertain:
		return errEndpointTerminated
	case refused:
		return errMayHaveTerminated
	case c.isReplaced():
		return errEndpointTerminated
	}
	return nil
}

// isReplaced reports whether another process has taken the place of the endpoint, as far as
// that is known: it may have started while this daemon was paused.
func (c *call) isReplaced() (replaced bool) {
	r := c.run
	if r.req.Kind != catalog.Stream || r.f.Protocol.ReportTarget == "" {
		return false
	}
	e := &c.grant.Endpoint
	_ = r.f.Pool.Ask(c.ctx, address(e), &http1.Probe{
		Target: r.f.Protocol.ReportTarget,
		Host:   r.req.Host,
		Accept: func(status int, h http.Header, body []byte) error {
			same, known := r.f.Protocol.ReadReport(e, status, h, body)
			if replaced = known && !same; replaced {
				return errEndpointTerminated
			}
			return nil
		},
	})
	return replaced
}

// allowsContent reports whether a response with a successful status may have content.
func allowsContent(status int) bool {
	return status != http.StatusNoContent && status != http.StatusResetContent
}

// readResponse reads the response and forwards it.
func (c *call) readResponse(x *http1.Exchange) attemptResult {
	r := c.run
	resp, err := x.Response() //nolint:bodyclose // the exchange manages its connection; closing the body would read it to the end
	c.attribution, c.skipped = x.Attribution(), x.Skipped()
	if unattributed, ok := errors.Into[*http1.UnattributedError](err); ok && c.ctx.Err() == nil {
		return c.unattributedResult(unattributed)
	}
	if err != nil {
		return failedResult(readFailureReason(c.ctx, err), err)
	}
	c.responded, c.status = true, resp.StatusCode
	verdict := c.recordAnnouncement(resp.StatusCode, resp.Header)
	if verdict.NotRun {
		c.recordRefusal(verdict)
		x.Skip()
		return attemptResult{
			err:    errors.Errorf("refused with status %d", resp.StatusCode),
			reason: outcome.ReasonEndpointRefused,
			report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT,
		}
	}
	if r.req.Kind != catalog.Stream {
		c.markBegun()
	}
	success := resp.StatusCode/100 == 2
	switch {
	case success && !verdict.Signed:
		return failedResult(outcome.ReasonWrongAnswer, errUnsigned)
	case success && r.req.Kind == catalog.Stream && !allowsContent(resp.StatusCode):
		return failedResult(outcome.ReasonWrongAnswer, errNoContent)
	case success && r.req.Kind == catalog.Stream:
		return c.forwardStream(x, resp)
	}
	return c.forwardWhole(x, resp)
}

// progressReader records the progress of a call with each part that is read.
type progressReader struct {
	io.Reader
	call *call
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.call.run.mu.Lock()
		defer r.call.run.mu.Unlock()
		r.call.progress()
	}
	return n, err
}

// forwardWhole forwards a response that is not a stream.
func (c *call) forwardWhole(x *http1.Exchange, resp *http.Response) attemptResult {
	r := c.run
	holding := r.hold(r.f.Wholes, nil)
	// Only one byte more tells a response of just this size from a longer one.
	body, err := holding.ReadAll(progressReader{resp.Body, c}, maxBuffered+1)
	noRoom := errors.Is(err, responseroom.ErrNoRoom)
	if err != nil && !noRoom {
		return failedResult(readFailureReason(c.ctx, err), err)
	}
	a := &response{status: resp.StatusCode, header: resp.Header, body: body}
	switch {
	case len(body) == 0 && c.mustHaveBody(resp):
		return failedResult(outcome.ReasonTruncated, errNoBody)
	case len(body) <= maxBuffered && !noRoom:
	case resp.StatusCode/100 != 2 && resp.ContentLength < 0:
		return failedResult(outcome.ReasonWrongAnswer, errNoEnd)
	case r.req.Kind == catalog.Stream, noRoom && resp.StatusCode/100 == 5:
		// It may not become a part of a stream, and another endpoint may still answer.
		return failedResult(outcome.ReasonEndpointFailed, errors.Errorf("status %d with a long body", resp.StatusCode))
	case r.f.Protocol.ImpliesNotRun(resp.StatusCode):
		return failedResult(outcome.ReasonEndpointFailed, errors.Errorf("status %d", resp.StatusCode))
	default:
		return c.forwardLong(x, resp, a, holding)
	}
	x.Finish()
	if err := c.checkEnd(resp); err != nil {
		return failedResult(outcome.ReasonTruncated, err)
	}
	if err := c.takeWhole(a); err != nil {
		return failedResult(outcome.ReasonEndpointFailed, err)
	}
	if err := r.sink.Body(a.body); err != nil {
		return callerGoneResult(err)
	}
	return forwardedResult(resp)
}

// mustHaveBody reports whether a response without any body is truncated: an endpoint that
// has nothing to send says so with a length.
func (c *call) mustHaveBody(resp *http.Response) bool {
	return resp.StatusCode/100 == 2 && !isFramed(resp) && c.run.req.Method != http.MethodHead
}

// takeWhole forwards the head of a whole response, or returns an error if the response must
// not be forwarded. A failure is kept, in case that no other endpoint answers. So is any
// response other than events to a stream that has begun, or that another endpoint may still
// begin.
func (c *call) takeWhole(a *response) error {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	elsewhere := r.req.Kind == catalog.Stream && (r.headSent || r.goesOnWithout(c))
	switch {
	case c.superseded:
		return errSuperseded
	case elsewhere, a.status/100 == 5, r.f.Protocol.ImpliesNotRun(a.status):
		r.errorResponse = a
		return errors.Errorf("status %d", a.status)
	}
	c.takeLead()
	c.progress()
	c.writing = true
	r.sendHead(a.status, a.header, int64(len(a.body)))
	return nil
}

// forwardLong forwards a response that is too long to be buffered, or for which there is no
// room. Nothing of it is held longer than until it is forwarded.
func (c *call) forwardLong(x *http1.Exchange, resp *http.Response, a *response, holding *responseroom.Holding) attemptResult {
	if !c.takeLeadWith(a, resp.ContentLength) {
		return failedResult(outcome.ReasonSuperseded, errSuperseded)
	}
	buf, part := a.body, []byte(nil)
	for {
		if err := c.deliver(buf); err != nil {
			return callerGoneResult(err)
		}
		if part == nil {
			part = shrink(a.body, holding)
			a.body = nil
		}
		n, err := c.read(resp.Body, part)
		if buf = part[:n]; n > 0 {
			c.endHoldUp()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if err := c.deliver(buf); err != nil {
				return callerGoneResult(err)
			}
			x.Finish()
			if err := c.checkEnd(resp); err != nil {
				return failedResult(outcome.ReasonTruncated, err)
			}
			return forwardedResult(resp)
		default:
			return failedResult(readFailureReason(c.ctx, err), err)
		}
	}
}

// shrink returns a buffer for the parts of a response whose first part has been forwarded.
func shrink(first []byte, holding *responseroom.Holding) []byte {
	if cap(first) <= longPart {
		return first[:cap(first)]
	}
	holding.Resize(longPart)
	return make([]byte, longPart)
}

// takeLeadWith forwards the head of a response and reports whether the call leads.
func (c *call) takeLeadWith(a *response, length int64) bool {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.takeLead() {
		return false
	}
	c.progress()
	c.writing = true
	r.sendHead(a.status, a.header, length)
	return true
}

// callerGoneResult returns the result of an attempt whose response could not be written
// to the caller.
func callerGoneResult(err error) attemptResult {
	return attemptResult{err: err, reason: outcome.ReasonCallerGone, mayHaveRun: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
}

// readFailureReason returns the reason why reading a response failed.
func readFailureReason(ctx context.Context, err error) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCallerGone
	case errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.ReasonTruncated
	case errors.Is(err, http1.ErrForeignResponse), errors.Is(err, http1.ErrTooLong), http1.IsEndlessChunkLine(err), errors.Is(err, httpresponse.ErrInvalid):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonConnectionLost
}
