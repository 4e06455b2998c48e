package gateway

import (
	"context"
	"net"
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
	// registerTimeout is the timeout for reading or writing the list of daemons
	// in the store. registerInterval is the interval between two checks of
	// whether this daemon must be added to it.
	registerTimeout  = time.Second
	registerInterval = 2 * time.Second
	// aloneTimeout is how long this daemon waits for a host in its settings
	// before it reads the list for the first time. The list is short; without it
	// every daemon of a fleet that restarts reads all endpoints, because the few
	// hosts in the settings can't respond to all of them in time.
	aloneTimeout = 200 * time.Millisecond
	// registerKey seeds the order of hosts that selects those to register.
	registerKey = "listed"
	// registeredHosts is the number of live hosts in the list. A new daemon
	// needs one of them if all hosts in its settings are gone.
	registeredHosts = 16
)

// buildPeers creates the peer connections and the heartbeats.
func (g *Gateway) buildPeers() {
	g.peers = peer.NewPool(nil, g.setPeerDial)
	g.heartbeats = &heartbeat.Exchanger{
		Clock: g.clock,
		View:  g.view,
		Call: func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			return g.peers.Client(address).Heartbeat(ctx, req)
		},
		CloseConnections: g.peers.CloseConnections,
		OnResponse:       func(membership.Update, time.Time, time.Duration) {},
		Facts:            g.sync.Beacon,
		OnFacts:          g.sync.OnReport,
		Quarantine:       g.suspects,
		Parts:            g.parts,
		StoreAge:         func() time.Duration { return 0 },
		Seeds:            g.seeds,
		Count:            g.metrics.Inc,
	}
}

func (g *Gateway) setPeerDial(t *http.Transport) {
	direct := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if g.dialPeer != nil {
			return g.dialPeer(ctx, address)
		}
		return direct(ctx, network, address)
	}
}

func (g *Gateway) newPeerServer() *peer.Server {
	return &peer.Server{
		Welcome: func() *peerv1.Welcome {
			self := g.view.Self()
			return &peerv1.Welcome{Host: string(self.ID), Incarnation: self.Incarnation}
		},
		Attach:      g.cells.Attach,
		OnHeartbeat: g.heartbeats.HandleHeartbeat,
		OnFacts:     g.sync.Answer,
	}
}

// seeds returns the peer addresses from the settings and from the store.
func (g *Gateway) seeds() []string {
	g.registeredMu.Lock()
	defer g.registeredMu.Unlock()
	return append(g.registeredPeers[:len(g.registeredPeers):len(g.registeredPeers)], g.conf().Peers...)
}

// expectsHosts reports whether the settings contain the address of another
// host.
func (g *Gateway) expectsHosts() bool {
	self := g.view.Self().PeerAddress
	return slices.ContainsFunc(g.conf().Peers, func(address string) bool { return address != self })
}

// knowsHosts reports whether this daemon knows of another host, even if that is leaving or
// gone.
func (g *Gateway) knowsHosts() bool { return g.view.Hosts().Len() > 1 || g.view.Gone().Len() > 0 }

// startingHosts returns the number of other hosts that are not ready yet. A daemon that
// has met no other host, though its settings contain one, assumes that one starts.
func (g *Gateway) startingHosts() int {
	if g.view.Hosts().Len() < 2 && g.expectsHosts() {
		return 1
	}
	return g.view.StartingCount()
}

// register keeps this daemon registered in the store if it is one of the hosts
// selected for that, so that a new daemon can join even if all hosts in its
// settings are gone. While this daemon knows no other host, it also reads the
// list.
func (g *Gateway) register(ctx context.Context) {
	g.sleep(ctx, aloneTimeout)
	for ctx.Err() == nil {
		if g.view.Hosts().Len() < 2 {
			g.readRegistered(ctx)
		}
		g.sleep(ctx, registerInterval)
		if ctx.Err() == nil && !g.leaving() && !g.selfRegistered.Load() && g.shouldRegister() {
			g.selfRegistered.Store(g.registerSelf(ctx))
		}
	}
}

func (g *Gateway) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-g.clock.After(d):
	}
}

// shouldRegister reports whether this host is one of those to be registered.
func (g *Gateway) shouldRegister() bool {
	position, ok := g.view.Hosts().HighCapacityOrder(registerKey).Position(g.view.Self().ID)
	return ok && position < registeredHosts
}

func (g *Gateway) registerSelf(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	self := g.view.Self()
	if err := g.store.PutRow(ctx, wire.TableHosts, string(self.ID), []byte(self.PeerAddress)); err != nil {
		g.logger.Warn("not listed in the store", "error", err)
		return false
	}
	return true
}

func (g *Gateway) readRegistered(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	rows, err := g.store.Snapshot(ctx, wire.TableHosts)
	if err != nil {
		g.logger.Warn("list of daemons not read", "error", err)
		return
	}
	g.registeredMu.Lock()
	defer g.registeredMu.Unlock()
	g.registeredPeers = g.registeredPeers[:0]
	for _, row := range rows.Rows {
		if address := string(row.Value); address != g.conf().PeerAddress {
			g.registeredPeers = append(g.registeredPeers, address)
		}
	}
}

// mayTryParts reports whether this daemon is the one that tries requests to a pool with
// quarantined parts: the first host in the order of the pool.
func (g *Gateway) mayTryParts(pool table.Pool) bool {
	position, ok := g.view.Ready().Order("parts/" + string(pool)).Position(g.view.Self().ID)
	return ok && position == 0
}

// budgetShareFraction and budgetSlackFraction are the fractions of the site's
// retry budget that are divided among the daemons. In each window, a daemon may
// use what it has earned by its requests, its reserve, and the refill of the
// reserve. Half of the site's budget is left for daemons that restart, since
// these begin with a new budget.
const (
	budgetShareFraction = 0.45
	budgetSlackFraction = 0.2
)

// retryBudget returns this daemon's retry budget for a pool, adapted to the
// current settings and number of hosts.
func (g *Gateway) retryBudget(pool table.Pool) forward.Budget {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	retry := g.conf().Gateway.Retry
	slack := budgetSlackFraction * retry.Slack / float64(max(1, g.view.Hosts().Len()))
	config := retrybudget.Config{
		RetryRatio:      budgetShareFraction * retry.Share,
		MaxEarned:       max(1, slack),
		Reserve:         max(1, slack),
		RefillPerSecond: slack / retry.Window.Std().Seconds(),
	}
	b := g.budgets[pool]
	if b == nil {
		b = retrybudget.New(g.clock, config)
		g.budgets[pool] = b
	}
	b.SetConfig(config)
	return b
}
