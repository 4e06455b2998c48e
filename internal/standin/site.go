package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/daemon"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	siteRegion         = "region-1"
	serviceConcurrency = 8
)

// SiteConfig describes a site. Zero fields take the demo's values.
type SiteConfig struct {
	Daemons int
	Engines int
	Zones   int
	Speed   EngineSpeed
	// Speeds holds the speed of each engine; when set, Engines and Speed are
	// ignored.
	Speeds []EngineSpeed
	// Policy is the daemons' way of placing requests.
	Policy settings.Policy
	// Secrets are those of every daemon; nil is DemoOperatorKey without TLS.
	Secrets *settings.Secrets
	// Through returns the URL under which daemons reach a stand-in, for tests
	// that put a relay in between; it may be nil.
	Through func(url string) (string, error)
	// Table changes the sample table before it is stored; it may be nil.
	Table func(*table.Table)
}

func (c SiteConfig) withDefaults() SiteConfig {
	if c.Daemons == 0 {
		c.Daemons = 3
	}
	if c.Engines == 0 {
		c.Engines = 4
	}
	if c.Zones == 0 {
		c.Zones = 3
	}
	if c.Secrets == nil {
		c.Secrets = &settings.Secrets{OperatorKey: DemoOperatorKey}
	}
	if c.Speed.Concurrency == 0 {
		c.Speed = EngineSpeed{Concurrency: 8, PromptToken: 200 * time.Microsecond, Token: 15 * time.Millisecond, Crowding: 0.5, Prefixes: 32}
	}
	if c.Speeds == nil {
		c.Speeds = slices.Repeat([]EngineSpeed{c.Speed}, c.Engines)
	}
	return c
}

// Site is a small site on loopback: daemons, endpoints and a platform, all in
// one process.
type Site struct {
	Platform *Platform
	Engines  []*Engine
	Service  *Service
	// Settings are those of the daemons, by number.
	Settings []*settings.Settings

	cfg        SiteConfig
	logger     *slog.Logger
	servers    []*http.Server
	engineURLs []string

	mu sync.Mutex
	// runs holds the newest run of each daemon, by number.
	runs []*daemonRun
}

// daemonRun is one incarnation of a daemon.
type daemonRun struct {
	daemon *daemon.Daemon
	kill   context.CancelFunc
	// ended is closed when the run is over.
	ended chan struct{}
}

// NewSite starts the stand-ins and prepares the daemons.
func NewSite(ctx context.Context, cfg SiteConfig, logger *slog.Logger) (s *Site, err error) {
	s = &Site{Platform: NewPlatform(), Service: NewService(), cfg: cfg.withDefaults(), logger: logger}
	platformURL, err := s.serve(s.Platform.Handler())
	if err != nil {
		return nil, err
	}
	t, err := s.startEndpoints()
	if err != nil {
		return nil, err
	}
	if cfg.Table != nil {
		cfg.Table(t)
	}
	client := platform.NewClient(platformURL, http.DefaultTransport, time.Second)
	entry := tablesync.HistoryEntry{EditID: "sample", Operator: "demo", At: time.Now(), Summary: "sample table"}
	if _, err := tablesync.NewStore(client).Put(ctx, 0, t, entry); err != nil {
		return nil, err
	}
	return s, s.prepareDaemons(platformURL)
}

func (s *Site) startEndpoints() (*table.Table, error) {
	var endpoints []table.Endpoint
	for i, speed := range s.cfg.Speeds {
		e := NewEngine(speed)
		url, err := s.serve(e.Handler())
		if err != nil {
			return nil, err
		}
		server := s.servers[len(s.servers)-1]
		e.End = func() { _ = server.Close() }
		s.Engines = append(s.Engines, e)
		s.engineURLs = append(s.engineURLs, url)
		endpoints = append(endpoints, table.Endpoint{
			Name: table.EndpointName(fmt.Sprintf("engine-%d", i)), Kind: table.KindEngine, Pool: SampleModel, URL: url,
			Region: siteRegion, Zone: s.zone(i), Concurrency: speed.Concurrency, CanCancel: true, CanResume: true, EchoesID: true,
		})
	}
	url, err := s.serve(s.Service.Handler())
	if err != nil {
		return nil, err
	}
	endpoints = append(endpoints, table.Endpoint{
		Name: "booking-0", Kind: table.KindService, Pool: SampleService, URL: url,
		Region: siteRegion, Zone: s.zone(0), Concurrency: serviceConcurrency, EchoesID: true,
	})
	return SampleTable(endpoints), nil
}

func (s *Site) zone(i int) string { return fmt.Sprintf("zone-%d", i%s.cfg.Zones) }

func (s *Site) serve(h http.Handler) (url string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	url = "http://" + l.Addr().String()
	if s.cfg.Through != nil {
		return s.cfg.Through(url)
	}
	return url, nil
}

func (s *Site) prepareDaemons(platformURL string) error {
	var hosts []platform.Host
	for i := range s.cfg.Daemons {
		addresses, err := ports.addresses(3)
		if err != nil {
			return err
		}
		cfg := &settings.Settings{
			Host: fmt.Sprintf("host-%d", i), Region: siteRegion, Zone: s.zone(i),
			CallerAddress: addresses[0], PeerAddress: addresses[1], OperatorAddress: addresses[2],
			Platform: settings.Platform{URL: platformURL, Timeout: table.Duration(time.Second)},
			Policy:   s.cfg.Policy,
		}
		s.Settings = append(s.Settings, cfg)
		hosts = append(hosts, platform.Host{
			ID: cfg.Host, PeerAddress: cfg.PeerAddress, CallerAddress: cfg.CallerAddress,
			IP: "127.0.0.1", Region: cfg.Region, Zone: cfg.Zone, State: platform.HostLive,
		})
	}
	s.runs = make([]*daemonRun, len(s.Settings))
	s.Platform.SetHosts(hosts)
	return nil
}

// StartDaemon starts a new incarnation of a daemon, by number.
func (s *Site) StartDaemon(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	run := &daemonRun{daemon: daemon.New(s.Settings[i], s.cfg.Secrets, s.logger), kill: cancel, ended: make(chan struct{})}
	s.mu.Lock()
	s.runs[i] = run
	s.mu.Unlock()
	go func() {
		defer close(run.ended)
		if err := run.daemon.Run(ctx); err != nil {
			s.logger.Error("daemon failed", "number", i, "error", err)
		}
	}()
}

// KillDaemon ends a daemon at once, as a crash would, and waits for its end.
func (s *Site) KillDaemon(i int) {
	if run := s.run(i); run != nil {
		run.kill()
		<-run.ended
	}
}

// DrainDaemon starts a daemon's graceful stop. The channel is closed when the
// daemon has ended.
func (s *Site) DrainDaemon(i int) <-chan struct{} {
	run := s.run(i)
	run.daemon.Drain()
	return run.ended
}

func (s *Site) run(i int) *daemonRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[i]
}

// Run runs all daemons until ctx ends, and then ends the whole site.
func (s *Site) Run(ctx context.Context) error {
	for i := range s.Settings {
		s.StartDaemon(i)
	}
	<-ctx.Done()
	for i := range s.Settings {
		s.KillDaemon(i)
	}
	s.closeServers()
	return nil
}

func (s *Site) closeServers() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
