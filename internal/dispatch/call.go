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

// Call is one call of a plain service.
type Call struct {
	// Fingerprint is the same for all attempts of a caller at one request.
	Fingerprint quarantine.Fingerprint

	Account table.AccountName
	Class   *table.Class
	Pool    table.Pool
	Request service.Request
}

// firstByteShare is the part of its deadline after which an idempotent call
// that nothing is heard of is tried elsewhere: its connection may be silent
// for good while new ones work. A call that may not repeat waits on.
const firstByteShare = 3

// Call runs a call of a plain service. A call of a class that is not
// idempotent is sent at most once. The error is a refusal.
func (d *Dispatcher) Call(ctx context.Context, call *Call) (*service.Response, error) {
	done, err := d.limits.Admit(ctx, call.Class, call.Account)
	if err != nil {
		return nil, err
	}
	defer done()
	call.Request.Timeout = callDeadline(call.Class.Target)
	call.Request.Idempotent = call.Class.Idempotent
	if call.Class.Idempotent {
		call.Request.FirstByte = call.Request.Timeout / firstByteShare
	}
	run := &callRun{d: d, call: call, budget: d.budgets.of(call.Class.Name)}
	call.Request.MayRepeat = func() bool { return d.mayRepeat(run.budget) }
	return run.do(ctx)
}

// callRun is the progress of one call over its attempts.
type callRun struct {
	d      *Dispatcher
	call   *Call
	budget *retrybudget.Budget
	// failed lists the endpoints that failed this call.
	failed []table.EndpointName
	// sent says that an endpoint may have executed the call.
	sent bool
}

func (r *callRun) do(ctx context.Context) (*service.Response, error) {
	began := r.d.clock.Now()
	for attempt := 0; ; attempt++ {
		if r.d.suspects.Kept(r.call.Fingerprint) {
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
				r.d.suspects.Completed(r.call.Fingerprint)
			}
			return resp, nil
		}
		if err := r.mayGoOn(ctx, attempt, err); err != nil {
			return nil, err
		}
	}
}

// send sends the call to one endpoint.
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
		r.sent = true
		r.d.noteFailure(ctx, r.call.Fingerprint, &grant.Endpoint, callReason(err))
	}
	return resp, err
}

// mayGoOn decides whether another endpoint may be asked after a failure. If
// not, it returns the refusal.
func (r *callRun) mayGoOn(ctx context.Context, attempt int, err error) error {
	reason := callReason(err)
	switch {
	case ctx.Err() != nil:
		return r.refusal(outcome.ReasonCallerGone, "the caller is gone")
	case r.sent && !r.call.Class.Idempotent:
		return r.refusal(reason, err.Error())
	case attempt+1 >= maxAttempts:
		return r.refusal(reason, "every attempt failed: "+err.Error())
	case !r.budget.Take():
		r.d.metrics.Inc("retryBudget.exhausted")
		return r.refusal(outcome.ReasonRetryBudget, "too many requests of the class fail at the moment: "+err.Error())
	}
	r.d.metrics.Retried(reason)
	return nil
}

// reserveRefusal returns the refusal when no place was found.
func (r *callRun) reserveRefusal(ctx context.Context, err error) *outcome.Refusal {
	if ctx.Err() != nil {
		return r.refusal(outcome.ReasonCallerGone, "the caller is gone")
	}
	refusal := outcome.Of(err)
	if r.sent {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

func (r *callRun) refusal(reason outcome.Reason, message string) *outcome.Refusal {
	if r.sent {
		return outcome.UnknownError(reason, message)
	}
	return outcome.NotRunError(reason, message)
}

// callReason returns why a call failed.
func callReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, service.ErrNotSent):
		return outcome.ReasonConnect
	case errors.Is(err, service.ErrSilent):
		return outcome.ReasonSilent
	case errors.Is(err, service.ErrTruncated):
		return outcome.ReasonTruncated
	case errors.Is(err, service.ErrWrongAnswer):
		return outcome.ReasonWrongAnswer
	}
	return outcome.ReasonEndpointFailed
}
