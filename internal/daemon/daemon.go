// Package daemon assembles and runs the components of the entry daemon.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/backlog"
	"github.com/beechhead/beechhead/internal/caller"
	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/cellhost"
	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/control"
	"github.com/beechhead/beechhead/internal/dispatch"
	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/limit"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/operator"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/responseroom"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

// Daemon is one entry daemon.
type Daemon struct {
	settings   *settings.Settings
	secrets    *settings.Secrets
	logger     *slog.Logger
	clock      clockwork.Clock
	metrics    *metric.Registry
	attainment *attainment.Recorder
	meter      *control.Meter

	view          *membership.View
	replica       *tablesync.Replica
	store         *tablesync.Store
	platform      *platform.Client
	claims        *claim.Store
	coordinator   *cell.Coordinator
	placer        *placement.Placer
	callerHandler *caller.Server
	suspects      *quarantine.List
	peers         *peer.Pool
	heartbeats    *heartbeat.Exchanger
	propagator    *tablesync.Propagator
	hostList      hostList
	cells         *cellhost.Host
	limitOwner    *limit.Owner
	limits        *limit.Limiter

	// callers bounds the connections of callers and operators and what their requests hold.
	callers      *callerconn.Budget
	callerHTTP   *http.Server
	operatorHTTP *http.Server
	peerHTTP     *http.Server
	// peerHandler handles the requests that peerHTTP serves.
	peerHandler *peer.Server
	// draining is closed when the graceful shutdown begins.
	draining chan struct{}
	drain    func()
}

// New returns a daemon that is not yet running.
func New(s *settings.Settings, secrets *settings.Secrets, logger *slog.Logger) *Daemon {
	d := &Daemon{
		settings: s,
		secrets:  secrets,
		logger:   logger.With("host", s.Host),
		clock:    clockwork.NewRealClock(),
		metrics:  metric.NewRegistry(),
	}
	d.attainment = attainment.NewRecorder(d.clock)
	d.draining, d.drain = newCloseOnce()
	size := s.CellSize
	if size == 0 {
		size = cell.DefaultSize
	}
	d.view = membership.NewView(d.clock, membership.Host{
		ID:            membership.HostID(s.Host),
		Incarnation:   membership.NewIncarnation(d.clock.Now().UnixMilli(), rand.Uint64()),
		State:         membership.Starting,
		Region:        s.Region,
		Zone:          s.Zone,
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
	})
	d.meter = control.NewMeter(d.metrics)
	d.platform = platform.NewClientWith(d.clock, s.Platform.URL, d.meter.RoundTripper(control.Platform, metered(d.meter, control.Platform, endpoint.NewTransport())), s.Platform.Timeout.Std(), d.metrics)
	d.replica = tablesync.NewReplica(d.clock, d.metrics)
	d.store = tablesync.NewStore(d.platform.For(platform.UseTable))
	d.coordinator = cell.NewCoordinator(d.clock, membership.HostID(s.Host), size, s.Policy)
	d.coordinator.Disabled = s.Disabled
	d.view.OnGone = d.hostGone
	d.view.Count = d.metrics.Inc
	d.replica.InMinority = d.view.InMinority
	d.replica.FetchFromPeers = d.fetchFromPartners
	d.suspects = quarantine.NewList(d.clock)
	d.suspects.OnChange = quarantine.ReportChanges(d.logger, d.metrics.Inc)
	d.buildPeers()
	d.buildPropagator()
	d.cells = &cellhost.Host{
		Clock:       d.clock,
		View:        d.view,
		Peers:       d.peers,
		Coordinator: d.coordinator,
		Metrics:     d.metrics,
		Interval:    tickInterval,
		RefreshView: d.heartbeats.Refresh,
	}
	d.placer = placement.NewPlacer(d.clock, d.view, d.cells.Dial, d.metrics, size, s.Policy)
	d.placer.OnShareChange = d.coordinator.SetShare
	d.limitOwner = limit.NewOwner(d.clock, d.view.Self().ID)
	d.limits = limit.NewLimiter(d.clock, d.view, d.acquireSlices, d.metrics)
	d.claims = d.newClaims()
	d.replica.Watch(d.applyTable)
	d.buildServers()
	return d
}

