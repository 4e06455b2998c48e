package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/streamorigin"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

const (
	// recordTimeout bounds how long new facts wait until the origins that they bring are
	// recorded. It is short against the time within which departures must be known.
	recordTimeout = 300 * time.Millisecond
	// originsInterval is the mean time between two updates of the records, dueDelay the
	// time until one that is due, and updateTimeout bounds it.
	originsInterval = time.Minute
	dueDelay        = time.Second
	updateTimeout   = 5 * time.Second
	// minReadInterval and readIntervalPerHost bound how often each daemon reads the
	// history, so that all of them together stay within the reads that the store allows.
	minReadInterval     = 50 * time.Millisecond
	readIntervalPerHost = 500 * time.Microsecond
	// maxHistoryWait bounds how long a request that resumes a stream waits for the
	// history, historyRetryDelay is the delay after a read that failed.
	maxHistoryWait    = 1500 * time.Millisecond
	historyRetryDelay = 50 * time.Millisecond
)

// buildOrigins creates what records where streams may begin, and what reads it.
func (g *Gateway) buildOrigins() {
	read := func(ctx context.Context) (platform.Rows, error) { return g.store.Snapshot(ctx, wire.TableOrigins) }
	g.origins = &streamorigin.Keeper{Clock: g.clock, Read: read, Transact: g.store.Transact, Table: wire.TableOrigins, Count: g.metrics.Inc}
	g.history = &streamorigin.Lookup{Clock: g.clock, Read: read, Unrecorded: g.unrecordedOrigins, Interval: func() time.Duration {
		return max(minReadInterval, time.Duration(g.view.Hosts().Len())*readIntervalPerHost)
	}}
	g.reader.BeforeEndpoints = func(endpoints []facts.Endpoint) { g.recordOrigins(versionOrigins(endpoints)) }
	g.reader.BeforeConfig = func(c *catalog.Catalog) { g.recordOrigins(routeOrigins(c)) }
}

// errMayHaveLeft reports that an endpoint which is not known here has left.
var errMayHaveLeft = errors.New("an unknown endpoint has left")

// unrecordedOrigins returns the versions of endpoints that have registered since this daemon
// was told last. If the store has taken no writes, others may begin streams there although
// they are not recorded.
func (g *Gateway) unrecordedOrigins(ctx context.Context) (origins []streamorigin.Origin, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read new registrations")
		}
	}()
	known := g.holder.Summary().Position
	rows, err := g.store.Changes(ctx, wire.TableEngines, known.Version(), 0)
	switch {
	case err != nil:
		return nil, err
	case rows.More, rows.Version < known.Version(), rows.HasEra && rows.Era != known.Era():
		return nil, errors.Errorf("the changes after version %d of era %d are not complete", known.Version(), known.Era())
	}
	var added []facts.Endpoint
	for _, row := range rows.Rows {
		_, isKnown := g.holder.Endpoint(facts.EndpointID(row.Key))
		if row.Removed && !isKnown {
			return nil, errors.Wrap(errMayHaveLeft, row.Key)
		}
		if e, ok := wire.DecodeEngine(row); ok && !row.Removed {
			added = append(added, e)
		}
	}
	return versionOrigins(added), nil
}

// versionOrigins returns the versions at which endpoints may begin streams.
func versionOrigins(endpoints []facts.Endpoint) (origins []streamorigin.Origin) {
	seen := map[streamorigin.Origin]bool{}
	for _, e := range endpoints {
		if e.Gone {
			continue
		}
		if o := streamorigin.OfVersion(e.Pool, e.Version); !seen[o] {
			seen[o] = true
			origins = append(origins, o)
		}
	}
	return origins
}

// routeOrigins returns the pools in which routes may begin streams that can be resumed.
func routeOrigins(c *catalog.Catalog) (origins []streamorigin.Origin) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != catalog.Stream || !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			origins = append(origins, streamorigin.OfRoute(r.Host, r.Prefix, s.Pool))
		}
	}
	return origins
}

// recordOrigins records origins before streams begin there. If the store does not take
// them in time, streams begin all the same.
func (g *Gateway) recordOrigins(origins []streamorigin.Origin) {
	if len(origins) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := g.origins.Record(ctx, origins); err != nil {
		g.logger.Warn("origins of streams not recorded", "origins", len(origins), "error", err)
		g.updateOriginsSoon()
	}
}

// updateOriginsSoon makes the next update of the records due.
func (g *Gateway) updateOriginsSoon() {
	select {
	case g.originsDue <- struct{}{}:
	default:
	}
}

// updateOrigins updates the records while this daemon reads the store.
func (g *Gateway) updateOrigins(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.originsDue:
			g.sleep(ctx, dueDelay)
		case <-g.clock.After(originsInterval/2 + rand.N(originsInterval)): //nolint:gosec // jitter
		}
		switch {
		case ctx.Err() != nil || !g.sync.ShouldRead():
		case !g.factsAreCurrent():
			g.updateOriginsSoon()
		default:
			g.updateOriginsOnce(ctx)
		}
	}
}

// factsAreCurrent reports whether this daemon knows all registrations and the configuration.
func (g *Gateway) factsAreCurrent() bool {
	endpoints, listed := g.holder.EndpointsAge()
	config, known := g.holder.ConfigAge()
	return listed && known && max(endpoints, config) <= staleAfter
}

func (g *Gateway) updateOriginsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	present := slices.Concat(versionOrigins(g.holder.Endpoints()), routeOrigins(g.holder.Catalog()))
	if err := g.origins.Update(ctx, present); err != nil {
		g.logger.Warn("origins of streams not updated", "error", err)
		g.updateOriginsSoon()
	}
}

// soleVersion returns the version of a stream whose record is not known: that of its pool,
// if the stream can't have begun at another version or in another pool. It waits for the
// answer of the store, since a record of a version precedes the streams that begin there.
func (g *Gateway) soleVersion(ctx context.Context, r *forward.Request) (table.SoftwareVersion, *outcome.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, maxHistoryWait)
	defer cancel()
	for ctx.Err() == nil {
		if age, listed := g.holder.EndpointsAge(); listed && age > staleAfter {
			return "", staleRefusal(outcome.ReasonUnknownVersion, "the list of endpoints may be out of date")
		}
		if h, err := g.history.History(ctx); err == nil {
			return g.soleVersionIn(h, r)
		}
		g.metrics.Inc("streams.historyAwaited")
		g.sleep(ctx, historyRetryDelay)
	}
	return "", staleRefusal(outcome.ReasonUnknownVersion, "the versions that the pool has had can't be read")
}

// soleVersionIn returns the only version at which a stream can have begun, by the history
// and by what this daemon has seen itself, such as versions that could not be recorded.
func (g *Gateway) soleVersionIn(h *streamorigin.History, r *forward.Request) (table.SoftwareVersion, *outcome.Refusal) {
	path, _, _ := strings.Cut(r.Target, "?")
	pools, certain := h.Pools(r.Host, path)
	if !certain || len(pools) != 1 || pools[0] != r.Pool {
		return "", outcome.NotRunError(outcome.ReasonUnknownVersion, "nobody knows the stream, and its route has or had several pools")
	}
	versions, certain := h.Versions(r.Pool)
	versions = append(versions, g.holder.Versions(r.Pool)...)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if !certain || len(versions) != 1 || versions[0] == "" {
		return "", outcome.NotRunError(outcome.ReasonUnknownVersion, "nobody knows the stream, and its pool has or had several software versions")
	}
	return versions[0], nil
}
