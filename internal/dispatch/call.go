package dispatch

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/retrybudget"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

// Call is one request to a plain service.
type Call struct {
	// Fingerprint identifies the request. It is the same each time a caller
	// repeats the request.
	Fingerprint quarantine.Fingerprint

	Account table.AccountName
	Class   *table.Class
	Pool    table.Pool
	Request service.Request
}

// firstByteDivisor sets the part of its timeout after which an idempotent call
// without any response is retried over another connection or endpoint: its
// connection may be stalled for good while new ones work. A call that must not
// be repeated waits for the full timeout.
const firstByteDivisor = 3

// Call executes a request to a plain service. A request of a class that is not
// idempotent is sent at most once. A returned error is an *outcome.Refusal.
func (d *Dispatcher) Call(ctx context.Context, call *Call) (*service.Response, error) {
	done, err := d.limits.Admit(ctx, call.Class, call.Account)
	if err != nil {
		return nil, err
	}
	defer done()
	call.Request.Timeout = callDeadline(call.Class.Target)
	call.Request.Idempotent = call.Class.Idempotent
	if call.Class.Idempotent {
		call.Request.FirstByte = call.Request.Timeout / firstByteDivisor
	}
	run := &callRun{d: d, call: call, budget: d.budgets.forRequest(call.Class.Name)}
	call.Request.MayRepeat = func() bool { return d.mayRepeat(run.budget) }
	return run.do(ctx)
}

// callRun holds the state of one call across its attempts.
type callRun struct {
	d      *Dispatcher
	call   *Call
	budget *retrybudget.Budget
	// failed lists the endpoints that failed this call.
	failed []table.EndpointName
	// maybeExecuted is set once an endpoint may have executed the call.
	maybeExecuted bool
}

func (r *callRun) do(ctx context.Context) (*service.Response, error) {
	began := r.d.clock.Now()
	for attempt := 0; ; attempt++ {
		if r.d.suspects.IsQuarantined(r.call.Fingerprint) {
			return nil, r.refusal(outcome.ReasonQuarantined, quarantine.Message)
		}
		grant, err := r.d.placer.Reserve(ctx, placement.Request{
			Pool:     r.call.Pool,
			Class:    r.call.Class.Name,
			Account:  r.call.Account,
			Waited:   r.d.clock.Since(began),
			Excluded: r.failed,
			Attempt:  attempt,
		})
		if err != nil {
			return nil, r.reserveRefusal(ctx, err)
		}
		resp, err := r.send(ctx, grant)
		if err == nil {
			if resp.Status/100 == 2 {
				r.d.suspects.RecordCompletion(r.call.Fingerprint)
			}
			return resp, nil
		}
		if err := r.prepareRetry(ctx, attempt, err); err != nil {
			return nil, err
		}
	}
}

// send makes one attempt at the endpoint of the grant.
func (r *callRun) send(ctx context.Context, grant *placement.Grant) (*service.Response, error) {
	began := r.d.clock.Now()
	resp, err := r.d.services.Do(ctx, &grant.Endpoint, r.call.Request)
	o := peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE
	switch {
	case err != nil && ctx.Err() != nil:
		o = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
	case err != nil:
		o = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED
		r.failed = append(r.failed, grant.Endpoint.Name)
	}
	grant.Release(placement.Report{Outcome: o, Duration: r.d.clock.Since(began)})
	if err != nil && !errors.Is(err, service.ErrNotSent) {
		r.maybeExecuted = true
		r.d.recordEndpointFailure(ctx, r.call.Fingerprint, &grant.Endpoint, callReason(err))
	}
	return resp, err
}

// prepareRetry decides whether the call may be retried at another endpoint
// after err. If so, it counts the retry and returns nil, otherwise it returns
// the refusal for the caller.
func (r *callRun) prepareRetry(ctx context.Context, attempt int, err error) error {
	reason := callReason(err)
	switch {
	case ctx.Err() != nil:
		return r.refusal(outcome.ReasonCallerGone, "the caller is gone")
	case r.maybeExecuted && !r.call.Class.Idempotent:
		return r.refusal(reason, err.Error())
	case attempt+1 >= maxAttempts:
		return r.refusal(reason, "every attempt failed: "+err.Error())
	case !r.budget.Take():
		r.d.metrics.Inc("retryBudget.exhausted")
		return r.refusal(outcome.ReasonRetryBudget, "too many requests of the class fail at the moment: "+err.Error())
	}
	r.d.metrics.CountRetry(reason)
	return nil
}

// reserveRefusal returns the refusal for a reservation that failed with err.
func (r *callRun) reserveRefusal(ctx context.Context, err error) *outcome.Refusal {
	if ctx.Err() != nil {
		return r.refusal(outcome.ReasonCallerGone, "the caller is gone")
	}
	refusal := outcome.FromError(err)
	if r.maybeExecuted {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

func (r *callRun) refusal(reason outcome.Reason, message string) *outcome.Refusal {
	if r.maybeExecuted {
		return outcome.UnknownError(reason, message)
	}
	return outcome.NotRunError(reason, message)
}

// callReason returns the reason under which the failure of a call is counted.
func callReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, service.ErrNotSent):
		return outcome.ReasonConnect
	case errors.Is(err, service.ErrSilent):
		return outcome.ReasonSilent
	case errors.Is(err, service.ErrTruncated):
		return outcome.ReasonTruncated
	case errors.Is(err, service.ErrWrongResponse):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonEndpointFailed
}