// metered counts the bytes on the connections of a transport as part of a flow.
func metered(m *control.Meter, f control.Flow, t *http.Transport) *http.Transport {
	t.DialContext = m.Dial(f, t.DialContext)
	return t
}

func (d *Daemon) buildServers() {
	sender := endpoint.NewSender(endpoint.NewTransport())
	engines, services := engine.NewClient(sender), service.NewClient(sender)
	held := int(d.maxHeld())
	engines.Room, services.Room = responseroom.New(held), responseroom.New(held)
	dispatcher := dispatch.NewDispatcher(d.clock, d.limits, d.placer, engines, services, d.suspects, d.metrics)
	dispatcher.Logger = d.logger
	dispatcher.OtherEndpoints = d.otherEndpoints
	d.callerHandler = &caller.Server{
		Logger:     d.logger,
		Keeper:     d.replica,
		View:       d.view,
		Dispatcher: dispatcher,
		Claims:     d.claims,
		Metrics:    d.metrics,
		Attainment: d.attainment,

		BodyTimeout:  caller.DefaultBodyTimeout,
		StallTimeout: caller.DefaultStallTimeout,
		MaxRequests:  caller.DefaultMaxRequests,
	}
	operatorHandler := &operator.Server{
		Logger:  d.logger,
		Keeper:  d.replica,
		Editor:  tablesync.NewEditor(d.replica, d.store, d.pushTable, d.clock.Now),
		View:    d.view,
		Metrics: d.metrics,
		Key:     d.secrets.OperatorKey,
		Status:  d.siteStatus,
		Drain:   d.drain,
		Claims:  d.claims,
	}
	d.callers = d.newCallerBudget()
	d.callerHTTP = caller.NewHTTPServer(d.callerHandler.Handler(), d.secrets.CallerTLS.Clone())
	d.operatorHTTP = caller.NewHTTPServer(operatorHandler.Handler(), d.secrets.OperatorTLS.Clone())
	d.peerHandler = d.peerServer()
	d.peerHTTP = peer.NewHTTPServer(d.peerHandler.Handler(connect.WithInterceptors(d.meter.Interceptor())), d.secrets.PeerTLS.Clone())
	for _, s := range []*http.Server{d.callerHTTP, d.operatorHTTP, d.peerHTTP} {
		s.ErrorLog = slog.NewLogLogger(d.logger.Handler(), slog.LevelWarn)
	}
}

// maxOthers is the number of endpoints that are tried to find out whether the path to
// all of them is lost.
const maxOthers = 3

// otherEndpoints returns the URLs of up to maxOthers other endpoints, from a random one on.
func (d *Daemon) otherEndpoints(e *table.Endpoint) (urls []string) {
	v := d.replica.Current()
	if v == nil || len(v.Table.Endpoints) == 0 {
		return nil
	}
	all := v.Table.Endpoints
	start := rand.IntN(len(all))
	for i := range all {
		if len(urls) == maxOthers {
			break
		}
		if other := &all[(start+i)%len(all)]; other.URL != e.URL {
			urls = append(urls, other.URL)
		}
	}
	return urls
}

// applyTable configures all components with a table that has become active.
func (d *Daemon) applyTable(v *table.Versioned) {
	d.coordinator.SetStarting(d.view.StartingCount())
	d.coordinator.Configure(v.Table)
	d.updateDraining(v.Table)
	d.placer.Configure(v.Table)
	d.limitOwner.Configure(v.Table)
	d.view.UpdateSelf(func(h *membership.Host) {
		h.TableVersion = uint64(v.Version)
		if h.State == membership.Starting {
			h.State = membership.Ready
		}
	})
	d.logger.Info("table in force", "version", v.Version)
}

// hostGone discards the state of a host incarnation that is gone.
func (d *Daemon) hostGone(h membership.Host) {
	d.logger.Warn("host gone", "gone", h.ID)
	d.metrics.Inc("hosts.gone")
	d.peers.CloseConnections(h.PeerAddress)
	d.peerHandler.DropStreams(string(h.ID), h.Incarnation)
	d.coordinator.DropHost(string(h.ID), h.Incarnation)
}

