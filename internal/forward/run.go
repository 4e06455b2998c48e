package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/responseroom"
	"github.com/beechhead/beechhead/pkg/table"
)

// maxNotRun is the maximum number of attempts of a request at endpoints that
// certainly did not run it, because they could not be reached or refused it.
const maxNotRun = 4

// run is the state of one request across its attempts, several of which may go on at
// once. Its methods require mu unless they say otherwise.
type run struct {
	f      *Forwarder
	req    *Request
	budget Budget
	began  time.Time
	// partKeys are the keys of the parts of the prompt that others may share.
	partKeys []quarantine.PartKey
	// ended receives each call that has ended.
	ended chan *call

	mu sync.Mutex
	// sink is used by the call that leads, and by do when no other call goes on.
	sink Sink
	// calls are the attempts in progress, oldest first. They include those that were
	// superseded and have not ended yet.
	calls []*call
	// nextHedge is the time before which no further attempt is begun for silence.
	nextHedge time.Time
	// mayHaveRun counts the failed attempts in which the endpoint may have run
	// the request, notRun those in which it certainly has not.
	mayHaveRun, notRun int
	// staleRetries counts the reservations that were repeated after a refusal
	// that may be due to different table versions.
	staleRetries int
	failed       []table.EndpointName
	// unanswered lists those of the failed endpoints that have only not answered a probe.
	// They may be paused, and are asked again if no others are left.
	unanswered []table.EndpointName
	// readmitted reports whether such endpoints were asked again. Their failures are then
	// no longer logged, since each may come three times a second.
	readmitted bool
	// tried reports whether the request is the trial of a quarantined part.
	tried bool
	// keptBack reports whether it was recorded that the request is kept back.
	keptBack bool
	// reached reports whether an endpoint has received the request, terminatedEndpoint
	// whether one has terminated while it ran it, completed whether one has completed it.
	reached, terminatedEndpoint, completed bool
	// sentTo holds the address of each attempt in which an endpoint has received the request.
	sentTo []string
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
	// failure is the result of the last attempt that failed and was no hedge, or was sent;
	// nil if there was none.
	failure *attemptResult
	// unattributed reports whether a response came that may answer another request.
	unattributed bool
	// traces describe the attempts that have ended, for the log.
	traces []attemptTrace
	// abandoned reports whether the time has passed until which the request might have been
	// sent, since this daemon is leaving.
	abandoned bool
	// holdings account for the buffers of responses until the request has ended: that of a
	// failure is kept in case that no other endpoint answers.
	holdings []*responseroom.Holding
	// promised reports whether a response was forwarded whose status callers take to mean
	// that the request was not run.
	promised bool
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

// do runs the request. It must be called without mu.
func (r *run) do(ctx context.Context) error {
	if refusal := r.begin(ctx); refusal != nil {
		return refusal
	}
	timer := r.f.Clock.NewTimer(r.untilSilent())
	defer timer.Stop()
	leaving, lastStart := r.f.Grace.Begun(), (<-chan time.Time)(nil)
	for {
		select {
		case <-leaving:
			leaving, lastStart = nil, r.f.Clock.After(r.untilLastStart())
		case <-lastStart:
			r.abandonUnsent()
		case c := <-r.ended:
			if done, err := r.end(ctx, c); done {
				return err
			}
		case <-timer.Chan():
			r.checkSilence(ctx)
		}
		timer.Reset(r.untilSilent())
	}
}

// begin begins the first attempt, or returns a refusal. It must be called without mu.
func (r *run) begin(ctx context.Context) *outcome.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tooLate() {
		return r.leavingRefusal()
	}
	if refusal := r.checkQuarantine(true); refusal != nil {
		return refusal
	}
	if refusal := r.findVersion(ctx); refusal != nil {
		return refusal
	}
	r.start(ctx, false)
	return nil
}

// start begins an attempt.
func (r *run) start(ctx context.Context, hedge bool) {
	c := &call{run: r, hedge: hedge}
	c.ctx, c.cancel = context.WithCancel(ctx)
	r.calls = append(r.calls, c)
	go func() {
		c.do()
		r.ended <- c
	}()
}

// end takes in a call that has ended. It reports whether the request has ended with it,
// and with which error. It must be called without mu.
func (r *run) end(ctx context.Context, c *call) (done bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = slices.DeleteFunc(r.calls, func(other *call) bool { return other == c })
	r.addTrace(c)
	if c.err == nil && c.result.err == nil {
		r.recordAnswered(c)
		return true, nil
	}
	r.recordEnd(c)
	if r.isInProgress() {
		r.nextHedge = r.f.Clock.Now().Add(hedgeInterval)
		return false, nil
	}
	return r.retry(ctx, c)
}

