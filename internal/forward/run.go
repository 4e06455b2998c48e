package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxNotRun is the maximum number of attempts of a request at endpoints that
	// certainly did not run it, because they could not be reached or refused it.
	maxNotRun = 4
	// staleRetryDelay is the delay before a slot is reserved again after a
	// refusal that may be due to different table versions at this daemon and
	// the coordinator: one does not know an endpoint or a class yet.
	staleRetryDelay = 40 * time.Millisecond
	// maxStaleRetries is the maximum number of such retries for one request.
	maxStaleRetries = 4
	// defaultRetryAfter is the Retry-After time of refusals by this package.
	defaultRetryAfter = 500 * time.Millisecond
)

// run is the state of one request across its attempts.
type run struct {
	f      *Forwarder
	req    *Request
	sink   Sink
	budget Budget

	began time.Time
	// mayHaveRun counts the failed attempts in which the endpoint may have run
	// the request, notRun those in which it certainly has not.
	mayHaveRun, notRun int
	// staleRetries counts the reservations that were repeated after a refusal
	// that may be due to different table versions.
	staleRetries int
	failed       []table.EndpointName
	// begun reports whether the endpoint of the current attempt has begun to run
	// the request.
	begun bool
	// via is the address of the daemon through which the current attempt was
	// sent; "" if it was sent directly.
	via string
	// headSent reports whether the head of a response was forwarded.
	headSent bool
	// lastEvent is the id of the last event that the caller has received.
	lastEvent string
	events    int
	// firstEvent is the time until the first event, slotWait the time until the
	// last slot was granted; both since began.
	firstEvent, slotWait time.Duration
	// errorResponse is the last error response of an endpoint. It is forwarded
	// if no later attempt succeeds.
	errorResponse *response
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
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
	// report is the outcome that is reported to the coordinator.
	report peerv1.ReleaseOutcome
}

func (r *run) do(ctx context.Context) error {
	if refusal := r.checkQuarantine(); refusal != nil {
		return refusal
	}
	for {
		grant, err := r.reserve(ctx)
		if err != nil {
			return r.failReserve(ctx, err)
		}
		began := r.f.Clock.Now()
		e := r.attempt(ctx, grant)
		grant.Release(placement.Report{Outcome: e.report, Duration: r.f.Clock.Since(began), Tokens: r.events})
		if e.err == nil {
			r.recordAnswered(grant, e)
			return nil
		}
		r.recordFailure(grant, e)
		if !r.mayRetry(ctx, e) {
			return r.failAttempts(ctx, e)
		}
	}
}

// recordPlaced records metrics and a log line for a granted slot.
func (r *run) recordPlaced(grant *placement.Grant) {
	waited := r.f.Clock.Since(r.began)
	r.slotWait = waited
	r.f.Metrics.ObserveClass("wait.ms", string(r.req.Class), waited.Milliseconds())
	if !r.req.Logged {
		return
	}
	fetchFrom := table.EndpointName("")
	if grant.FetchFrom != nil {
		fetchFrom = grant.FetchFrom.Name
	}
	r.f.Logger.Info("placed", "request", r.req.ID, "fingerprint", r.req.Fingerprint.String(), "class", r.req.Class, "account", r.req.Account, "endpoint", grant.Endpoint.Name,
		"coordinator", grant.Coordinator(), "fetchFrom", fetchFrom, "attempt", r.mayHaveRun+r.notRun, "waitMs", waited.Milliseconds(),
		"leftMs", (r.req.Deadline - r.f.BootClock.Now()).Milliseconds(), "promptTokens", r.req.PromptTokens,
		"backlogMs", grant.Choice.Backlog.Milliseconds(), "unreadMs", grant.Choice.PrefillTime.Milliseconds(), "decode", grant.Choice.Decode)
}

// recordAnswered records metrics and a log line for a response that was forwarded
// completely.
func (r *run) recordAnswered(grant *placement.Grant, e attemptResult) {
	if e.completed {
		r.f.Quarantine.RecordCompletion(r.req.Fingerprint)
	}
	took := r.f.Clock.Since(r.began)
	r.f.Metrics.ObserveClass("answer.ms", string(r.req.Class), took.Milliseconds())
	pause, at := grant.LongestPause()
	if r.events > 0 {
		r.f.Metrics.ObserveClass("firstEvent.ms", string(r.req.Class), r.firstEvent.Milliseconds())
		r.f.Metrics.ObserveClass("pause.ms", string(r.req.Class), pause.Milliseconds())
		r.recordLate(grant, pause, at)
	}
	if r.req.Logged {
		r.f.Logger.Info("answered", "request", r.req.ID, "class", r.req.Class, "endpoint", grant.Endpoint.Name, "via", r.via,
			"attempts", r.mayHaveRun+r.notRun+1, "events", r.events, "firstEventMs", r.firstEvent.Milliseconds(),
			"longestPauseMs", pause.Milliseconds(), "longestPauseEvent", at, "tookMs", took.Milliseconds())
	}
}

