package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/retrybudget"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxAttempts limits the attempts per request, not counting preempted ones.
	maxAttempts = 6
	// hedgeFactor is the multiple of the first-token target after which a
	// second engine is asked in parallel if the first has not responded.
	hedgeFactor = 2
	// backoffBase is the unit of the exponential backoff: after n attempts, the
	// wait is uniformly distributed between zero and 2^(n+1) times backoffBase.
	backoffBase = 10 * time.Millisecond
)

// content is how requests of one kind are executed. Only exchange is called in
// the goroutine of an attempt.
type content interface {
	// prepare sets what an attempt needs that is about to be launched.
	prepare(a *attempt) error
	// exchange sends the request to the reserved endpoint and tells the events
	// of the response.
	exchange(a *attempt) error
	// check returns an error if data is not a part of a response.
	check(data []byte) error
	// deliver passes data of the response to the caller.
	deliver(a *attempt, data []byte) error
	// complete is called when the response has ended.
	complete(a *attempt) error
	// begun reports whether the caller has a part of the response, resumable
	// whether another endpoint can go on from there.
	begun() bool
	resumable() bool
	// preemptible reports whether the scheduler may take the slot back.
	preemptible() bool
	// closeIdle closes the idle connections to an endpoint.
	closeIdle(e *table.Endpoint)
}

// run executes one request: by one attempt after the other while they fail, and
// by several at once while they are silent.
type run struct {
	d           *Dispatcher
	content     content
	id          string
	fingerprint quarantine.Fingerprint
	class       *table.Class
	// request is the reservation of each attempt.
	request placement.Request
	budget  *retrybudget.Budget
	limits  silenceLimits
	began   time.Time

	// events receives the events of all attempts.
	events chan event
	// open holds the attempts that have no outcome yet.
	open    []*attempt
	silence silence

	// attempts counts all attempts, including the first, and preempted those of
	// them whose reservation was revoked.
	attempts, preempted int
	// failed lists the endpoints that failed this request.
	failed []table.EndpointName
	// silent lists those of the failed endpoints that failed only by not
	// responding in time.
	silent []table.EndpointName
	// maybeExecuted is set once an endpoint may have executed the request.
	maybeExecuted bool
}

// start sets the fields that are the same for all kinds of requests.
func (r *run) start(d *Dispatcher, c content) {
	r.d, r.content = d, c
	r.budget = d.budgets.forRequest(r.class.Name)
	r.began = d.clock.Now()
	r.events = make(chan event)
	r.silence.timer = newSilenceTimer(d.clock)
}

// refusal returns the error with which the request ends.
func (r *run) refusal(reason outcome.Reason, message string) *outcome.Refusal {
	if r.maybeExecuted {
		return outcome.UnknownError(reason, message)
	}
	return outcome.NotRunError(reason, message)
}

// do makes attempts until one of them delivers the rest of the response.
func (r *run) do(ctx context.Context) error {
	defer r.silence.timer.timer.Stop()
	for {
		if r.d.suspects.IsQuarantined(r.fingerprint) {
			return r.refusal(outcome.ReasonQuarantined, quarantine.Message)
		}
		err := r.race(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return r.refusal(outcome.ReasonCallerGone, "the caller is gone")
		}
		if err := r.prepareRetry(ctx, err); err != nil {
			return err
		}
	}
}

// prepareRetry decides whether the request may be retried after err. If so, it
// counts the retry, waits for the backoff and returns nil, otherwise it returns
// the refusal for the caller.
func (r *run) prepareRetry(ctx context.Context, err error) error {
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		if r.maybeExecuted {
			refusal.Outcome = outcome.Unknown
		}
		return refusal
	}
	reason := reasonOf(err)
	switch {
	case reason == outcome.ReasonCallerGone:
		return r.refusal(reason, "the caller is gone")
	case r.maybeExecuted && !r.class.Idempotent:
		return r.refusal(reason, err.Error())
	case !r.content.resumable():
		return r.refusal(reason, "the answer broke off and can't be resumed: "+err.Error())
	case exemptFromBudget(reason):
		r.countRetry(reason)
		return nil
	case r.attempts >= maxAttempts+r.preempted:
		return r.refusal(reason, "every attempt failed: "+err.Error())
	case !r.budget.Take():
		r.d.metrics.Inc("retryBudget.exhausted")
		return r.refusal(outcome.ReasonRetryBudget, "too many requests of the class fail at the moment: "+err.Error())
	}
	r.countRetry(reason)
	return r.backOff(ctx)
}

