package forward

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// quarantined returns the refusal of a request that is kept back. It has no time
// to come back after: a repeat would end as this one.
func (r *run) quarantined() *outcome.Refusal {
	if !r.f.Suspects.Kept(r.r.Fingerprint) {
		return nil
	}
	r.f.Logger.Info("request kept back", "request", r.r.ID, "fingerprint", r.r.Fingerprint.String(), "class", r.r.Class)
	return outcome.NotRunError(outcome.ReasonQuarantined, quarantine.Message)
}

// endpointEnded tells whether an endpoint ended while it had the request.
func (r *run) endpointEnded(ctx context.Context, e end, endpoint *table.Endpoint) bool {
	lost := e.reason == outcome.ReasonTruncated || e.reason == outcome.ReasonConnectionLost
	switch {
	case !e.ran:
		return false
	case ctx.Err() != nil:
		go r.f.lookAgain(r.r.Fingerprint, *endpoint)
		return false
	}
	return lost && r.f.Pool.Ended(ctx, address(endpoint))
}

// lookAgainAfter is when an endpoint is looked at again whose request was given
// up: it may end a little later because of it, and is gone for longer.
const lookAgainAfter = 500 * time.Millisecond

// lookAgain finds out whether an endpoint has ended after a request there was
// given up.
func (f *Forwarder) lookAgain(request quarantine.Fingerprint, endpoint table.Endpoint) {
	<-f.Clock.After(lookAgainAfter)
	ctx, cancel := context.WithTimeout(context.Background(), lookAgainAfter)
	defer cancel()
	if f.Pool.Alive(address(&endpoint)) || !f.Pool.Ended(ctx, address(&endpoint)) {
		return
	}
	f.Metrics.Inc("attempts.endpointEnded")
	f.Suspects.Ended(request, endpoint.Name)
}
