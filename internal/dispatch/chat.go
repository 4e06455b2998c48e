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
	// maxAttempts bounds how often one request is sent for failures.
	maxAttempts = 6
	// hedgeSlack is after how many first-token targets a silent engine is
	// doubted and a second one is asked as well.
	hedgeSlack = 2
	// backoffUnit is the mean wait before the second attempt.
	backoffUnit = 10 * time.Millisecond
)

// chatRun is the progress of one chat request over its attempts.
type chatRun struct {
	d      *Dispatcher
	chat   *Chat
	sink   Sink
	budget *retrybudget.Budget
	began  time.Time

	// answer is what the caller has of the answer.
	answer answer
	// tokens counts the events with text that the caller has.
	tokens int
	// attempts counts legs, the first included; preempted those of them that
	// gave their place back.
	attempts, preempted int
	// failed lists the endpoints that failed this request.
	failed []table.EndpointName
	// silent lists those of them that failed by silence only.
	silent []table.EndpointName
	// sent says that an engine may have executed the request.
	sent bool
}

func newChatRun(d *Dispatcher, chat *Chat, sink Sink) *chatRun {
	return &chatRun{d: d, chat: chat, sink: sink, budget: d.budgets.of(chat.Class.Name), began: d.clock.Now()}
}

// refusal returns the error of the whole run.
func (r *chatRun) refusal(reason outcome.Reason, message string) *outcome.Refusal {
	if r.sent {
		return outcome.UnknownError(reason, message)
	}
	return outcome.NotRunError(reason, message)
}

// do runs legs until one delivers the rest of the answer.
func (r *chatRun) do(ctx context.Context) error {
	for {
		if r.d.suspects.Kept(r.chat.Fingerprint) {
			return r.refusal(outcome.ReasonQuarantined, quarantine.Message)
		}
		l, err := r.open(ctx)
		if err == nil {
			err = r.deliver(l)
		}
		if err == nil {
			r.d.suspects.Completed(r.chat.Fingerprint)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		if err := r.mayGoOn(ctx, err); err != nil {
			return err
		}
	}
}

// mayGoOn decides whether another leg may follow a failure. If not, it
// returns the refusal.
func (r *chatRun) mayGoOn(ctx context.Context, err error) error {
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		if r.sent {
			refusal.Outcome = outcome.Unknown
		}
		return refusal
	}
	reason := reasonOf(err)
	switch {
	case reason == outcome.ReasonCallerGone:
		return r.refusal(reason, "the caller is gone")
	case r.sent && !r.chat.Class.Idempotent:
		return r.refusal(reason, err.Error())
	case !r.answer.resumable():
		return r.refusal(reason, "the answer broke off and can't be resumed: "+err.Error())
	case free(reason):
		r.count(reason)
		return nil
	case r.attempts >= maxAttempts+r.preempted:
		return r.refusal(reason, "every attempt failed: "+err.Error())
	case !r.budget.Take():
		r.d.metrics.Inc("retryBudget.exhausted")
		return r.refusal(outcome.ReasonRetryBudget, "too many requests of the class fail at the moment: "+err.Error())
	}
	r.count(reason)
	return r.backOff(ctx)
}

// count counts a further attempt.
func (r *chatRun) count(reason outcome.Reason) {
	r.d.metrics.Retried(reason)
	if free(reason) {
		r.preempted++
	}
	if len(r.answer.text) > 0 {
		r.d.metrics.Inc("resumed." + string(reason))
	}
}

// mayRepeat tells whether the request may be sent once more to the same engine,
// over a new connection.
func (r *chatRun) mayRepeat() bool { return r.d.mayRepeat(r.budget) }

// backOff waits with full jitter, so that requests that failed together do
// not come back together.
func (r *chatRun) backOff(ctx context.Context) error {
	most := 2 * backoffUnit << min(r.attempts, maxAttempts)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.d.clock.After(rand.N(most)):
		return nil
	}
}

// open starts a leg, and a second one if the first engine stays silent, and
// returns the one that brings its first event. The others are given up.
func (r *chatRun) open(ctx context.Context) (*leg, error) {
	results := make(chan *leg, 2)
	first := r.launch(ctx, results, slices.Clone(r.failed))
	legs := []*leg{first}
	sent := first.sent
	var hedge <-chan time.Time
	var lastErr error
	for open := 1; open > 0; {
		select {
		case l := <-results:
			open--
			if l.err == nil {
				r.giveUpOthers(l, legs, results, open)
				return l, nil
			}
			r.note(l)
			lastErr = l.err
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
			legs = append(legs, r.launch(ctx, results, slices.Concat(r.failed, []table.EndpointName{first.endpoint()})))
			open++
		}
	}
	return nil, lastErr
}

// hedgeTimer returns a channel that tells when a second engine should be
// asked, counted from now; nil if never.
func (r *chatRun) hedgeTimer() <-chan time.Time {
	target := r.chat.Class.Target.FirstToken.Std()
	if target == 0 || !r.chat.Class.Idempotent {
		return nil
	}
	return r.d.clock.After(hedgeSlack * target)
}

// giveUpOthers cancels the legs that lost. Those that still come are released
// when they do.
func (r *chatRun) giveUpOthers(winner *leg, legs []*leg, results <-chan *leg, open int) {
	for _, l := range legs {
		if l != winner {
			l.cancel(errLost)
		}
	}
	if open == 0 {
		return
	}
	go func() {
		for range open {
			if l := <-results; l.err == nil {
				l.end(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE)
				r.d.metrics.Inc("wasted.tokens.hedge")
			}
		}
	}()
}

// note takes in how a leg failed.
func (r *chatRun) note(l *leg) {
	if l.grant == nil {
		return
	}
	if l.mayHaveRun {
		r.sent = true
		// The leg's own context may have ended with it.
		r.d.noteFailure(context.WithoutCancel(l.ctx), r.chat.Fingerprint, &l.grant.Endpoint, reasonOf(l.err))
	}
	if reasonOf(l.err) != outcome.ReasonPreempted {
		r.failed = append(r.failed, l.endpoint())
	}
	if reasonOf(l.err) == outcome.ReasonSilent {
		r.silent = append(r.silent, l.endpoint())
	}
}

// deliver passes the leg's events to the caller until the end marker.
func (r *chatRun) deliver(l *leg) (err error) {
	r.sent = true
	defer func() {
		l.err = err
		if err != nil {
			l.err = l.explain(err)
			r.note(l)
			err = l.err
		}
		l.end(releaseOutcome(l.err))
	}()
	for data := l.first; ; {
		if err := r.pass(l, data); err != nil {
			return err
		}
		data, err = l.stream.Next()
		if errors.Is(err, io.EOF) {
			return r.answer.checkEnd()
		}
		if err != nil {
			return err
		}
	}
}

// pass gives one event to the caller.
func (r *chatRun) pass(l *leg, data []byte) error {
	chunk, err := engine.ParseChunk(data)
	if err != nil {
		return err
	}
	if err := l.checkID(&chunk); err != nil {
		return err
	}
	if l.resumes {
		if data, err = r.answer.rewrite(data, &chunk); err != nil {
			return err
		}
	}
	if err := r.sink(data, &chunk); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if r.answer.add(&chunk) {
		r.tokens++
		l.tokens++
		l.grant.Token()
	}
	return nil
}
