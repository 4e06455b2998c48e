package dispatch

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

// Errors that end an attempt, in addition to those of the clients.
var (
	errPreempted          = errors.New("preempted")
	errCallerDisconnected = errors.New("caller disconnected")
	errHedgeLost          = errors.New("another endpoint was faster")
)

// occasion is why an attempt is made.
type occasion int

const (
	// inSequence means that no other attempt is open.
	inSequence occasion = iota
	// asHedge means that the open attempt is slow, but not beyond its deadline.
	asHedge
	// afterSilence means that the open attempts are silent beyond their
	// deadline.
	afterSilence
)

// eventKind is the kind of an event of an attempt.
type eventKind int

const (
	// eventSending means that a slot is reserved and the request is about to
	// be sent.
	eventSending eventKind = iota
	// eventBegun means that the header of the response was received.
	eventBegun
	// eventData means that a part of the response was received.
	eventData
	// eventEnd means that the attempt has ended.
	eventEnd
)

// event is something that happened in an attempt. Its data is valid until the
// next event is received.
type event struct {
	attempt *attempt
	kind    eventKind
	data    []byte
	// err is nil if the response is complete.
	err error
}

// attempt is one attempt to execute a request on an endpoint. Its goroutine
// reserves a slot, exchanges request and response, and releases the slot once
// the run has decided on the outcome.
type attempt struct {
	run    *run
	ctx    context.Context
	cancel context.CancelCauseFunc
	// index is the position among the attempts of the request, from zero.
	index    int
	occasion occasion
	// version is that of the response which the endpoint is to continue; nil if
	// the response begins with this attempt.
	version *table.SoftwareVersion
	// body is the request body, unless preparing it failed.
	body       []byte
	prepareErr error
	excluded   []table.EndpointName
	// silent lists those of the excluded endpoints that may be used again, over
	// a new connection, if no others are left.
	silent []table.EndpointName

	events chan<- event
	// buffers hold the data of the last event and of the one before in turn: a
	// run that receives an event may still use it while the next one is read.
	buffers [2][]byte
	// verdict receives the outcome for the coordinator, exactly once.
	verdict chan peerv1.ReleaseOutcome
	// released is closed when the slot was released.
	released chan struct{}

	grant *placement.Grant
	began time.Time
	// timeToFirstToken is the time from sending the request to the first event.
	timeToFirstToken time.Duration
	tokens           int
	// id is the id of the response, which all chunks must carry.
	id string
	// response is the response to a call.
	response *service.Response
	// maybeExecuted is set if the endpoint may have executed the request.
	maybeExecuted bool

	// sent and hasData are set once the run has handled such an event, lastSign
	// is when it handled the last one.
	sent, hasData bool
	lastSign      time.Time
	// activity records the activity of the endpoint; nil until sent is set. late is set
	// while the attempt counts as late there.
	activity *activity.Endpoint
	late     bool
}

