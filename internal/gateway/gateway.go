// Package gateway assembles the entry daemon for platforms on which operators
// write the configuration and endpoints register themselves in the platform's
// store. It forwards callers' requests without interpreting their bodies.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/beechhead/beechhead/internal/backlog"
	"github.com/beechhead/beechhead/internal/beacon"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/cellhost"
	"github.com/beechhead/beechhead/internal/endpointname"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/factsync"
	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/internal/graceperiod"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/logline"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/requestid"
	"github.com/beechhead/beechhead/internal/responseroom"
	"github.com/beechhead/beechhead/internal/retrybudget"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/internal/streamorigin"
	"github.com/beechhead/beechhead/internal/streamversion"
	"github.com/beechhead/beechhead/internal/tick"
	"github.com/beechhead/beechhead/internal/tunnel"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

const (
	// tickInterval is how often links and hosts are checked. The failure of a
	// coordinator delays its requests by up to one interval in addition to the
	// time after which it is suspected.
	tickInterval = 25 * time.Millisecond
	// idleTickInterval is the same while no request waits or runs here. Most hosts
	// of a large fleet are idle most of the time.
	idleTickInterval = 100 * time.Millisecond
)

// Gateway is one entry daemon.
type Gateway struct {
	// current contains the current settings.
	current atomic.Pointer[settings.Settings]
	logger  *slog.Logger
	// LogDropped returns the number of log lines that were dropped; nil if the
	// log drops none.
	LogDropped func() int64
	clock      clockwork.Clock
	// checks holds the times of the daemon's periodic checks.
	checks  *tick.Grid
	boot    boottime.Clock
	metrics *metric.Registry

	store     *platform.Client
	storeTime *storetime.Clock
	holder    *facts.Holder
	reader    *facts.Reader
	sync      *factsync.Syncer
	beacons   *beacon.Conn
	changed   changedEndpoints
	// applyMu serializes calls of applyFacts and guards endpoints.
	applyMu   sync.Mutex
	endpoints *endpointPlan

	view        *membership.View
	suspects    *quarantine.List
	parts       *quarantine.Parts
	peers       *peer.Pool
	heartbeats  *heartbeat.Exchanger
	cells       *cellhost.Host
	coordinator *cell.Coordinator
	placer      *placement.Placer
	forwarder   *forward.Forwarder
	// dialEndpoint opens a connection to the address of an endpoint.
	dialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	// dialPeer opens a connection to the peer address of a host; nil means directly.
	dialPeer func(ctx context.Context, address string) (net.Conn, error)
	// sendBeacon sends a datagram to the hosts with some peer addresses.
	sendBeacon func(addresses []string, b *peerv1.Beacon) error
	dialer     *tunnel.Dialer
	tunnels    *tunnel.Server
	notices    *forward.Notices
	streams    *streamversion.Directory
	// origins records where streams may begin, history reads it.
	origins *streamorigin.Keeper
	history *streamorigin.Lookup
	// originsDue receives a signal when the records must be updated soon.
	originsDue chan struct{}
	// duties is nil if there are none.
	duties *duties

	registeredMu sync.Mutex
	// registeredPeers contains the peer addresses that were last read from the
	// store.
	registeredPeers []string
	// selfRegistered is set while this daemon is registered in the store.
	selfRegistered atomic.Bool

	budgetMu sync.Mutex
	budgets  map[table.Pool]*retrybudget.Budget

	// callers bounds the connections of callers and what their requests hold.
	callers *callerconn.Budget
	// checkedCallers is when it was last checked which of them take too long.
	checkedCallers time.Time
	// backlog holds what callers have not read; nil if nothing is held.
	backlog *backlog.Budget
	// wholes bounds what whole responses hold before they are forwarded, events what events do.
	wholes, events *responseroom.Room
	sampler        *logline.Sampler
	// promises logs the ids of all requests that are refused as not run.
	promises *logline.Digest
	// recent has the requests that must not be repeated.
	recent     *requestid.Recent
	inProgress atomic.Int64
	callerHTTP *http.Server
	peerHTTP   *http.Server
	peerServer *peer.Server
	// started is closed when this daemon has been ready for the first time.
	started   chan struct{}
	startOnce sync.Once
	// startWait is how long a request waits for that at most.
	startWait time.Duration
	// grace is the time between the signal to stop and the end of the process.
	grace *graceperiod.Period
	// busy receives a signal when a batch arrives for the coordinator.
	busy chan struct{}
}

