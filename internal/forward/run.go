package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// maxNotRun is the maximum number of attempts of a request at endpoints that
// certainly did not run it, because they could not be reached or refused it.
const maxNotRun = 4

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
	// partKeys are the keys of the parts of the prompt that others may share; tried
	// reports whether the request is the trial of a quarantined one.
	partKeys []quarantine.PartKey
	tried    bool
	// reached reports whether an endpoint has received the request, terminatedEndpoint
	// whether one has terminated while it ran it, completed whether one has completed it.
	reached, terminatedEndpoint, completed bool
	// begun reports whether the endpoint of the current attempt has begun to run
	// the request.
	begun bool
	// confirmed reports whether a probe has shown that the connection of the current
	// attempt leads to the process that has registered as the endpoint.
	confirmed bool
	// via is the address of the daemon through which the current attempt was
	// sent; "" if it was sent directly.
	via string
	// headSent reports whether the head of a response was forwarded.
	headSent bool
	// lastEvent is the id of the last event that the caller has received.
	lastEvent string
	events    int
	// begunVersion is the software version of the endpoint that sent the first event
	// of the stream; empty if it is not known.
	begunVersion table.SoftwareVersion
	// endRecord ends the record of the stream's version that BeginStream has begun; nil
	// if there is none.
	endRecord func()
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
	// unframed reports whether a response was forwarded that is delimited by the end of
	// its connection.
	unframed bool
	// report is the outcome that is reported to the coordinator.
	report peerv1.ReleaseOutcome
}

func (r *run) do(ctx context.Context) error {
	if refusal := r.checkQuarantine(); refusal != nil {
		return refusal
	}
	if refusal := r.findVersion(ctx); refusal != nil {
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
		if obstacle := r.retryObstacle(ctx, e); obstacle != "" {
			r.recordNoRetry(obstacle)
			return r.failAttempts(ctx, e)
		}
		r.f.Metrics.CountRetry(e.reason)
	}
}

// obstacle is the reason why a request is not sent to another endpoint.
type obstacle string

const (
	obstacleEnded         obstacle = "ended"
	obstacleNotRepeatable obstacle = "notRepeatable"
	obstacleRefused       obstacle = "refused"
	obstacleVersion       obstacle = "versionUnknown"
	obstacleAttempts      obstacle = "attempts"
	obstacleQuarantined   obstacle = "quarantined"
	obstacleBudget        obstacle = "retryBudget"
)

// retryObstacle returns why the request must not be sent to another endpoint after
// a failed attempt; "" if it may. A retry that is charged has then been taken from the
// budget.
func (r *run) retryObstacle(ctx context.Context, e attemptResult) obstacle {
	switch {
	case ctx.Err() != nil:
		return obstacleEnded
	case e.mayHaveRun && !r.req.repeatable():
		return obstacleNotRepeatable
	case errors.As(e.err, new(*outcome.Refusal)):
		return obstacleRefused
	case r.continues() && r.begunVersion == "":
		r.f.Metrics.Inc("streams.versionUnknown")
		return obstacleVersion
	case r.mayHaveRun >= r.req.Attempts || r.notRun >= maxNotRun:
		return obstacleAttempts
	case r.isQuarantined():
		return obstacleQuarantined
	case e.reason == outcome.ReasonConnect:
		// The endpoint has received nothing, so the next attempt repeats nothing
		// and is not charged to the retry budget.
	case !r.budget.Take():
		r.f.Metrics.Inc("retryBudget.exhausted")
		return obstacleBudget
	}
	return ""
}

// attempt sends the request to one endpoint and forwards the response.
func (r *run) attempt(ctx context.Context, grant *placement.Grant) attemptResult {
	r.begun, r.via, r.confirmed = false, "", false
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
		Probe:         r.versionProbe(endpoint),
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
	r.reached, r.via = true, x.Via()
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
	if !r.usable(e) || r.continues() && r.mayBeReplaced(e) {
		return errEndpointUnusable
	}
	return nil
}

// address returns the host and port of an endpoint.
func address(e *table.Endpoint) string {
	_, address, _ := strings.Cut(e.URL, "://")
	return address
}
