package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/retrybudget"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

const (
	// registerTimeout bounds a call to the store about the list of daemons, and
	// registerPause is the time between two looks at what is to be listed.
	registerTimeout = time.Second
	registerPause   = 2 * time.Second
	// registerKey ranks the hosts for the list.
	registerKey = "listed"
	// registered is how many hosts the list has that live. A newcomer needs one
	// of them, when the hosts are gone that its settings name.
	registered = 16
)

// buildPeers prepares the calls to other daemons.
func (g *Gateway) buildPeers() {
	g.peers = peer.NewPool(nil, func(*http.Transport) {})
	g.beats = &heartbeat.Exchanger{
		Clock: g.clock,
		View:  g.view,
		Call: func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			return g.peers.Client(address).Heartbeat(ctx, req)
		},
		Replace:  g.peers.Replace,
		Heard:    func(membership.News, time.Time, time.Duration) {},
		Facts:    g.sync.Beacon,
		OnFacts:  g.sync.OnTold,
		Suspects: g.suspects,
		StoreAge: func() time.Duration { return 0 },
		Seeds:    g.seeds,
		Count:    g.metrics.Inc,
	}
}

func (g *Gateway) peerServer() *peer.Server {
	return &peer.Server{
		Welcome: func() *peerv1.Welcome {
			self := g.view.Self()
			return &peerv1.Welcome{Host: string(self.ID), Incarnation: self.Incarnation}
		},
		Attach:      g.cells.Attach,
		OnHeartbeat: g.beats.Answer,
		OnFacts:     g.sync.Answer,
	}
}

// seeds returns the peer addresses that the settings and the store name.
func (g *Gateway) seeds() []string {
	g.listedMu.Lock()
	defer g.listedMu.Unlock()
	return append(g.listed[:len(g.listed):len(g.listed)], g.conf().Peers...)
}

// expectsHosts tells whether the settings name another host.
func (g *Gateway) expectsHosts() bool {
	self := g.view.Self().PeerAddress
	return slices.ContainsFunc(g.conf().Peers, func(address string) bool { return address != self })
}

// register lists this daemon in the store if it is one of those that stand for
// all, so that a newcomer finds it when the hosts are gone that the newcomer's
// settings name; and reads the list while this daemon itself knows no other.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(registerPause):
		}
		if !g.leaving() && !g.listedSelf.Load() && g.standsForAll() {
			g.listedSelf.Store(g.writeSelf(ctx))
		}
		if g.view.Hosts().Len() < 2 {
			g.readListed(ctx)
		}
	}
}

// standsForAll tells whether this host is one of those to be listed.
func (g *Gateway) standsForAll() bool {
	position, ok := g.view.Hosts().Order(registerKey).Position(g.view.Self().ID)
	return ok && position < registered
}

func (g *Gateway) writeSelf(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	self := g.view.Self()
	if err := g.store.PutRow(ctx, wire.TableHosts, string(self.ID), []byte(self.PeerAddress)); err != nil {
		g.logger.Warn("not listed in the store", "error", err)
		return false
	}
	return true
}

func (g *Gateway) readListed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	rows, err := g.store.Snapshot(ctx, wire.TableHosts)
	if err != nil {
		g.logger.Warn("list of daemons not read", "error", err)
		return
	}
	g.listedMu.Lock()
	defer g.listedMu.Unlock()
	g.listed = g.listed[:0]
	for _, row := range rows.Rows {
		if address := string(row.Value); address != g.conf().PeerAddress {
			g.listed = append(g.listed, address)
		}
	}
}

// budgetPart is the part of the site's budget for repeats that the daemons
// share out among each other: in each window, a daemon may use what it has
// saved up of its requests' shares, its spare, and the spare's refill. Half of
// the whole is left for what restarts begin anew.
const (
	budgetPart      = 0.45
	budgetSlackPart = 0.2
)

// budget returns what this daemon may still send beyond the first time to a
// pool.
func (g *Gateway) budget(pool table.Pool) forward.Budget {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	retry := g.conf().Gateway.Retry
	slack := budgetSlackPart * retry.Slack / float64(max(1, g.view.Hosts().Len()))
	terms := retrybudget.Config{
		RetryRatio:      budgetPart * retry.Share,
		MaxEarned:       max(1, slack),
		Reserve:         max(1, slack),
		RefillPerSecond: slack / retry.Window.Std().Seconds(),
	}
	b := g.budgets[pool]
	if b == nil {
		b = retrybudget.New(g.clock, terms)
		g.budgets[pool] = b
	}
	b.SetConfig(terms)
	return b
}
