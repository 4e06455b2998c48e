package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	fleetZones = 6
	// fleetTime is the store's time, and fleetPosition the store's version that
	// the daemon knows.
	fleetTime     = storetime.Instant(1 << 40)
	fleetPosition = facts.Position(1 << 20)
)

// fleetDaemon returns a daemon without running goroutines that knows the given
// numbers of hosts, including itself, and endpoints. It is neither a reader of
// the store nor a coordinator.
func fleetDaemon(tb testing.TB, hosts, endpoints int) *Gateway {
	tb.Helper()
	g := New(&settings.Settings{
		Host: "front-z0-0", Region: "r", Zone: "z0", CallerAddress: "10.0.0.0:8227", PeerAddress: "10.0.0.0:8229",
		CellSize: 256,
		Platform: settings.Platform{URL: "http://127.0.0.1:1", Timeout: table.Duration(time.Second)},
		Gateway: &settings.Gateway{
			AddressLifetime: table.Duration(2 * time.Second), RevokeAfter: table.Duration(time.Hour),
			Retry:   settings.Retry{Share: 0.2, Slack: 100, Window: table.Duration(10 * time.Second)},
			Machine: &settings.Machine{ProcessorShare: 0.2, ProcessorSpeed: 1, LinkMbps: 20},
		},
	}, slog.New(slog.DiscardHandler))
	for i := 1; i < hosts; i++ {
		g.view.Apply(membership.Update{Status: membership.Alive, Host: fleetHost(i)})
	}
	g.learnFleet(tb, endpoints)
	for _, h := range fleetReaders(g) {
		g.sync.OnBeacon(&peerv1.Beacon{Host: string(h), Address: "10.0.0.1:8229"})
	}
	g.tickOnce(context.Background())
	return g
}

// fleetHost returns host i. One host in ten has a high capacity.
func fleetHost(i int) membership.Host {
	h := membership.Host{
		ID:            membership.HostID(fmt.Sprintf("front-z%d-%d", i%fleetZones, i)),
		Incarnation:   1,
		State:         membership.Ready,
		Region:        "r",
		Zone:          fmt.Sprintf("z%d", i%fleetZones),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8227", i/256, i%256),
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:8229", i/256, i%256),
		Capacity:      80,
	}
	if i%10 == 1 {
		h.Capacity = 600
	}
	return h
}

func fleetReaders(g *Gateway) (readers []membership.HostID) {
	for _, h := range g.view.Active().HighCapacityOrder("reader").First(facts.Readers) {
		readers = append(readers, h.ID)
	}
	return readers
}

// learnFleet supplies a daemon with a configuration and endpoints.
func (g *Gateway) learnFleet(tb testing.TB, endpoints int) {
	tb.Helper()
	g.storeTime.Observe(g.boot.Now(), fleetTime)
	document := standin.SampleDocument()
	data, err := json.Marshal(document)
	if err != nil {
		tb.Fatal(err)
	}
	if err := g.holder.SetConfig(facts.Config{Version: 1, Data: data}, fleetTime); err != nil {
		tb.Fatal(err)
	}
	news := facts.EndpointUpdate{Whole: true, Position: fleetPosition, AsOf: fleetTime}
	for i := range endpoints {
		news.Endpoints = append(news.Endpoints, facts.Endpoint{
			ID: facts.EndpointID(fmt.Sprintf("i-%06d", i)), Pool: "llm", Address: fmt.Sprintf("10.1.%d.%d:80", i/256, i%256),
			Zone: fmt.Sprintf("z%d", i%fleetZones), Slots: 12, Born: 1, Changed: fleetPosition,
		})
	}
	g.holder.Merge(news)
}

