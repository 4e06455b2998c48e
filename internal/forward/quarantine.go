package forward

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// checkQuarantine returns a refusal if the request is quarantined. It has no
// Retry-After, because a retry would be refused as well.
func (r *run) checkQuarantine() *outcome.Refusal {
	if !r.f.Quarantine.IsQuarantined(r.req.Fingerprint) {
		return nil
	}
	r.f.Logger.Info("request kept back", "request", r.req.ID, "fingerprint", r.req.Fingerprint.String(), "class", r.req.Class)
	return outcome.NotRunError(outcome.ReasonQuarantined, quarantine.Message)
}

// terminated reports whether the endpoint's process terminated while it ran the
// request. If the request was aborted, it returns false and starts a later check.
func (r *run) terminated(ctx context.Context, e attemptResult, endpoint *table.Endpoint) bool {
	lost := e.reason == outcome.ReasonTruncated || e.reason == outcome.ReasonConnectionLost
	switch {
	case !e.mayHaveRun:
		return false
	case ctx.Err() != nil:
		go r.f.recheck(r.req.Fingerprint, *endpoint)
		return false
	}
	return lost && r.f.Pool.HasTerminated(ctx, address(endpoint))
}

// recheckDelay is how long after an aborted request its endpoint is checked. If
// the request makes the endpoint terminate, that may happen a little later, and
// the endpoint is then unavailable for longer than this.
const recheckDelay = 500 * time.Millisecond

// recheck checks after recheckDelay whether an endpoint has terminated after a
// request there was aborted, and records that for the quarantine.
func (f *Forwarder) recheck(request quarantine.Fingerprint, endpoint table.Endpoint) {
	<-f.Clock.After(recheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), recheckDelay)
	defer cancel()
	if f.Pool.Alive(address(&endpoint)) || !f.Pool.HasTerminated(ctx, address(&endpoint)) {
		return
	}
	f.Metrics.Inc("attempts.endpointEnded")
	f.Quarantine.RecordTermination(request, endpoint.Name)
}
