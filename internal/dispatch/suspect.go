package dispatch

import (
	"context"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// recordEndpointFailure handles the failure of a request at an endpoint that
// may have executed it. If the endpoint itself has terminated, and not only the
// connection, the request is recorded as a suspect for quarantine.
func (d *Dispatcher) recordEndpointFailure(ctx context.Context, f quarantine.Fingerprint, e *table.Endpoint, reason outcome.Reason) {
	switch reason {
	case outcome.ReasonCallerGone, outcome.ReasonPreempted, outcome.ReasonEndpointRefused:
		return
	}
	if ctx.Err() == nil && endpoint.HasTerminated(ctx, e.URL, d.OtherEndpoints(e)) {
		d.metrics.Inc("attempts.endpointEnded")
		d.suspects.RecordTermination(f, e.Name)
	}
}