// benchFleets runs a benchmark for several fleet sizes.
func benchFleets(b *testing.B, run func(b *testing.B, g *Gateway)) {
	for _, endpoints := range []int{20, 900} {
		for _, hosts := range []int{20, 200, 400} {
			b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", hosts, endpoints), func(b *testing.B) {
				g := fleetDaemon(b, hosts, endpoints)
				b.ReportAllocs()
				b.ResetTimer()
				run(b, g)
			})
		}
	}
}

func BenchmarkIdleTick(b *testing.B) {
	benchFleets(b, func(b *testing.B, g *Gateway) {
		for b.Loop() {
			g.tickOnce(context.Background())
		}
	})
}

func BenchmarkOnDuty(b *testing.B) {
	benchFleets(b, func(b *testing.B, g *Gateway) {
		for b.Loop() {
			g.sync.ShouldRead()
		}
	})
}

func BenchmarkBeacon(b *testing.B) {
	benchFleets(b, func(b *testing.B, g *Gateway) {
		beacon := g.sync.Beacon()
		beacon.Host = string(fleetReaders(g)[0])
		b.ResetTimer()
		for b.Loop() {
			g.sync.OnBeacon(beacon)
		}
	})
}

func BenchmarkAddresses(b *testing.B) {
	benchFleets(b, func(b *testing.B, g *Gateway) {
		for i := 0; b.Loop(); i++ {
			g.addresses("z0", fmt.Sprintf("10.9.0.%d:1", i%64))
		}
	})
}

func BenchmarkRetryBudget(b *testing.B) {
	benchFleets(b, func(b *testing.B, g *Gateway) {
		for b.Loop() {
			g.retryBudget("llm")
		}
	})
}

// fleetHeartbeat returns a heartbeat without changes.
func fleetHeartbeat() *peerv1.HeartbeatRequest {
	h := fleetHost(1)
	return &peerv1.HeartbeatRequest{Self: &peerv1.HostInfo{
		Host: string(h.ID), Incarnation: h.Incarnation, State: peerv1.HostState(h.State), Status: peerv1.HostStatus(membership.Alive),
		Region: h.Region, Zone: h.Zone, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Capacity: h.Capacity,
	}}
}

func BenchmarkHeartbeat(b *testing.B) {
	benchFleets(b, func(b *testing.B, g *Gateway) {
		for b.Loop() {
			g.heartbeats.HandleHeartbeat(fleetHeartbeat())
		}
	})
}

// BenchmarkEndpointChanged measures the cost of one changed endpoint.
func BenchmarkEndpointChanged(b *testing.B) {
	for _, endpoints := range []int{20, 1000, 10000, 20000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			g := fleetDaemon(b, 200, endpoints)
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				g.changeEndpoint(i)
			}
		})
	}
}

// changeEndpoint applies change i of an endpoint.
func (g *Gateway) changeEndpoint(i int) {
	position := fleetPosition + facts.Position(i)
	g.holder.Merge(facts.EndpointUpdate{Position: position, AsOf: fleetTime, Endpoints: []facts.Endpoint{{
		ID: "i-000007", Pool: "llm", Address: "10.1.0.7:80", Zone: "z1", Slots: 12, Born: 1, Draining: i%2 == 0, Changed: position,
	}}})
}

// BenchmarkHostChanged measures the cost of one changed host, with the tick after
// it and the question whether to read the store.
func BenchmarkHostChanged(b *testing.B) {
	for _, hosts := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", hosts, 10*hosts), func(b *testing.B) {
			g := fleetDaemon(b, hosts, 10*hosts)
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				g.changeHost(i)
			}
		})
	}
}

// changeHost applies change i of a host.
func (g *Gateway) changeHost(i int) {
	h := fleetHost(2)
	h.Sequence = uint64(i)
	h.State = membership.Ready
	if i%2 == 0 {
		h.State = membership.Leaving
	}
	g.view.Apply(membership.Update{Status: membership.Alive, Host: h})
	g.view.ChangesAfter(membership.Position(i), "", 1)
	g.sync.ShouldRead()
	g.tickOnce(context.Background())
}
