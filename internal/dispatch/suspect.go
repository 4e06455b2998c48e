package dispatch

import (
	"context"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// noteFailure takes in that an endpoint that may have run a request failed it.
// If it has ended, and not only the connection, the request is suspect.
func (d *Dispatcher) noteFailure(ctx context.Context, f quarantine.Fingerprint, e *table.Endpoint, reason outcome.Reason) {
	switch reason {
	case outcome.ReasonCallerGone, outcome.ReasonPreempted, outcome.ReasonSilent, outcome.ReasonEndpointRefused:
		return
	}
	if ctx.Err() == nil && endpoint.Ended(ctx, e.URL) {
		d.metrics.Inc("attempts.endpointEnded")
		d.suspects.Ended(f, e.Name)
	}
}