// New returns a daemon; Run starts it.
func New(s *settings.Settings, logger *slog.Logger) *Gateway {
	g := &Gateway{
		clock:   clockwork.NewRealClock(),
		boot:    boottime.System{},
		metrics: metric.NewRegistry(),
		budgets: map[table.Pool]*retrybudget.Budget{},
		started: make(chan struct{}),
		grace:   graceperiod.New(boottime.System{}),
		busy:    make(chan struct{}, 1),

		originsDue: make(chan struct{}, 1),

		startWait:    defaultStartWait,
		dialEndpoint: http1.Dial,
	}
	g.sendBeacon = func(addresses []string, b *peerv1.Beacon) error { return g.beacons.Send(addresses, b) }
	g.checks = tick.NewGrid(g.clock)
	g.current.Store(s)
	g.sampler = logline.NewSampler(g.clock)
	g.logger = slog.New(logline.NewLimiter(g.clock, logger.Handler())).With("host", s.Host)
	g.promises = logline.NewDigest(g.clock, g.logger, "refused as not run", "reason")
	g.recent = requestid.NewRecent(g.clock)
	g.buildBudgets()
	g.view = membership.NewView(g.clock, membership.Host{
		ID:            membership.HostID(s.Host),
		Incarnation:   membership.NewIncarnation(g.clock.Now().UnixMilli(), rand.Uint64()),
		State:         membership.Starting,
		Region:        s.Region,
		Zone:          s.Zone,
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		Capacity:      s.Gateway.Machine.Capacity(),
	})
	g.view.OnGone = g.onHostGone
	g.view.Count = g.metrics.Inc
	g.suspects = quarantine.NewList(g.clock)
	g.suspects.OnChange = quarantine.ReportChanges(g.logger, g.metrics.Inc)
	g.parts = quarantine.NewParts(g.clock)
	g.parts.OnChange = quarantine.ReportPartChanges(g.logger, g.metrics.Inc)
	g.buildFacts()
	g.buildPeers()
	g.buildStreams()
	g.buildOrigins()
	g.buildPlacement()
	g.buildDuties()
	g.buildServers()
	return g
}

func (g *Gateway) buildPlacement() {
	size := g.conf().CellSize
	if size == 0 {
		size = cell.DefaultSize
	}
	g.endpoints = newEndpointPlan(g.conf().Region, size)
	g.coordinator = cell.NewCoordinator(g.clock, g.view.Self().ID, size, g.conf().Policy)
	g.coordinator.Disabled = g.conf().Disabled
	g.coordinator.OnBatch = g.endIdleTicks
	g.cells = &cellhost.Host{
		Clock:       g.clock,
		View:        g.view,
		Peers:       g.peers,
		Coordinator: g.coordinator,
		Metrics:     g.metrics,
		Interval:    tickInterval,
		RefreshView: g.heartbeats.Refresh,
	}
	g.placer = placement.NewPlacer(g.clock, g.view, g.cells.Dial, g.metrics, size, g.conf().Policy)
	g.placer.OnShareChange = g.coordinator.SetShare
	g.placer.OnReachabilityChange = func(host membership.HostID, reached bool) {
		if reached {
			g.logger.Info("coordinator regained", "coordinator", host)
			return
		}
		g.logger.Warn("coordinator lost", "coordinator", host)
	}
	g.placer.OnLimit = func(endpoint table.EndpointName, perSecond float64, refusalsPerSecond int) {
		g.metrics.Inc("limits.changed")
		g.logger.Info("endpoint limit", "endpoint", endpoint, "perSecond", perSecond, "refusalsPerSecond", refusalsPerSecond)
	}
	g.notices = &forward.Notices{
		ProcessOf: func(name table.EndpointName) (string, time.Time) {
			return endpointname.ID(name), endpointname.Start(name)
		},
		Clock: g.clock,
		OnLeaving: func(endpoint table.EndpointName) {
			g.metrics.Inc("endpoints.leavingAnnounced")
			g.logger.Info("endpoint announces that it is leaving", "endpoint", endpoint)
		},
		OnBackoff: func(endpoint table.EndpointName, backoff time.Duration) {
			g.metrics.Inc("endpoints.backoffs")
			g.logger.Info("endpoint asks for back-off", "endpoint", endpoint, "backoffMs", backoff.Milliseconds())
		},
	}
	g.buildTunnels()
	g.forwarder = &forward.Forwarder{
		Clock:     g.clock,
		BootClock: g.boot,
		Logger:    g.logger,
		Metrics:   g.metrics,
		Pool:      http1.NewPool(g.clock, g.dialer.Dial),
		Protocol:  wire.EngineProtocol(),
		Reserve:   g.reserve,
		Usable:    g.usable,
		PathLost:  g.dialer.IsLost,
		Notices:   g.notices,
		Budget:    g.retryBudget,
		Grace:     g.grace,
		Wholes:    g.wholes,
		Events:    g.events,
		OnBegun:   func(r *forward.Request) { g.countBegun(r.Account) },

		Quarantine: g.suspects,
		Parts:      g.parts,
		MayTry:     g.mayTryParts,

		BeginStream:   g.beginStream,
		LookupVersion: g.lookupVersion,
	}
	g.forwarder.Pool.OnUnexpectedData = func(address string, c http1.ConnState) {
		g.metrics.Inc("connections.unexpectedData")
		g.logger.Info("unexpected data on an idle connection", "address", address, "connAgeMs", c.Age.Milliseconds(), "carried", c.Carried)
	}
}

