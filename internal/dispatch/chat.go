package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
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

// chatRun holds the state of one chat request across its attempts.
type chatRun struct {
	d      *Dispatcher
	chat   *Chat
	sink   Sink
	budget *retrybudget.Budget
	began  time.Time

	// response is the part of the response that the caller has received, version the
	// software version of the engine that began it.
	response response
	version  table.SoftwareVersion
	// tokens counts the events with text that the caller has received.
	tokens int
	// attempts counts all attempts, including the first, and preempted those of
	// them whose reservation was revoked.
	attempts, preempted int
	// failed lists the endpoints that failed this request.
	failed []table.EndpointName
	// silent lists those of the failed endpoints that failed only by not
	// responding in time.
	silent []table.EndpointName
	// maybeExecuted is set once an engine may have executed the request.
	maybeExecuted bool
}

func newChatRun(d *Dispatcher, chat *Chat, sink Sink) *chatRun {
	return &chatRun{d: d, chat: chat, sink: sink, budget: d.budgets.forRequest(chat.Class.Name), began: d.clock.Now()}
}

// refusal returns the error with which the request ends.
func (r *chatRun) refusal(reason outcome.Reason, message string) *outcome.Refusal {
	if r.maybeExecuted {
		return outcome.UnknownError(reason, message)
	}
	return outcome.NotRunError(reason, message)
}

// do makes attempts until one of them delivers the rest of the response.
func (r *chatRun) do(ctx context.Context) error {
	for {
		if r.d.suspects.IsQuarantined(r.chat.Fingerprint) {
			return r.refusal(outcome.ReasonQuarantined, quarantine.Message)
		}
		a, err := r.startAttempts(ctx)
		if err == nil {
			err = r.deliver(a)
		}
		if err == nil {
			r.d.suspects.RecordCompletion(r.chat.Fingerprint)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		if err := r.prepareRetry(ctx, err); err != nil {
			return err
		}
	}
}

// prepareRetry decides whether the request may be retried after err. If so, it
// counts the retry, waits for the backoff and returns nil, otherwise it returns
// the refusal for the caller.
func (r *chatRun) prepareRetry(ctx context.Context, err error) error {
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
	case r.maybeExecuted && !r.chat.Class.Idempotent:
		return r.refusal(reason, err.Error())
	case !r.response.resumable():
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
func (r *chatRun) countRetry(reason outcome.Reason) {
	r.d.metrics.CountRetry(reason)
	if exemptFromBudget(reason) {
		r.preempted++
	}
	if len(r.response.text) > 0 {
		r.d.metrics.Inc("resumed." + string(reason))
	}
}

// mayRepeat reports whether the request may be sent again to the same engine
// over a new connection.
func (r *chatRun) mayRepeat() bool { return r.d.mayRepeat(r.budget) }

// backOff waits with full jitter, so that requests that failed at the same time
// are not retried at the same time.
func (r *chatRun) backOff(ctx context.Context) error {
	maxWait := 2 * backoffBase << min(r.attempts, maxAttempts)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.d.clock.After(rand.N(maxWait)):
		return nil
	}
}

// startAttempts starts an attempt, and a hedged one if the first engine does
// not respond in time. It returns the attempt that receives an event first and
// cancels the other. If all fail, it returns the last error.
func (r *chatRun) startAttempts(ctx context.Context) (*attempt, error) {
	results := make(chan *attempt, 2)
	first := r.launch(ctx, results, slices.Clone(r.failed))
	attempts := []*attempt{first}
	sent := first.sending
	var hedge <-chan time.Time
	var lastErr error
	for pending := 1; pending > 0; {
		select {
		case a := <-results:
			pending--
			if a.err == nil {
				r.cancelOthers(a, attempts, results, pending)
				return a, nil
			}
			r.recordFailure(a)
			lastErr = a.err
		case <-sent:
			sent = nil
			hedge = r.hedgeTimer()
		case <-hedge:
			hedge = nil
			if !r.budget.Take() {
				r.d.metrics.Inc("retryBudget.exhausted")
				continue
			}
			r.d.metrics.Inc("hedged")
			attempts = append(attempts, r.launch(ctx, results, slices.Concat(r.failed, []table.EndpointName{first.endpoint()})))
			pending++
		}
	}
	return nil, lastErr
}

// hedgeTimer returns a channel that fires when a second engine should be asked,
// counted from now. It is nil if the request must not be hedged.
func (r *chatRun) hedgeTimer() <-chan time.Time {
	target := r.chat.Class.Target.FirstToken.Std()
	if target == 0 || !r.chat.Class.Idempotent {
		return nil
	}
	return r.d.clock.After(hedgeFactor * target)
}

// cancelOthers cancels all attempts except the winner. Those that have not
// reported a result yet are released when they do.
func (r *chatRun) cancelOthers(winner *attempt, attempts []*attempt, results <-chan *attempt, pending int) {
	for _, a := range attempts {
		if a != winner {
			a.cancel(errHedgeLost)
		}
	}
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if a := <-results; a.err == nil {
				a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE)
				r.d.metrics.Inc("wasted.tokens.hedge")
			}
		}
	}()
}

// recordFailure records the failure of an attempt.
func (r *chatRun) recordFailure(a *attempt) {
	if a.grant == nil {
		return
	}
	if a.maybeExecuted {
		r.maybeExecuted = true
		// The attempt's own context may already be cancelled.
		r.d.recordEndpointFailure(context.WithoutCancel(a.ctx), r.chat.Fingerprint, &a.grant.Endpoint, reasonOf(a.err))
	}
	if reasonOf(a.err) != outcome.ReasonPreempted {
		r.failed = append(r.failed, a.endpoint())
	}
	if reasonOf(a.err) == outcome.ReasonSilent {
		r.silent = append(r.silent, a.endpoint())
	}
}

// deliver forwards the events of an attempt to the caller until the end marker.
func (r *chatRun) deliver(a *attempt) (err error) {
	r.maybeExecuted = true
	defer func() {
		a.err = err
		if err != nil {
			a.err = a.failureCause(err)
			r.recordFailure(a)
			err = a.err
		}
		a.finish(releaseOutcome(a.err))
	}()
	for data := a.firstEvent; ; {
		if err := r.forwardEvent(a, data); err != nil {
			return err
		}
		data, err = a.stream.Next()
		if errors.Is(err, io.EOF) {
			return r.response.checkEnd()
		}
		if err != nil {
			return err
		}
	}
}

// forwardEvent sends one event to the caller.
func (r *chatRun) forwardEvent(a *attempt, data []byte) error {
	chunk, err := engine.ParseChunk(data)
	if err != nil {
		return err
	}
	if err := a.checkID(&chunk); err != nil {
		return err
	}
	if a.resumes {
		if data, err = r.response.rewrite(data, &chunk); err != nil {
			return err
		}
	}
	if err := r.sink(data, &chunk); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	if len(r.response.text) == 0 {
		r.version = a.grant.Endpoint.SoftwareVersion
	}
	if r.response.add(&chunk) {
		r.tokens++
		a.tokens++
		a.grant.RecordToken()
	}
	return nil
}