// recordLate records whether a stream began late or had too long a gap. The log
// line includes the data by which the endpoint was chosen, and is written even if
// Logged is not set.
func (r *run) recordLate(grant *placement.Grant, pause time.Duration, at int) {
	beganLate := r.req.StartTarget > 0 && r.firstEvent > r.req.StartTarget
	pausedLong := r.req.GapTarget > 0 && pause > r.req.GapTarget
	if !beganLate && !pausedLong {
		return
	}
	if beganLate {
		r.f.Metrics.Inc("late.firstEvent")
	}
	if pausedLong {
		r.f.Metrics.Inc("late.pause")
	}
	r.f.Logger.Info("answered late", "request", r.req.ID, "class", r.req.Class, "endpoint", grant.Endpoint.Name,
		"coordinator", grant.Coordinator(), "attempts", r.mayHaveRun+r.notRun+1,
		"firstEventMs", r.firstEvent.Milliseconds(), "targetMs", r.req.StartTarget.Milliseconds(),
		"longestPauseMs", pause.Milliseconds(), "longestPauseEvent", at, "pauseAllowedMs", r.req.GapTarget.Milliseconds(),
		"waitMs", r.slotWait.Milliseconds(), "backlogMs", grant.Choice.Backlog.Milliseconds(),
		"unreadMs", grant.Choice.PrefillTime.Milliseconds(), "decode", grant.Choice.Decode, "promptTokens", r.req.PromptTokens)
}

// recordFailure records a failed attempt.
func (r *run) recordFailure(grant *placement.Grant, e attemptResult) {
	r.failed = append(r.failed, grant.Endpoint.Name)
	if e.mayHaveRun {
		r.mayHaveRun++
	} else {
		r.notRun++
	}
	r.f.Metrics.Inc("attempts." + string(e.reason))
	if e.terminated {
		r.f.Metrics.Inc("attempts.endpointEnded")
		r.f.Quarantine.RecordTermination(r.req.Fingerprint, grant.Endpoint.Name)
	}
	r.f.Logger.Info("attempt failed", "request", r.req.ID, "class", r.req.Class, "endpoint", grant.Endpoint.Name, "via", r.via,
		"fingerprint", r.req.Fingerprint.String(), "coordinator", grant.Coordinator(),
		"reason", e.reason, "mayHaveRun", e.mayHaveRun, "endpointEnded", e.terminated, "events", r.events,
		"sinceBeginMs", r.f.Clock.Since(r.began).Milliseconds(), "cause", e.err.Error())
}

// reserve reserves a slot on an endpoint that, as far as this daemon knows,
// accepts work.
func (r *run) reserve(ctx context.Context) (*placement.Grant, error) {
	for {
		backingOff, _ := r.f.Notices.BackingOff(r.req.Pool)
		grant, err := r.f.Reserve(ctx, placement.Request{
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
		})
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
		if !r.f.Usable(&grant.Endpoint) || len(backingOff) == maxBackingOff {
			r.failed = append(r.failed, grant.Endpoint.Name)
		}
		r.f.Metrics.Inc("places.unusable")
	}
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

// backoffWaitDivisor is the part of the time that a request has left up to which it
// waits for the end of a back-off. One that would wait longer is refused, so that
// its caller may ask elsewhere or return in time.
const backoffWaitDivisor = 4

// backoffSpreadDivisor is the part of a back-off over which the callers that are
// refused for it return.
const backoffSpreadDivisor = 4

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

// mayRetry reports whether the request may be sent to another endpoint after a
// failed attempt.
func (r *run) mayRetry(ctx context.Context, e attemptResult) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case e.mayHaveRun && !r.req.repeatable():
		return false
	case errors.As(e.err, new(*outcome.Refusal)):
		return false
	case r.mayHaveRun >= r.req.Attempts || r.notRun >= maxNotRun:
		return false
	case r.f.Quarantine.IsQuarantined(r.req.Fingerprint):
		return false
	case e.reason == outcome.ReasonConnect:
		// The endpoint has received nothing, so the next attempt repeats nothing
		// and is not charged to the retry budget.
	case !r.budget.Take():
		r.f.Metrics.Inc("retryBudget.exhausted")
		return false
	}
	r.f.Metrics.CountRetry(e.reason)
	return true
}

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
	case ctx.Err() != nil:
		reason = outcome.ReasonCallerGone
	}
	if r.mayHaveRun > 0 {
		return outcome.UnknownError(reason, message)
	}
	refusal := outcome.NotRunError(reason, message)
	refusal.RetryAfter = defaultRetryAfter
	return refusal
}