func (g *Gateway) buildServers() {
	g.callerHTTP = g.newCallerServer(http.HandlerFunc(g.serveCaller))
	g.peerServer = g.newPeerServer()
	g.peerHTTP = peer.NewHTTPServer(g.tunnels.Wrap(g.peerServer.Handler()), nil)
	g.peerHTTP.Protocols.SetHTTP1(true) // for tunnels
	g.peerHTTP.ErrorLog = slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug)
}

// onHostGone releases the state held for an incarnation of a host that is gone.
func (g *Gateway) onHostGone(h membership.Host) {
	g.logger.Warn("host gone", "gone", h.ID)
	g.metrics.Inc("hosts.gone")
	g.peers.CloseConnections(h.PeerAddress)
	g.peerServer.DropStreams(string(h.ID), h.Incarnation)
	g.coordinator.DropHost(string(h.ID), h.Incarnation)
}

// Run runs the daemon until ctx is cancelled or a graceful shutdown is
// complete.
func (g *Gateway) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	self, err := netip.ParseAddrPort(g.conf().PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	g.beacons, err = beacon.Listen(self.Addr().String(), g.conf().Gateway.BeaconPort)
	if err != nil {
		return err
	}
	grp, ctx := errgroup.WithContext(ctx)
	if err := g.listen(ctx, grp); err != nil {
		return err
	}
	g.logger.Info("started", "incarnation", g.view.Self().Incarnation)
	grp.Go(func() error { g.beacons.Receive(ctx, g.onDatagram); return nil })
	grp.Go(func() error { g.reader.Run(ctx); return nil })
	grp.Go(func() error { g.heartbeats.Run(ctx); return nil })
	grp.Go(func() error { g.tick(ctx); return nil })
	grp.Go(func() error { g.sync.Run(ctx); return nil })
	grp.Go(func() error { g.register(ctx); return nil })
	grp.Go(func() error { g.logMetrics(ctx); return nil })
	grp.Go(func() error { g.updateOrigins(ctx); return nil })
	g.duties.run(ctx, grp)
	grp.Go(func() error { g.grace.Run(ctx, g.clock.After); return nil })
	grp.Go(func() error {
		defer cancel()
		return g.shutDown(ctx)
	})
	err = grp.Wait()
	g.promises.Flush()
	return err
}

// listen opens the daemon's listeners and starts their servers.
func (g *Gateway) listen(ctx context.Context, grp *errgroup.Group) error {
	directory := g.directoryHandler()
	for _, s := range []struct {
		server  *http.Server
		address string
	}{
		{g.callerHTTP, g.conf().CallerAddress},
		{g.peerHTTP, g.conf().PeerAddress},
		{g.newAnswerServer(directory), g.conf().Gateway.ReadyAddress},
		{g.newAnswerServer(directory), g.conf().Gateway.DirectoryAddress},
		{g.newAnswerServer(g.metricsHandler()), g.conf().OperatorAddress},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		if s.server != g.peerHTTP {
			l = &callerconn.Listener{Listener: l, Budget: g.callers, Costs: callerCosts, HeadLimit: g.headLimit}
		}
		grp.Go(func() error { return serve(ctx, s.server, l) })
	}
	return nil
}

func serve(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// tick runs the periodic work until ctx is cancelled.
func (g *Gateway) tick(ctx context.Context) {
	for {
		g.cells.RecordTick()
		if !g.awaitTick(ctx) {
			return
		}
		g.tickOnce(ctx)
	}
}

// awaitTick waits until the next tick. While the daemon is idle, a batch for its
// coordinator ends the wait. It reports false if ctx is cancelled.
func (g *Gateway) awaitTick(ctx context.Context) bool {
	interval, wake := tickInterval, (chan struct{})(nil)
	if !g.placer.Busy() && !g.coordinator.Busy() {
		interval, wake = idleTickInterval, g.busy
	}
	select {
	case <-ctx.Done():
		return false
	case <-g.checks.After(interval):
	case <-wake:
	}
	return true
}

// endIdleTicks makes the next tick run at once if the daemon is idle.
func (g *Gateway) endIdleTicks() {
	select {
	case g.busy <- struct{}{}:
	default:
	}
}

func (g *Gateway) tickOnce(ctx context.Context) {
	if g.cells.RefreshAfterPause(ctx) {
		g.logger.Warn("this daemon was paused")
	}
	g.view.Sweep()
	g.coordinator.SetStarting(g.startingHosts())
	g.coordinator.Tick(g.view.Ready(), g.placer.Suspects())
	g.cells.DropOrphans()
	g.placer.Tick()
	g.streams.Refresh()
	g.leaveTunnels()
	g.endLateCallers()
	g.takeBackLent()
}