// recordEnd records a call that has brought no response.
func (r *run) recordEnd(c *call) {
	switch {
	case c.err == nil && (c.sent || !c.superseded):
		r.recordFailure(c)
		if !c.superseded && (c.sent || !c.hedge) {
			r.failure = &c.result
		}
	case c.hedge && !c.superseded:
		r.f.Metrics.Inc("silence.noSlot")
	}
	if c.hedge && !c.sent {
		r.budget.Return()
	}
}

// readmitUnanswered allows to ask the endpoints again that have not answered a probe, and
// reports whether there are any. It must be called without mu.
func (r *run) readmitUnanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unanswered) == 0 {
		return false
	}
	r.failed = slices.DeleteFunc(r.failed, func(e table.EndpointName) bool { return slices.Contains(r.unanswered, e) })
	r.unanswered, r.readmitted = nil, true
	return true
}

// retry makes another attempt after the last call in progress has ended, or ends the
// request. A hedge that was not sent decides nothing: its slot was asked for under other
// conditions than that of a retry.
func (r *run) retry(ctx context.Context, last *call) (done bool, err error) {
	failure := r.failure
	switch {
	case failure != nil && last.hedge && !last.sent:
	case last.err != nil:
		return true, r.failReserve(ctx, last.err)
	default:
		failure = &last.result
	}
	if why := r.retryObstacle(ctx, *failure); why != "" {
		r.recordNoRetry(why)
		return true, r.failAttempts(ctx, *failure)
	}
	r.f.Metrics.CountRetry(failure.reason)
	r.start(ctx, false)
	return false, nil
}

// isInProgress reports whether an attempt that was not superseded goes on.
func (r *run) isInProgress() bool { return r.goesOnWithout(nil) }

// goesOnWithout reports whether an attempt other than c goes on that was not superseded.
func (r *run) goesOnWithout(c *call) bool {
	return slices.ContainsFunc(r.calls, func(other *call) bool { return other != c && !other.superseded })
}

// attempts returns the number of endpoints that may have run the request or may yet do so.
func (r *run) attempts() int {
	n := r.mayHaveRun
	for _, c := range r.calls {
		if c.sent || !c.superseded {
			n++
		}
	}
	return n
}

// obstacle is the reason why a request is not sent to another endpoint.
type obstacle string

const (
	obstacleEnded         obstacle = "ended"
	obstacleNotRepeatable obstacle = "notRepeatable"
	obstacleRefused       obstacle = "refused"
	obstacleVersion       obstacle = "versionUnknown"
	obstacleAttempts      obstacle = "attempts"
	obstacleBegun         obstacle = "responseBegun"
	obstacleQuarantined   obstacle = "quarantined"
	obstacleBudget        obstacle = "retryBudget"
	obstacleShared        obstacle = "sharedSilence"
	obstacleLeaving       obstacle = "leaving"
)

// retryObstacle returns why the request must not be sent to another endpoint after
// a failed attempt; "" if it may. A retry that is charged has then been taken from the
// budget.
func (r *run) retryObstacle(ctx context.Context, e attemptResult) obstacle {
	switch {
	case ctx.Err() != nil:
		return obstacleEnded
	case e.mayHaveRun && !r.req.Repeatable():
		return obstacleNotRepeatable
	case errors.As(e.err, new(*outcome.Refusal)):
		return obstacleRefused
	case r.headSent && r.req.Kind != catalog.Stream:
		return obstacleBegun
	case r.tooLate():
		return obstacleLeaving
	}
	if why := r.attemptObstacle(); why != "" {
		return why
	}
	switch {
	case r.isQuarantined():
		return obstacleQuarantined
	case e.reason == outcome.ReasonConnect:
		// The endpoint has received nothing, so the next attempt repeats nothing
		// and is not charged to the retry budget.
	case !r.takeRetry():
		return obstacleBudget
	}
	return ""
}

// attemptObstacle returns why no further attempt may be made, whatever the last one was;
// "" if it may.
func (r *run) attemptObstacle() obstacle {
	switch {
	case r.continues() && r.begunVersion == "":
		r.f.Metrics.Inc("streams.versionUnknown")
		return obstacleVersion
	case r.attempts() >= r.req.Attempts || r.notRun >= maxNotRun:
		return obstacleAttempts
	}
	return ""
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (r *run) takeRetry() bool {
	if r.budget.Take() {
		return true
	}
	r.f.Metrics.Inc("retryBudget.exhausted")
	return false
}