// Run serves until ctx is done, which stops the daemon abruptly, or until a
// graceful shutdown that Drain started is complete.
func (d *Daemon) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range []struct {
		server  *http.Server
		address string
	}{
		{d.callerHTTP, d.settings.CallerAddress},
		{d.operatorHTTP, d.settings.OperatorAddress},
		{d.peerHTTP, d.settings.PeerAddress},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		if s.server == d.peerHTTP {
			l = d.meter.Listener(control.PeerWire, l)
		} else {
			l = &callerconn.Listener{Listener: l, Budget: d.callers, Costs: caller.Costs, HeadLimit: caller.HeadLimit, Opaque: s.server.TLSConfig != nil}
		}
		g.Go(func() error { return serve(ctx, s.server, l) })
	}
	g.Go(func() error { d.replica.Poll(ctx, d.store); return nil })
	g.Go(func() error { d.heartbeats.Run(ctx); return nil })
	g.Go(func() error { d.watchHostList(ctx); return nil })
	g.Go(func() error { d.tick(ctx); return nil })
	g.Go(func() error { d.limits.Run(ctx); return nil })
	g.Go(func() error { d.claims.Run(ctx); return nil })
	g.Go(func() error { d.sweepClaims(ctx); return nil })
	g.Go(func() error { d.newOrders().Run(ctx); return nil })
	g.Go(func() error {
		d.coordinator.Poll(ctx, engine.NewClient(endpoint.NewSender(metered(d.meter, control.EngineLoad, endpoint.NewTransport()))).Load)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		return d.leave(ctx)
	})
	return g.Wait()
}

// newCallerBudget returns the budget of what callers may make this daemon hold.
func (d *Daemon) newCallerBudget() *callerconn.Budget {
	descriptors := callerconn.ProcessDescriptors()
	if n := d.settings.Descriptors; n > 0 {
		descriptors = n
	}
	limit, maxConns := callerconn.Divide(d.maxHeld(), descriptors)
	return callerconn.NewBudget(d.clock, limit, maxConns)
}

// maxHeld returns how much callers may make this daemon hold.
func (d *Daemon) maxHeld() callerconn.Bytes {
	memory := callerconn.ProcessMemory()
	if mb := d.settings.Memory(); mb > 0 {
		memory = callerconn.Bytes(mb * (1 << 20))
	}
	return callerconn.Bytes(backlog.Limit(backlog.Bytes(memory)))
}

func serve(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := serveOn(s, l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// serveOn serves with TLS if the server is configured for it.
func serveOn(s *http.Server, l net.Listener) error {
	if s.TLSConfig == nil {
		return s.Serve(l)
	}
	return s.ServeTLS(l, "", "")
}

// Drain starts the graceful shutdown.
func (d *Daemon) Drain() { d.drain() }

// leave waits for a drain and then for the running requests to complete.
func (d *Daemon) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.draining:
	}
	d.logger.Info("leaving")
	d.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	for d.view.Accepting() || d.callerHandler.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-d.clock.After(tickInterval):
		}
	}
	d.awaitClaims(ctx)
	return d.depart(ctx)
}

// departureNoticePeriod is the time allowed for the notice of departure to
// reach all hosts.
const departureNoticePeriod = 500 * time.Millisecond

// depart completes a drain. The last responses may still be on their way to
// their callers; the shutdown of the server waits for them. The peers are
// notified, so that the coordinators discard the state of this daemon at once.
func (d *Daemon) depart(ctx context.Context) error {
	if err := d.callerHTTP.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	d.view.Depart()
	d.heartbeats.Refresh(ctx)
	// Hosts that have this daemon as a partner must receive the notice before
	// they find that it does not respond.
	select {
	case <-ctx.Done():
	case <-d.clock.After(departureNoticePeriod):
	}
	d.logger.Info("left")
	return nil
}

func (d *Daemon) welcome() *peerv1.Welcome {
	self := d.view.Self()
	return &peerv1.Welcome{Host: string(self.ID), Incarnation: self.Incarnation}
}

func (d *Daemon) peerServer() *peer.Server {
	return &peer.Server{
		Welcome:         d.welcome,
		Attach:          d.cells.Attach,
		OnHeartbeat:     d.heartbeats.HandleHeartbeat,
		OnPushTable:     d.onPushTable,
		OnFetchTable:    d.onFetchTable,
		OnAcquireSlices: d.onAcquireSlices,
		OnStatus:        d.onStatus,
	}
}
