package forward

import (
	"fmt"
	"runtime/debug"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// recoverPanic ends a call that panics, and its request with it, instead of the daemon. end
// receives the refusal for the caller. It must be deferred, and be called without run.mu.
func (c *call) recoverPanic(end func(*outcome.Refusal)) {
	p := recover()
	if p == nil {
		return
	}
	r := c.run
	r.f.Metrics.Inc("panics")
	r.f.Logger.Error("panic", "panic", fmt.Sprint(p), "request", r.req.ID, "stack", string(debug.Stack()))
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.sent {
		end(outcome.UnknownError(outcome.ReasonInternal, "an internal error; the request may have been executed"))
		return
	}
	end(outcome.NotRunError(outcome.ReasonInternal, "an internal error"))
}

// panickedResult returns the result of an attempt that has panicked, which says nothing
// about its endpoint. A refusal is not retried: another attempt would panic as well.
func panickedResult(refusal *outcome.Refusal) attemptResult {
	return attemptResult{
		err: refusal, reason: outcome.ReasonInternal, mayHaveRun: refusal.Outcome == outcome.Unknown,
		report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE,
	}
}

// dropCalls keeps calls that a panic has left in progress from writing to the caller. It
// must be called without mu.
func (r *run) dropCalls() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		c.superseded = true
		c.cancel()
	}
}
