package gateway

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/streamversion"
	"github.com/beechhead/beechhead/pkg/table"
)

// recordLifetimeFactor is how long the version of a stream is kept, in multiples of the
// time that its request has: the caller may take the stream up until then, and wait as
// long again.
const recordLifetimeFactor = 2

// buildStreams creates the directory of the versions of streams.
func (g *Gateway) buildStreams() {
	g.streams = &streamversion.Directory{
		Clock: g.clock,
		Self:  g.view.Self,
		Hosts: g.view.Hosts,
		Send: func(addresses []string, m *peerv1.StreamVersion) {
			if g.beacons != nil {
				_ = g.sendBeacon(addresses, &peerv1.Beacon{Stream: m})
			}
		},
		Count: g.metrics.Inc,
	}
}

// beginStream records the version at which a stream has begun. A request that resumes a
// stream extends the record under which the caller will look for it again.
func (g *Gateway) beginStream(r *forward.Request, version table.SoftwareVersion) (end func()) {
	began := r.ID
	if r.LastEvent != "" && r.Resumes != "" {
		began = r.Resumes
	}
	key := streamversion.KeyOf(r.Account, r.Pool, began)
	return g.streams.Begin(key, version, recordLifetimeFactor*(r.Deadline-r.ReceivedAt))
}

// lookupVersion returns the version of the stream that a request resumes. Where no host
// has a record of it, the version is known only if it can't have been another one.
func (g *Gateway) lookupVersion(ctx context.Context, r *forward.Request) (table.SoftwareVersion, *outcome.Refusal) {
	if r.Resumes == "" {
		return g.soleVersion(ctx, r)
	}
	version, err := g.streams.Lookup(ctx, streamversion.KeyOf(r.Account, r.Pool, r.Resumes))
	if err == nil {
		return version, nil
	}
	version, refusal := g.soleVersion(ctx, r)
	if refusal != nil && errors.Is(err, streamversion.ErrUnreachable) {
		refusal.RetryAfter = staleRetryAfter
	}
	return version, refusal
}