// forwardResponse forwards a response unchanged. The exception is a status code
// that callers take to mean that the request was not run: the endpoint has not
// confirmed that with a header, and callers would repeat a request that may have
// run.
func (r *run) forwardResponse(a *response) error {
	if r.f.Protocol.ImpliesNotRun(a.status) {
		return outcome.UnknownError(outcome.ReasonEndpointFailed, "the endpoint failed the request")
	}
	r.sink.Head(a.status, a.header, int64(len(a.body)))
	if err := r.sink.Body(a.body); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	return nil
}

// attempt sends the request to one endpoint and forwards the response.
func (r *run) attempt(ctx context.Context, grant *placement.Grant) attemptResult {
	r.begun, r.via = false, ""
	left := r.req.Deadline - r.f.BootClock.Now()
	endpoint := &grant.Endpoint
	send := Attempt{Request: r.req, Endpoint: endpoint, TimeRemaining: left, LastEvent: r.lastEvent}
	if grant.FetchFrom != nil {
		send.FetchFrom = address(grant.FetchFrom)
	}
	x, err := r.f.Pool.Send(ctx, address(endpoint), &http1.Request{
		Method:        r.req.Method,
		Target:        r.req.Target,
		Host:          r.req.Host,
		Header:        r.f.Protocol.Header(send),
		Body:          r.req.Body,
		BeforeWrite:   func() error { return r.checkWrite(endpoint) },
		IsOwnResponse: func(h http.Header) bool { return r.f.Protocol.BelongsTo(r.req, h) },
	})
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		return attemptResult{err: refusal, reason: refusal.Reason, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	}
	if errors.Is(err, errEndpointUnusable) {
		r.f.Metrics.Inc("places.unusable")
		return attemptResult{err: err, reason: outcome.ReasonConnect, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	}
	if err != nil {
		report := peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
		if errors.Is(err, http1.ErrUnconfirmed) {
			report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
		}
		return attemptResult{err: err, reason: outcome.ReasonConnect, report: report}
	}
	r.via = x.Via()
	stop := context.AfterFunc(ctx, x.Abort)
	defer stop()
	e := r.readResponse(ctx, x, grant)
	if e.err != nil {
		x.Abort()
		if e.responseLost(ctx) {
			r.markBegun()
		}
		if ctx.Err() != nil && e.mayHaveRun {
			e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
		} else if e.reason == outcome.ReasonSilent || e.reason == outcome.ReasonConnectionLost {
			r.f.Pool.CloseIdle(address(endpoint))
		}
		e.terminated = r.terminated(ctx, e, endpoint)
		if e.mayHaveRun && !e.terminated && r.f.PathLost(address(endpoint)) {
			e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
		}
	}
	return e
}

// markBegun records that the endpoint has begun to run the request.
func (r *run) markBegun() {
	if r.begun {
		return
	}
	r.begun = true
	if r.f.OnBegun != nil {
		r.f.OnBegun(r.req)
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

// checkSend returns a refusal if the request may not be sent. It is called after
// a slot was granted and again right before the request is written.
func (r *run) checkSend() *outcome.Refusal {
	if refusal := r.req.MaySend(); refusal != nil {
		return refusal
	}
	return r.checkQuarantine()
}

// errEndpointUnusable reports that the endpoint no longer accepted work when the
// request was about to be written.
var errEndpointUnusable = errors.New("the endpoint has left")

// checkWrite returns an error if the request may not be written to an open
// connection. Opening a connection may take a second, during which the endpoint
// may be removed or the caller's key revoked.
func (r *run) checkWrite(e *table.Endpoint) error {
	if refusal := r.checkSend(); refusal != nil {
		return refusal
	}
	if !r.usable(e) {
		return errEndpointUnusable
	}
	return nil
}

// usable reports whether a request may be sent to the endpoint, by what this daemon
// knows and by what the endpoint has told it.
func (r *run) usable(e *table.Endpoint) bool {
	return r.f.Usable(e) && r.f.Notices.MaySend(e.Name)
}

// address returns the host and port of an endpoint.
func address(e *table.Endpoint) string {
	_, address, _ := strings.Cut(e.URL, "://")
	return address
}