// countRetry counts a retry by its reason.
func (r *run) countRetry(reason outcome.Reason) {
	r.d.metrics.CountRetry(reason)
	if exemptFromBudget(reason) {
		r.preempted++
	}
	if r.content.begun() {
		r.d.metrics.Inc("resumed." + string(reason))
	}
}

// mayRepeat reports whether the request may be sent again to the same endpoint
// over a new connection.
func (r *run) mayRepeat() bool { return r.d.mayRepeat(r.budget) }

// backOff waits with full jitter, so that requests that failed at the same time
// are not retried at the same time.
func (r *run) backOff(ctx context.Context) error {
	maxWait := 2 * backoffBase << min(r.attempts, maxAttempts)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.d.clock.After(rand.N(maxWait)):
		return nil
	}
}

// race makes an attempt, and others beside it while the open ones are silent.
// The one that brings the next event goes on, and the others are cancelled. It
// returns the last error if all fail.
func (r *run) race(ctx context.Context) error {
	defer r.dropAll()
	r.launch(ctx, inSequence)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-r.events:
			if ended, err := r.handle(e); ended {
				return err
			}
		case <-r.silence.timer.timer.Chan():
			if !r.silence.timer.expired() {
				r.markLate()
				continue
			}
			if err := r.handleSilence(ctx); err != nil {
				return err
			}
		}
	}
}

// handle handles an event, and reports whether the race has ended and how.
func (r *run) handle(e event) (ended bool, err error) {
	a := e.attempt
	if !slices.Contains(r.open, a) {
		// It was cancelled while it told the event.
		return false, nil
	}
	switch e.kind {
	case eventSending:
		r.handleSending(a)
	case eventBegun:
		r.silence.timer.stop()
		a.recordSign(r.d.clock.Now(), r.silence.overdue && r.isOverdue(a))
	case eventData:
		if err := r.handleData(a, e.data); err != nil {
			return r.handleEnd(a, err)
		}
	case eventEnd:
		return r.handleEnd(a, e.err)
	}
	return false, nil
}

func (r *run) handleSending(a *attempt) {
	now := r.d.clock.Now()
	a.sent = true
	a.lastSign = now
	a.activity = r.d.activities.Begin(&a.grant.Endpoint, now)
	r.silence.lastSign = now
	limit := r.limits.first
	switch a.occasion {
	case inSequence:
		r.silence.since = now
		if r.limits.hedge > 0 {
			limit = r.limits.hedge
		}
	case asHedge:
		r.d.metrics.Inc("hedged")
	case afterSilence:
		r.countRetry(outcome.ReasonSilent)
	}
	r.silence.timer.start(now, limit)
}

func (r *run) handleData(a *attempt, data []byte) error {
	if len(r.open) > 1 {
		// An endpoint that answers with an error must not end the others.
		if err := r.content.check(data); err != nil {
			return err
		}
	}
	wentOn := r.silence.overdue && r.isOverdue(a)
	r.settle(a)
	a.hasData = true
	r.maybeExecuted = true
	if err := r.content.deliver(a, data); err != nil {
		return err
	}
	// The caller may be slow to take the data, which is not the endpoint's
	// silence.
	now := r.d.clock.Now()
	a.lastSign = now
	a.recordSign(now, wentOn)
	r.silence.since, r.silence.lastSign = now, now
	r.silence.timer.start(now, r.limits.between)
	return nil
}

func (r *run) handleEnd(a *attempt, err error) (ended bool, _ error) {
	if err == nil {
		err = r.content.complete(a)
	}
	if err == nil {
		r.settle(a)
	} else {
		r.recordFailure(a, err)
	}
	r.open = slices.DeleteFunc(r.open, func(other *attempt) bool { return other == a })
	a.end(nil, releaseOutcome(err))
	<-a.released
	if err == nil || len(r.open) == 0 {
		return true, err
	}
	if !a.sent {
		r.refund(a)
		r.setAlone(string(reasonOf(err)))
	}
	return false, nil
}

