package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/factsync"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

const (
	// documentFraction is the fraction of this host's network bandwidth and CPU
	// that may be used for sending configurations to other hosts.
	documentFraction = 0.25
	// bytesPerMbit converts a bandwidth from Mbit/s to bytes per second.
	bytesPerMbit = 1e6 / 8
	// compressBytesPerSecond is the number of bytes per second that one core of
	// ordinary speed compresses.
	compressBytesPerSecond = 40e6
)

// buildFacts creates the store client and the components that read, hold and
// distribute facts.
func (g *Gateway) buildFacts() {
	client := platform.NewClientWith(g.clock, g.conf().Platform.URL, endpoint.NewTransport(), g.conf().Platform.Timeout.Std(), g.metrics)
	g.store = client.WithWire(wire.StoreProtocol())
	g.storeTime = storetime.NewClock(g.boot)
	g.holder = facts.NewHolder(g.storeTime, wire.ParseConfig)
	g.holder.OnChange = g.applyFacts
	g.holder.OnEndpointChange = g.onEndpointChange
	g.holder.OnEra = g.onNewEra
	g.sync = &factsync.Syncer{
		Checks:        g.checks,
		Boot:          g.boot,
		StoreClock:    g.storeTime,
		Holder:        g.holder,
		Logger:        g.logger,
		Metrics:       g.metrics,
		Self:          g.view.Self,
		Hosts:         g.view.Hosts,
		Staying:       g.view.Active,
		Send:          func(addresses []string, b *peerv1.Beacon) error { return g.sendBeacon(addresses, b) },
		Fetch:         g.requestFacts,
		Pick:          rand.IntN,
		PeersExpected: g.expectsHosts,
		DocumentRate:  documentRate(g.conf().Gateway.Machine),
	}
	g.sync.Start()
	g.reader = &facts.Reader{
		Clock:          g.clock,
		Checks:         g.checks,
		Boot:           g.boot,
		StoreClock:     g.storeTime,
		Holder:         g.holder,
		Logger:         g.logger,
		Metrics:        g.metrics,
		Config:         wire.ConfigFeed(g.store),
		Endpoints:      wire.EngineFeed(g.store),
		DecodeConfig:   wire.DecodeConfig,
		DecodeEndpoint: wire.DecodeEngine,
		ShouldRead:     g.sync.ShouldRead,
		OnRead:         g.sync.Broadcast,
	}
}

// documentRate returns the rate, in bytes per second, at which a machine may
// send configurations; zero means unlimited.
func documentRate(m *settings.Machine) float64 {
	if m == nil {
		return 0
	}
	return documentFraction * min(m.LinkMbps*bytesPerMbit, m.ProcessorShare*m.ProcessorSpeed*compressBytesPerSecond)
}

func (g *Gateway) requestFacts(ctx context.Context, address string, req *peerv1.FactsRequest) (*peerv1.FactsResponse, error) {
	return g.peers.Client(address).Facts(ctx, req)
}

// onEndpointChange collects the changed endpoints for applyFacts, and logs them
// and the source of the update.
func (g *Gateway) onEndpointChange(c facts.Change) {
	g.changed.add(c)
	if !g.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	g.logger.LogAttrs(context.Background(), slog.LevelInfo, "endpoints changed", c.Attrs()...)
}

// onNewEra handles a new era, which means that the store was restored from a
// copy. This daemon's registration may be lost, so it is written again.
func (g *Gateway) onNewEra(from, to platform.Era) {
	g.metrics.Inc("store.eras")
	g.logger.Warn("store came back from a copy", "fromEra", uint64(from), "era", uint64(to), "position", g.holder.Summary().Position.Version())
	g.selfRegistered.Store(false)
	g.origins.Forget()
	g.updateOriginsSoon()
	if g.duties != nil && g.duties.reporter != nil {
		g.duties.reporter.BeginEra()
	}
}

// applyFacts applies new facts to the scheduling components.
func (g *Gateway) applyFacts() {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	c := g.holder.Catalog()
	s := g.holder.Summary()
	if c == nil || s.Position == 0 && len(g.holder.Endpoints()) == 0 {
		return
	}
	p := g.endpoints
	p.update(c, g.changed.take(), g.holder)
	g.coordinator.SetStarting(g.startingHosts())
	g.coordinator.Apply(p.classes, p.plan)
	g.placer.Apply(p.classes, p.plan)
	g.limitConnections()
	g.notices.Prune(g.accepts)
	g.view.UpdateSelf(func(h *membership.Host) {
		h.TableVersion = uint64(c.Version)
		if h.State == membership.Starting {
			h.State = membership.Ready
		}
	})
	g.startOnce.Do(func() { close(g.started) })
	g.metrics.Set("config.version", int64(c.Version))
	g.metrics.Set("endpoints.known", int64(len(p.planned)))
	g.logger.Info("facts in force", "config", c.Version, "endpoints", len(p.planned), "draining", p.draining, "position", s.Position.Version(), "era", uint64(s.Position.Era()))
}

// limitConnections sets this daemon's share of the connections that endpoints
// accept.
func (g *Gateway) limitConnections() {
	if c := g.holder.Catalog(); c != nil {
		g.forwarder.Pool.SetMaxIdle(c.IdleConnections(g.view.Hosts().Len()))
	}
}

// usable reports whether an endpoint still accepts requests, and has the same software
// version, according to this daemon's own facts.
func (g *Gateway) usable(e *table.Endpoint) bool {
	known, ok := g.holder.Endpoint(facts.IDOf(e.Name))
	return ok && known.Version == e.SoftwareVersion && accepts(known, e.Name)
}

// accepts reports whether an endpoint is registered and accepts requests.
func (g *Gateway) accepts(name table.EndpointName) bool {
	known, ok := g.holder.Endpoint(facts.IDOf(name))
	return ok && accepts(known, name)
}

func accepts(known facts.Endpoint, name table.EndpointName) bool {
	return !known.Gone && !known.Draining && known.Name() == name
}