// launch starts an attempt beside those that are open.
func (r *run) launch(ctx context.Context, o occasion) {
	open := r.openEndpoints()
	if o == afterSilence {
		open = append(open, r.d.activities.Silent(r.request.Pool, r.d.clock.Now())...)
	}
	a := &attempt{
		run:      r,
		index:    r.attempts,
		occasion: o,
		excluded: slices.Concat(r.failed, open),
		silent:   slices.Concat(r.silent, open),
		events:   r.events,
		verdict:  make(chan peerv1.ReleaseOutcome, 1),
		released: make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.prepareErr = r.content.prepare(a)
	r.attempts++
	r.open = append(r.open, a)
	go a.execute()
}

// execute runs the attempt until its slot is released.
func (a *attempt) execute() {
	defer close(a.released)
	err := a.exchange()
	cause := context.Cause(a.ctx)
	if errors.Is(cause, errPreempted) || errors.Is(cause, errHedgeLost) {
		err = cause
	}
	var o peerv1.ReleaseOutcome
	select {
	case a.events <- event{attempt: a, kind: eventEnd, err: err}:
		o = <-a.verdict
	case o = <-a.verdict:
	}
	a.cancel(nil)
	a.release(o)
}

func (a *attempt) exchange() (err error) {
	defer a.recoverPanic(&err)
	if a.prepareErr != nil {
		return outcome.NotRunError(outcome.ReasonBadRequest, a.prepareErr.Error())
	}
	if err := a.reserve(); err != nil {
		return err
	}
	a.began = a.run.d.clock.Now()
	if err := a.tell(eventSending, nil); err != nil {
		return err
	}
	return a.run.content.exchange(a)
}

// recoverPanic ends an attempt that panics, and its request with it, instead of the daemon.
// A refusal is not retried: another attempt would panic as well. It must be deferred.
func (a *attempt) recoverPanic(err *error) {
	p := recover()
	if p == nil {
		return
	}
	d := a.run.d
	d.metrics.Inc("panics")
	d.Logger.Error("panic", "panic", fmt.Sprint(p), "request", a.run.id, "stack", string(debug.Stack()))
	if a.began.IsZero() {
		*err = outcome.NotRunError(outcome.ReasonInternal, "an internal error")
		return
	}
	a.maybeExecuted = true
	*err = outcome.UnknownError(outcome.ReasonInternal, "an internal error; the request may have been executed")
}

// tell hands an event to the run, which receives it when it has handled the one
// before. It returns an error if the attempt was cancelled.
func (a *attempt) tell(kind eventKind, data []byte) error {
	b := &a.buffers[0]
	*b = append((*b)[:0], data...)
	a.buffers[0], a.buffers[1] = a.buffers[1], a.buffers[0]
	select {
	case a.events <- event{attempt: a, kind: kind, data: a.buffers[1]}:
		return nil
	case <-a.ctx.Done():
	}
	cause := context.Cause(a.ctx)
	if kind == eventData && errors.Is(cause, errHedgeLost) {
		a.run.d.metrics.Inc("wasted.tokens.hedge")
	}
	return cause
}

// end cancels the attempt and reports its outcome to the coordinator. It must be
// called once for each attempt.
func (a *attempt) end(cause error, o peerv1.ReleaseOutcome) {
	if a.activity != nil {
		a.endLate()
		a.activity.End()
	}
	a.cancel(cause)
	a.verdict <- o
}

// reserve waits for a slot on an endpoint that has the abilities that the
// attempt needs.
func (a *attempt) reserve() error {
	for {
		request := a.run.request
		request.Waited = a.run.d.clock.Since(a.run.began)
		request.Excluded = a.excluded
		request.Attempt = a.index
		request.Version = a.version
		g, err := a.run.d.placer.Reserve(a.ctx, request)
		if hasReason(err, outcome.ReasonNoEndpoint) && a.readmitSilent() {
			continue
		}
		if err != nil {
			return err
		}
		if a.version == nil || g.Endpoint.CanResume && g.Endpoint.SoftwareVersion == *a.version {
			a.grant = g
			if a.run.content.preemptible() {
				g.OnPreempted(func() { a.cancel(errPreempted) })
			}
			return nil
		}
		g.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		a.excluded = append(a.excluded, g.Endpoint.Name)
	}
}

// readmitSilent allows the attempt to use endpoints again that did not respond
// in time, and reports whether there are any. The endpoints may be healthy and
// only their connections stalled: a network device that loses its connection
// state breaks the connections to all endpoints at once, which excludes every
// endpoint although new connections work.
func (a *attempt) readmitSilent() bool {
	before := len(a.excluded)
	a.excluded = slices.DeleteFunc(a.excluded, func(e table.EndpointName) bool { return slices.Contains(a.silent, e) })
	a.silent = nil
	return len(a.excluded) < before
}

func hasReason(err error, reason outcome.Reason) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	return ok && refusal.Reason == reason
}

// checkID verifies that all chunks belong to the same response.
func (a *attempt) checkID(c *engine.Chunk) error {
	if a.id == "" {
		a.id = c.ID
	}
	if c.ID != a.id {
		return errors.Wrap(engine.ErrWrongResponse, "the id changed within the stream")
	}
	return nil
}

// release returns the slot, if one was reserved.
func (a *attempt) release(o peerv1.ReleaseOutcome) {
	if a.grant == nil {
		return
	}
	report := placement.Report{Outcome: o, FirstToken: a.timeToFirstToken, Tokens: a.tokens}
	if !a.began.IsZero() {
		report.Duration = a.run.d.clock.Since(a.began)
	}
	a.grant.Release(report)
}

func releaseOutcome(err error) peerv1.ReleaseOutcome {
	if err == nil {
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE
	}
	switch reasonOf(err) {
	case outcome.ReasonCallerGone, outcome.ReasonInternal:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
	case outcome.ReasonPreempted:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_PREEMPTED
	case outcome.ReasonEndpointRefused, outcome.ReasonUnattributed:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT
	}
	return peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
}

// reasonOf returns the reason under which a failure is counted.
func reasonOf(err error) outcome.Reason {
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		return refusal.Reason
	}
	switch {
	case errors.Is(err, errPreempted):
		return outcome.ReasonPreempted
	case errors.Is(err, errCallerDisconnected), errors.Is(err, errHedgeLost), errors.Is(err, context.Canceled):
		return outcome.ReasonCallerGone
	case errors.Is(err, engine.ErrNotSent):
		return outcome.ReasonConnect
	case errors.Is(err, engine.ErrRefused):
		return outcome.ReasonEndpointRefused
	case errors.Is(err, engine.ErrUnattributed):
		return outcome.ReasonUnattributed
	case errors.Is(err, engine.ErrTruncated), errors.Is(err, service.ErrTruncated):
		return outcome.ReasonTruncated
	case errors.Is(err, engine.ErrWrongResponse), errors.Is(err, engine.ErrMalformed), errors.Is(err, service.ErrWrongResponse):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonEndpointFailed
}
