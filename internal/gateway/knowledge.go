package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// readerKey ranks the hosts that read the store.
	readerKey = "reader"
	// fetchTimeout bounds a question for another daemon's facts.
	fetchTimeout = 400 * time.Millisecond
	// vouchAfter is how old the facts may be before this daemon asks others
	// for theirs, though nobody told it of newer ones.
	vouchAfter = 1300 * time.Millisecond
	// vouchPause is the time between two such questions.
	vouchPause = 250 * time.Millisecond
)

// heard has when each host was last heard to have read the store.
type heard struct {
	mu sync.Mutex
	at map[membership.HostID]time.Duration
}

func (h *heard) note(id membership.HostID, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[membership.HostID]time.Duration{}
	}
	h.at[id] = now
}

// ago returns how long ago a host was heard; one that was never heard counts
// as heard at the start, so that a new daemon does not read at once.
func (h *heard) ago(id membership.HostID, started, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.at[id]; ok {
		return now - at
	}
	return now - started
}

// onDuty tells whether this daemon is to read the store.
func (g *Gateway) onDuty() bool {
	self := g.view.Self()
	if self.State == membership.Leaving {
		return false
	}
	now := g.boot.Now()
	order := membership.CapableFirst(membership.Rank(readerKey, g.view.Ready()))
	return facts.Duty(self.ID, order, func(id membership.HostID) time.Duration {
		return g.heard.ago(id, g.started, now)
	})
}

// tell sends a beacon to all hosts after a read of the store.
func (g *Gateway) tell() {
	self := g.view.Self()
	s := g.holder.Summary()
	var addresses []string
	for _, h := range g.view.Hosts() {
		if h.ID != self.ID {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	err := g.beacons.Send(addresses, &peerv1.Beacon{
		Host:          string(self.ID),
		Address:       self.PeerAddress,
		ConfigVersion: uint64(s.Config),
		ConfigAsOf:    int64(s.ConfigAsOf),
		Changed:       uint64(s.Told()),
		Position:      uint64(s.Position),
		EndpointsAsOf: int64(s.EndpointsAsOf),
		GraceUntil:    int64(s.GraceUntil),
	})
	if err != nil {
		g.logger.Error("beacon not sent", "error", err)
	}
}

// onBeacon takes in what a reader tells.
func (g *Gateway) onBeacon(b *peerv1.Beacon) {
	g.heard.note(membership.HostID(b.GetHost()), g.boot.Now())
	g.holder.ConfirmConfig(catalog.Version(b.GetConfigVersion()), storetime.Instant(b.GetConfigAsOf()))
	g.holder.OpenGrace(storetime.Instant(b.GetGraceUntil()))
	g.holder.ConfirmEndpoints(facts.Position(b.GetChanged()), facts.Position(b.GetPosition()), storetime.Instant(b.GetEndpointsAsOf()))
	s := g.holder.Summary()
	if catalog.Version(b.GetConfigVersion()) > s.Config || facts.Position(b.GetChanged()) > s.Position {
		go g.fetch(b.GetAddress(), s.Position)
	}
}

// fetch asks a daemon for what this one lacks that knows the endpoints up to a
// position, unless it is asking already.
func (g *Gateway) fetch(address string, position facts.Position) {
	select {
	case g.fetching <- struct{}{}:
		defer func() { <-g.fetching }()
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	s := g.holder.Summary()
	sent := g.boot.Now()
	resp, err := g.peers.Client(address).Facts(ctx, &peerv1.FactsRequest{
		ConfigVersion: uint64(s.Config),
		Position:      uint64(position),
	})
	if err != nil {
		g.metrics.Inc("facts.fetchFailed")
		return
	}
	g.metrics.Inc("facts.fetched")
	if resp.GetStoreNow() > 0 {
		g.storeTime.Observe(sent, storetime.Instant(resp.GetStoreNow()))
	}
	d := fromFacts(resp)
	d.From = address
	if err := g.holder.Learn(d); err != nil {
		g.logger.Error("facts not taken", "from", address, "error", err)
	}
}

// onFacts answers another daemon that asks for facts.
func (g *Gateway) onFacts(req *peerv1.FactsRequest) *peerv1.FactsResponse {
	d := g.holder.Since(catalog.Version(req.GetConfigVersion()), facts.Position(req.GetPosition()))
	resp := &peerv1.FactsResponse{
		ConfigVersion: uint64(d.Config),
		Config:        d.Data,
		ConfigAsOf:    int64(d.ConfigAsOf),
		Position:      uint64(d.Position),
		EndpointsAsOf: int64(d.EndpointsAsOf),
		Whole:         d.Whole,
		Changed:       uint64(d.Told()),
		GraceUntil:    int64(d.GraceUntil),
	}
	if now, ok := g.storeTime.Latest(); ok {
		resp.StoreNow = int64(now)
	}
	for _, e := range d.Endpoints {
		resp.Endpoints = append(resp.Endpoints, &peerv1.EndpointFact{
			Id:       string(e.ID),
			Pool:     string(e.Pool),
			Address:  e.Address,
			Zone:     e.Zone,
			Slots:    uint32(max(0, e.Slots)),
			Born:     e.Born,
			Draining: e.Draining,
			Gone:     e.Gone,
			Changed:  uint64(e.Changed),
		})
	}
	return resp
}

func fromFacts(resp *peerv1.FactsResponse) facts.Delta {
	d := facts.Delta{
		Summary: facts.Summary{
			Config:        catalog.Version(resp.GetConfigVersion()),
			ConfigAsOf:    storetime.Instant(resp.GetConfigAsOf()),
			Changed:       facts.Position(resp.GetChanged()),
			Position:      facts.Position(resp.GetPosition()),
			EndpointsAsOf: storetime.Instant(resp.GetEndpointsAsOf()),
			GraceUntil:    storetime.Instant(resp.GetGraceUntil()),
		},
		Data:  resp.GetConfig(),
		Whole: resp.GetWhole(),
	}
	for _, e := range resp.GetEndpoints() {
		d.Endpoints = append(d.Endpoints, facts.Endpoint{
			ID:       facts.EndpointID(e.GetId()),
			Pool:     table.Pool(e.GetPool()),
			Address:  e.GetAddress(),
			Zone:     e.GetZone(),
			Slots:    int(e.GetSlots()),
			Born:     e.GetBorn(),
			Draining: e.GetDraining(),
			Gone:     e.GetGone(),
			Changed:  facts.Position(e.GetChanged()),
		})
	}
	return d
}

// keepFresh asks other daemons while the facts grow old here. A host that is
// cut off from the store and from its readers still serves as long as some
// daemon that it reaches can vouch for what it knows.
func (g *Gateway) keepFresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(vouchPause):
		}
		g.holder.Expire()
		config, known := g.holder.ConfigAge()
		endpoints, listed := g.holder.EndpointsAge()
		if known && listed && max(config, endpoints) < vouchAfter {
			continue
		}
		// The others may lack a change that is known here, and so not count:
		// then the whole list tells which of the two holds.
		position := g.holder.Summary().Position
		if endpoints >= vouchAfter {
			position = 0
		}
		if address, ok := g.anyPeer(); ok {
			g.fetch(address, position)
		}
	}
}

