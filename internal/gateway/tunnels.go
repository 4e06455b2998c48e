package gateway

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/httpresponse"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/tunnel"
)

// purgeInterval is the minimum time between two closures of all idle connections.
// If only some of the endpoints are lost, this daemon counts as cut off again and
// again.
const purgeInterval = 10 * time.Second

// buildTunnels creates both sides of the tunnels to endpoints through other
// daemons.
func (g *Gateway) buildTunnels() {
	var purgedAt atomic.Int64
	g.dialer = &tunnel.Dialer{
		Clock:   g.clock,
		Direct:  g.dialDirectly,
		Through: tunnel.Through(http1.Dial),

		ReachesOther: g.reachesOther,

		Hosts:  func() []membership.Host { return tunnel.Candidates(g.view.Ready(), g.view.Self()) },
		Alone:  func() bool { return !g.knowsHosts() && !g.expectsHosts() },
		Region: g.conf().Region,
		Zone:   g.conf().Zone,
		OnLost: func(address, via string) {
			g.logger.Warn("endpoint reached only through another daemon", "address", address, "via", via)
			g.forwarder.Pool.CloseIdle(address)
		},
		OnCutOff: func(cutOff bool) {
			if !cutOff {
				g.logger.Info("path to endpoints regained")
				return
			}
			g.metrics.Inc("endpoints.cutOffs")
			g.logger.Warn("path to endpoints lost")
			if now := g.clock.Now().UnixNano(); now-purgedAt.Load() >= int64(purgeInterval) {
				purgedAt.Store(now)
				g.forwarder.Pool.CloseIdleIf(func(via string) bool { return via == "" })
			}
		},
		Count: g.metrics.Inc,
	}
	g.tunnels = &tunnel.Server{
		Dial:       g.dialDirectly,
		IsEndpoint: g.isEndpointAddress,
		HasPath:    func() bool { return !g.leaving() && !g.dialer.IsCutOff() },
		OnHead:     g.onCarriedHead,
		Count:      g.metrics.Inc,

		ReachesOther: g.reachesOther,
	}
}

// maxOthers is the number of endpoints that are tried to find out whether the path is
// lost.
const maxOthers = 3

// reachesOther reports whether an endpoint at another address can be reached directly.
// If all have ended at once, that can't be told from a lost path.
func (g *Gateway) reachesOther(ctx context.Context, address string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.applyMu.Lock()
	others := g.endpoints.others(address, maxOthers)
	g.applyMu.Unlock()
	reached := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			c, err := g.dialDirectly(ctx, other)
			if err == nil {
				_ = c.Close()
			}
			reached <- err == nil
		}()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}

// dialDirectly opens a connection to an endpoint without another daemon.
func (g *Gateway) dialDirectly(ctx context.Context, address string) (net.Conn, error) {
	if proxy := g.conf().Gateway.EndpointProxy; proxy != "" {
		return tunnel.DialProxy(ctx, g.dialEndpoint, proxy, address)
	}
	return g.dialEndpoint(ctx, address)
}

// onCarriedHead records what an endpoint announces in a response that this daemon
// carries for another one.
func (g *Gateway) onCarriedHead(address string, head []byte) {
	resp, err := httpresponse.Read(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	g.applyMu.Lock()
	e := g.endpoints.at(address)
	g.applyMu.Unlock()
	if e != nil {
		g.notices.Record(e, g.forwarder.Protocol.ReadHead(resp.StatusCode, resp.Header).Announcement)
	}
}

// isEndpointAddress reports whether an endpoint is registered at an address.
func (g *Gateway) isEndpointAddress(address string) bool {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	return g.endpoints.at(address) != nil
}

// leaveTunnels closes idle connections through daemons that leave, which wait for
// their tunnels to end.
func (g *Gateway) leaveTunnels() {
	if !g.dialer.UsesTunnels() {
		return
	}
	ready := g.view.Ready()
	g.forwarder.Pool.CloseIdleIf(func(via string) bool { return via != "" && !ready.HasPeer(via) })
}
