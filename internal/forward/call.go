package forward

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// call is one attempt of a run: the reservation of a slot and the exchange with its
// endpoint. It runs in a goroutine of its own. Its methods must be called without
// run.mu unless they say otherwise.
type call struct {
	run    *run
	ctx    context.Context //nolint:containedctx // ends with the call
	cancel context.CancelFunc
	// hedge reports whether the call was begun because the one before was silent.
	hedge bool

	// err is the error of the reservation, result that of the exchange if there was one.
	// They are written before the call has ended.
	err    error
	result attemptResult
	// via is the address of the daemon through which the request was sent; "" if it
	// was sent directly.
	via string
	// conn is the state of the connection when the request was written, sentAfter the
	// time from the request's arrival to then. bytesWritten and bytesRead are those of the
	// exchange, heads describes the responses that were received.
	conn                    http1.ConnState
	sentAfter               time.Duration
	bytesWritten, bytesRead int64
	heads                   []http1.Head
	// status, attribution and skipped describe the response; zero if there was none.
	status      int
	attribution http1.Attribution
	skipped     int
	// confirmed reports whether a probe has shown that the connection leads to the
	// process that has registered as the endpoint.
	confirmed bool
	// responded reports whether the head of a response was received, begun whether the
	// endpoint has begun to run the request.
	responded, begun bool
	// repeated and comments are the bytes of repeated events, and of events that consist
	// of comments, since the last event that was neither.
	repeated, comments int
	// longestHoldUp is the longest time during which nothing was read from the endpoint,
	// since the caller was slow. It is reset once data was read that was written later.
	longestHoldUp time.Duration
	// awaited is how long the call has waited for data since the last hold-up after which
	// endpoints cut off a response.
	awaited time.Duration

	// activity records the activity of the endpoint; nil until the request is sent.
	activity *activity.Endpoint

	// The fields below are guarded by run.mu.

	// grant is the slot; nil before it is reserved.
	grant *placement.Grant
	// sent reports whether the endpoint has received the request, writable whether it may
	// be about to be written.
	sent, writable bool
	// events counts the events that this call has forwarded.
	events int
	// superseded reports whether another call has gone on in place of this one, which
	// may then forward nothing any more.
	superseded bool
	// lastSign is when the endpoint has last sent something for this call, or when it
	// was sent the request.
	lastSign time.Time
	// sentAt is when the endpoint was sent the request.
	sentAt time.Time
	// late and silent report whether half of the time, or all of it, after which the
	// endpoint counts as silent has passed since lastSign.
	late, silent bool
	// writing reports whether the call writes to the caller, which may be slow to read.
	writing bool
	// over reports whether the exchange has ended.
	over bool
	// replaced reports whether the call was superseded by a later one, since its
	// endpoint was silent.
	replaced bool
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	// err is nil if the response was forwarded completely.
	err    error
	reason outcome.Reason
	// mayHaveRun reports whether the endpoint may have run the request.
	mayHaveRun bool
	// terminated reports whether the endpoint's process terminated, rather than
	// only the connection being lost.
	terminated bool
	// completed reports whether the endpoint has completed the request.
	completed bool
	// unframed reports whether a response was forwarded that is delimited by the end of
	// its connection.
	unframed bool
	// report is the outcome that is reported to the coordinator.
	report peerv1.ReleaseOutcome
}

var (
	// errEndpointUnusable reports that the endpoint no longer accepted work when the
	// request was about to be written.
	errEndpointUnusable = errors.New("the endpoint has left")
	errSuperseded       = errors.New("another endpoint has gone on")
)

// do makes the attempt.
func (c *call) do() {
	defer c.cancel()
	if c.err = c.reserve(); c.err != nil {
		return
	}
	began := c.run.f.Clock.Now()
	c.result = c.exchange()
	report := c.finish(began)
	if c.activity != nil {
		c.activity.End()
	}
	c.grant.Release(report)
}

// finish marks the exchange as over and returns the report for the coordinator.
func (c *call) finish(began time.Time) placement.Report {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.superseded {
		c.result = c.supersededResult()
	}
	c.endLate()
	c.over = true
	return placement.Report{Outcome: c.result.report, Duration: r.f.Clock.Since(began), Tokens: c.events}
}

// exchange sends the request to the endpoint and forwards the response.
func (c *call) exchange() (e attemptResult) {
	defer c.recoverPanic(func(refusal *outcome.Refusal) { e = panickedResult(refusal) })
	r := c.run
	endpoint := &c.grant.Endpoint
	x, err := r.f.Pool.Send(c.ctx, address(endpoint), c.request())
	if err != nil {
		return c.notSent(err)
	}
	c.via, c.conn, c.sentAfter = x.Via(), x.Conn(), r.f.Clock.Since(r.began)
	defer func() { c.bytesWritten, c.bytesRead = x.Transferred(); c.heads = x.Heads() }()
	stop := context.AfterFunc(c.ctx, x.Abort)
	defer stop()
	// Closes the connection if the exchange has neither finished nor been aborted.
	defer x.Abort()
	c.markSent()
	e = c.readResponse(x)
	if e.err == nil {
		return e
	}
	x.Abort()
	if e.responseLost(c.ctx) && !c.lostTooSoon() {
		c.markBegun()
	}
	if c.ctx.Err() != nil && e.mayHaveRun {
		e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
	} else if e.reason == outcome.ReasonConnectionLost {
		r.f.Pool.CloseIdle(address(endpoint))
	}
	e.terminated = c.terminated(e, endpoint)
	if e.mayHaveRun && !e.terminated && (errors.Is(e.err, errMayHaveTerminated) || c.isCutForSlowness(e) || r.f.PathLost(address(endpoint))) {
		e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
	}
	return e
}