// settle lets an attempt go on and cancels the others.
func (r *run) settle(winner *attempt) {
	if len(r.open) == 1 && !r.silence.overdue {
		return
	}
	r.endSilence(winner)
	for _, a := range r.open {
		if a != winner {
			r.lose(a, winner)
		}
	}
	r.open = append(r.open[:0], winner)
}

// lose ends an attempt that lost to another one. It counts as a failure of its
// endpoint only if that was silent beyond its deadline while another one was
// not.
func (r *run) lose(a, winner *attempt) {
	r.refund(a)
	if !a.sent || !r.isOverdue(a) || a.grant.Endpoint.Name == winner.grant.Endpoint.Name {
		a.end(errHedgeLost, peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE)
		return
	}
	r.failed = append(r.failed, a.grant.Endpoint.Name)
	r.silent = append(r.silent, a.grant.Endpoint.Name)
	a.end(errHedgeLost, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED)
}

func (r *run) isOverdue(a *attempt) bool {
	limit := r.limits.first
	if a.hasData {
		limit = r.limits.between
	}
	return r.d.clock.Since(a.lastSign) >= limit
}

// refund returns to the budget what was taken for an attempt that was not sent.
func (r *run) refund(a *attempt) {
	if a.occasion == inSequence || a.sent {
		return
	}
	r.attempts--
	r.budget.Return()
}

// dropAll ends the attempts that are still open.
func (r *run) dropAll() {
	r.silence.timer.stop()
	r.endSilence(nil)
	for _, a := range r.open {
		r.refund(a)
		r.maybeExecuted = r.maybeExecuted || a.sent
		a.end(nil, peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE)
	}
	r.open = nil
}

// handleSilence asks another endpoint if that is possible. The open attempts go
// on in any case, until the last one asked has had all of its time.
func (r *run) handleSilence(ctx context.Context) error {
	now := r.d.clock.Now()
	lasted := now.Sub(r.silence.lastSign)
	if r.limits.total > 0 && lasted >= r.limits.total {
		r.maybeExecuted = true
		return r.refusal(outcome.ReasonSilent, "no endpoint has sent anything within the deadline")
	}
	o, limit, next := afterSilence, r.limits.first, r.limits.first
	switch {
	case len(r.open) == 1 && r.open[0].hasData:
		limit, next = r.limits.between, r.limits.between
	case len(r.open) == 1 && lasted < r.limits.first:
		o, limit, next = asHedge, r.limits.hedge, r.limits.first-lasted
	}
	waitsOut := r.silence.overdue && r.silence.alone == aloneShared
	if o == afterSilence && !waitsOut {
		r.silence.overdue = true
		r.closeIdle()
	}
	reason := r.reasonAlone(lasted >= activity.SharedFactor*limit)
	switch reason {
	case "":
		r.launch(ctx, o)
	case aloneShared:
		next = min(next, activity.AskInterval)
	}
	if !waitsOut || reason != aloneShared {
		r.setAlone(reason)
	}
	r.silence.timer.start(now, next)
	return nil
}

// closeIdle closes the idle connections to the silent endpoints, which may have
// stalled as well.
func (r *run) closeIdle() {
	for _, a := range r.open {
		if a.sent {
			r.content.closeIdle(&a.grant.Endpoint)
		}
	}
}

func (r *run) openEndpoints() (names []table.EndpointName) {
	for _, a := range r.open {
		names = append(names, a.grant.Endpoint.Name)
	}
	return names
}

// recordFailure records the failure of an attempt.
func (r *run) recordFailure(a *attempt, err error) {
	if a.grant == nil {
		return
	}
	reason := reasonOf(err)
	if a.maybeExecuted {
		r.maybeExecuted = true
		// The attempt's own context may already be cancelled.
		r.d.recordEndpointFailure(context.WithoutCancel(a.ctx), r.fingerprint, &a.grant.Endpoint, reason)
	}
	if reason != outcome.ReasonPreempted {
		r.failed = append(r.failed, a.grant.Endpoint.Name)
	}
}