// anyPeer returns the address of a host drawn at random.
func (g *Gateway) anyPeer() (string, bool) {
	self := g.view.Self().ID
	hosts := slices.DeleteFunc(g.view.Hosts(), func(h membership.Host) bool { return h.ID == self })
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[rand.IntN(len(hosts))].PeerAddress, true //nolint:gosec // any will do
}

// logNews logs which endpoints came and went, and who told.
func (g *Gateway) logNews(c facts.Change) {
	g.logger.LogAttrs(context.Background(), slog.LevelInfo, "endpoints changed", c.Attrs()...)
}

// adopt puts new facts in force.
func (g *Gateway) adopt() {
	g.adopting.Lock()
	defer g.adopting.Unlock()
	c := g.holder.Catalog()
	s := g.holder.Summary()
	if c == nil || s.Position == 0 && len(g.holder.Endpoints()) == 0 {
		return
	}
	endpoints, draining := tableEndpoints(c, g.holder.Endpoints(), g.conf().Region)
	t := c.Table(endpoints)
	g.coordinator.Configure(t)
	g.coordinator.SetDraining(draining)
	g.placer.Configure(t)
	g.limitConnections()
	g.view.UpdateSelf(func(h *membership.Host) {
		h.TableVersion = uint64(c.Version)
		if h.State == membership.Starting {
			h.State = membership.Ready
		}
	})
	g.metrics.Set("config.version", int64(c.Version))
	g.metrics.Set("endpoints.known", int64(len(endpoints)))
	g.logger.Info("facts in force", "config", c.Version, "endpoints", len(endpoints), "draining", len(draining), "position", s.Position)
}

// limitConnections divides what endpoints accept over the hosts.
func (g *Gateway) limitConnections() {
	if c := g.holder.Catalog(); c != nil {
		g.forwarder.Pool.SetMaxIdle(c.IdleConnections(len(g.view.Hosts())))
	}
}

// tableEndpoints returns the endpoints whose pool the configuration names, and
// which of them take no new work.
func tableEndpoints(c *catalog.Catalog, known []facts.Endpoint, region string) (endpoints []table.Endpoint, draining []table.EndpointName) {
	for _, e := range known {
		pool := c.Pool(e.Pool)
		if pool == nil {
			continue
		}
		one := table.Endpoint{
			Name:         e.Name(),
			Kind:         table.KindService,
			Pool:         e.Pool,
			URL:          "http://" + e.Address,
			Region:       region,
			Zone:         e.Zone,
			Concurrency:  max(1, e.Slots),
			MemoryTokens: pool.Memory,
			EchoesID:     true,
		}
		if pool.Memory > 0 {
			one.Kind = table.KindEngine
		}
		if e.Slots == 0 && pool.Slots > 0 {
			one.Concurrency = pool.Slots
		}
		endpoints = append(endpoints, one)
		if e.Draining {
			draining = append(draining, one.Name)
		}
	}
	return endpoints, draining
}

// usable tells whether an endpoint still takes work, as far as this daemon
// knows itself.
func (g *Gateway) usable(e *table.Endpoint) bool {
	known, ok := g.holder.Endpoint(facts.IDOf(e.Name))
	return ok && !known.Gone && !known.Draining && known.Name() == e.Name
}