// minCutAfter is the shortest time after which endpoints cut off a response that is not
// read.
const minCutAfter = time.Second

// drainedAfter is how long a call must have waited for data after a hold-up until what comes
// was written after it. What the buffers on the way hold comes without a wait, except for the
// recovery from a lost packet.
const drainedAfter = minSilence

// endHoldUp forgets hold-ups before the data that was just read, if it was written later: the
// endpoint has not cut off the response for their sake.
func (c *call) endHoldUp() {
	if c.awaited >= drainedAfter {
		c.longestHoldUp = 0
	}
}

// read reads a part of the body, and records how long the call has waited for it.
func (c *call) read(body io.Reader, p []byte) (int, error) {
	began := c.run.f.Clock.Now()
	n, err := body.Read(p)
	if n > 0 {
		c.awaited += c.run.f.Clock.Since(began)
	}
	return n, err
}

// isCutForSlowness reports whether the endpoint may have cut off the response since this
// daemon did not read it.
func (c *call) isCutForSlowness(e attemptResult) bool {
	return c.longestHoldUp >= minCutAfter && (e.reason == outcome.ReasonConnectionLost || e.reason == outcome.ReasonTruncated)
}

// request returns the request as it is sent to the endpoint.
func (c *call) request() *http1.Request {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint := &c.grant.Endpoint
	send := Attempt{Request: r.req, Endpoint: endpoint, TimeRemaining: r.req.Deadline - r.f.BootClock.Now(), LastEvent: r.lastEvent}
	if c.grant.FetchFrom != nil {
		send.FetchFrom = address(c.grant.FetchFrom)
	}
	return &http1.Request{
		ID:          r.req.ID,
		Method:      r.req.Method,
		Target:      r.req.Target,
		Host:        r.req.Host,
		Header:      r.f.Protocol.Header(send),
		Body:        r.req.Body,
		Probe:       c.versionProbe(),
		BeforeWrite: c.checkWrite,
		Unused:      r.needsUnused(address(endpoint)),
		MayBeOwn:    r.mayBeOwn,
		AwaitOwn:    r.awaitOwn(),
		NamedID:     r.f.Protocol.NamedID,
	}
}

// notSent returns the result of an attempt whose request was not sent.
func (c *call) notSent(err error) attemptResult {
	e := attemptResult{err: err, reason: outcome.ReasonConnect, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		e.err, e.reason = refusal, refusal.Reason
		return e
	}
	switch {
	case errors.Is(err, errEndpointUnusable):
		c.run.f.Metrics.Inc("places.unusable")
	case c.ctx.Err() != nil, errors.Is(err, http1.ErrUnconfirmed), errors.Is(err, http1.ErrSilent):
		// Nothing is known of the endpoint, or only that it is silent.
	default:
		e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
	}
	return e
}

// markSent records that the endpoint has received the request.
func (c *call) markSent() {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	c.sentAt = r.f.Clock.Now()
	c.lastSign = c.sentAt
	c.activity = r.f.activities.Begin(&c.grant.Endpoint, c.lastSign)
	r.reached, c.sent = true, true
	r.sentTo = append(r.sentTo, address(&c.grant.Endpoint))
	if c.hedge {
		r.f.Metrics.CountRetry(outcome.ReasonSilent)
	}
}

// recordFirstEvent records how soon the first event came.
func (c *call) recordFirstEvent() {
	if c.begun {
		return
	}
	now := c.run.f.Clock.Now()
	c.run.f.firstEvents.Observe(c.run.req.Pool, now, now.Sub(c.sentAt))
}

// lostTooSoon reports whether the connection of a stream was lost before a response, sooner
// than endpoints of the pool have lately sent a first event. A stream begins to run with
// its first token.
func (c *call) lostTooSoon() bool {
	r := c.run
	if r.req.Kind != catalog.Stream || c.responded {
		return false
	}
	now := r.f.Clock.Now()
	return r.f.firstEvents.IsTooSoon(r.req.Pool, now, now.Sub(c.sentAt))
}

// markBegun records that the endpoint has begun to run the request.
func (c *call) markBegun() {
	if c.begun {
		return
	}
	c.begun = true
	if c.run.f.OnBegun != nil {
		c.run.f.OnBegun(c.run.req)
	}
}

// responseLost reports whether the endpoint has probably run the request although
// its response was not received.
func (e *attemptResult) responseLost(ctx context.Context) bool {
	if !e.mayHaveRun || ctx.Err() != nil {
		return false
	}
	switch e.reason {
	case outcome.ReasonConnectionLost, outcome.ReasonTruncated, outcome.ReasonWrongAnswer:
		return true
	}
	return false
}

// checkWrite returns an error if the request may not be written to an open
// connection. Opening a connection may take a second, during which the endpoint
// may be removed, the caller's key revoked, or a silent endpoint go on.
func (c *call) checkWrite() error {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.superseded {
		return errSuperseded
	}
	if refusal := r.checkSend(!c.hedge); refusal != nil {
		return refusal
	}
	if e := &c.grant.Endpoint; !r.usable(e) || r.continues() && c.mayBeReplaced() {
		return errEndpointUnusable
	}
	c.writable = true
	return nil
}

// checkSend returns a refusal if the request may not be sent. It is called after
// a slot was granted and again right before the request is written. If mayTry is set, the
// request may become the trial of a quarantined part.
func (r *run) checkSend(mayTry bool) *outcome.Refusal {
	if refusal := r.req.MaySend(); refusal != nil {
		return refusal
	}
	if r.tooLate() {
		return r.leavingRefusal()
	}
	return r.checkQuarantine(mayTry)
}

// address returns the host and port of an endpoint.
func address(e *table.Endpoint) string {
	_, address, _ := strings.Cut(e.URL, "://")
	return address
}
