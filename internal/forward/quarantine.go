package forward

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// partKeys returns the keys of the parts of the prompt that other prompts may have. The
// last one is the request's own.
func (r *Request) partKeys() (keys []quarantine.PartKey) {
	for i := range len(r.Parts) - 1 {
		keys = append(keys, quarantine.PartKeyOf(r.Pool, r.Parts[i].ID))
	}
	return keys
}

// checkQuarantine returns a refusal if the request or a part of its prompt is
// quarantined. It has no Retry-After, because a retry would be refused as well. If mayTry
// is set, the request may become the trial of a part. It is logged and counted once a
// request: while an endpoint is silent, the question is asked again and again.
func (r *run) checkQuarantine(mayTry bool) *outcome.Refusal {
	if r.f.Quarantine.IsQuarantined(r.req.Fingerprint) {
		if !r.keptBack {
			r.f.Logger.Info("request kept back", "request", r.req.ID, "fingerprint", r.req.Fingerprint.String(), "class", r.req.Class)
		}
		r.keptBack = true
		return outcome.NotRunError(outcome.ReasonQuarantined, quarantine.Message)
	}
	if part, ok := r.quarantinedPart(mayTry); ok {
		if !r.keptBack {
			r.f.Metrics.Inc("quarantine.partRefused")
			r.f.Logger.Info("request kept back", "request", r.req.ID, "part", part.String(), "parts", sharedParts(r.req.Parts), "class", r.req.Class)
		}
		r.keptBack = true
		return outcome.NotRunError(outcome.ReasonQuarantined, quarantine.PartMessage)
	}
	return nil
}

// isQuarantined reports whether the request must not be sent again. A trial is repeated
// only if no endpoint has run it.
func (r *run) isQuarantined() bool {
	if r.f.Quarantine.IsQuarantined(r.req.Fingerprint) {
		return true
	}
	if r.tried {
		return r.mayHaveRun > 0 || r.reached && !r.f.Parts.MayRepeatTrial(r.partKeys)
	}
	_, found := r.quarantinedPart(true)
	return found
}

// endTrial records the result of a trial that has not completed. It must be called
// without mu.
func (r *run) endTrial() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tried || r.completed {
		return
	}
	result := quarantine.TrialNotSent
	switch {
	case r.terminatedEndpoint:
		result = quarantine.TrialFailed
	case r.reached:
		result = quarantine.TrialWithoutResult
		r.f.Metrics.Inc("quarantine.partTrialsWithoutResult")
	}
	r.f.Parts.RecordTrial(r.partKeys, result)
}

// quarantinedPart returns a part that keeps the request back; false if there is none, or
// if the request is a trial. If mayTry is set, it may become one, but no early one if
// endpoints have terminated during the request itself.
func (r *run) quarantinedPart(mayTry bool) (quarantine.PartKey, bool) {
	if len(r.partKeys) == 0 || r.tried {
		return 0, false
	}
	k, found, trial := r.f.Parts.Quarantined(r.partKeys, func(early bool) bool {
		return mayTry && r.f.MayTry(r.req.Pool) && (!early || !r.f.Quarantine.IsSuspect(r.req.Fingerprint))
	})
	if trial {
		r.tried = true
		r.f.Metrics.Inc("quarantine.partTrials")
		r.f.Logger.Info("trial of a quarantined part", "request", r.req.ID, "parts", sharedParts(r.req.Parts), "class", r.req.Class)
	}
	return k, found
}

// recordTermination records that an endpoint terminated while it ran the request.
func (f *Forwarder) recordTermination(r *Request, endpoint table.EndpointName) {
	f.Metrics.Inc("attempts.endpointEnded")
	f.Quarantine.RecordTermination(r.Fingerprint, endpoint)
	f.Parts.RecordTermination(r.partKeys(), endpoint)
}

// recordCompletion records that an endpoint has completed the request.
func (f *Forwarder) recordCompletion(r *Request) {
	f.Quarantine.RecordCompletion(r.Fingerprint)
	f.Parts.RecordCompletion(r.partKeys())
}

// terminated reports whether the endpoint's process terminated while it ran the
// request. If the request was aborted, it returns false and starts a later check.
func (c *call) terminated(e attemptResult, endpoint *table.Endpoint) bool {
	r := c.run
	lost := e.reason == outcome.ReasonTruncated || e.reason == outcome.ReasonConnectionLost
	switch {
	case !e.mayHaveRun || c.isSuperseded():
		return false
	case c.ctx.Err() != nil:
		go r.f.recheck(r.req, *endpoint)
		return false
	}
	return lost && r.f.Pool.HasTerminated(c.ctx, address(endpoint))
}

// recheckDelay is how long after an aborted request its endpoint is checked. If
// the request makes the endpoint terminate, that may happen a little later, and
// the endpoint is then unavailable for longer than this.
const recheckDelay = 500 * time.Millisecond

// recheck checks after recheckDelay whether an endpoint has terminated after a
// request there was aborted, and records that for the quarantine.
func (f *Forwarder) recheck(r *Request, endpoint table.Endpoint) {
	f.checkLater(endpoint, func(terminated bool) {
		if terminated {
			f.recordTermination(r, endpoint.Name)
		}
	})
}

// recheckUnframed checks after recheckDelay whether an endpoint has terminated after its
// response ended with the connection, and records that or the completion. A termination
// that another quarantined part explains does not speak against the response, at whose
// end the endpoint had not terminated.
func (f *Forwarder) recheckUnframed(r *Request, endpoint table.Endpoint) {
	f.checkLater(endpoint, func(terminated bool) {
		if terminated && !f.Parts.IsExplained(r.partKeys(), endpoint.Name) {
			f.recordTermination(r, endpoint.Name)
			return
		}
		f.recordCompletion(r)
	})
}

// checkLater waits for recheckDelay and then reports whether an endpoint has terminated,
// unless neither is known.
func (f *Forwarder) checkLater(endpoint table.Endpoint, report func(terminated bool)) {
	<-f.Clock.After(recheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), recheckDelay)
	defer cancel()
	switch {
	case f.Pool.IsListening(ctx, address(&endpoint)):
		report(false)
	case f.Pool.HasTerminated(ctx, address(&endpoint)):
		report(true)
	}
}
