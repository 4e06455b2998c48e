package factsync

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/internal/tick"
)

// Delays of the simulated site.
const (
	hostDelay  = 2 * time.Millisecond
	storeDelay = 5 * time.Millisecond
	sweepPause = 100 * time.Millisecond
	// datagramOverhead is the size of a datagram's IP and UDP headers, in bytes.
	datagramOverhead = 28
)

// configLinkShare is the share of a link's bandwidth that configurations may
// use.
const configLinkShare = 0.25

var errNoResponse = errors.New("no response")

// simClock returns the time since the simulation began.
type simClock struct{ start time.Time }

func (c simClock) Now() time.Duration { return time.Since(c.start) + time.Second }

// simDaemon is one daemon with the real reader, facts, heartbeats and syncer.
type simDaemon struct {
	site       *simSite
	id         membership.HostID
	view       *membership.View
	holder     *facts.Holder
	sync       *Syncer
	heartbeats *heartbeat.Exchanger
	stop       context.CancelFunc
	began      time.Time

	mu sync.Mutex
	// resume is closed when a pause ends; nil if there is none.
	resume chan struct{}
	dead   bool
	// slow is the additional delay of each response.
	slow time.Duration
	// sent counts the bytes of datagrams that the daemon has sent.
	sent atomic.Int64
	// answered counts the requests for facts that the daemon has answered.
	answered atomic.Int64
	// calls counts the daemon's heartbeats, callBytes their size with that of
	// the responses, and hostUpdates the updates of hosts in both.
	calls, callBytes, hostUpdates atomic.Int64
	// stableSince is since when the daemon has not been disturbed.
	stableSince time.Time
	// linkFree is when the host's link will have sent all configurations,
	// longestWait the longest time that anything has waited behind them.
	linkFree    time.Time
	longestWait time.Duration
}

// deliver takes the time that a message to or from the daemon needs; it fails
// if the daemon is dead.
func (d *simDaemon) deliver(ctx context.Context, delay time.Duration) error {
	d.mu.Lock()
	resume, dead := d.resume, d.dead
	d.mu.Unlock()
	if dead {
		<-ctx.Done()
		return errNoResponse
	}
	if resume != nil {
		select {
		case <-ctx.Done():
			return errNoResponse
		case <-resume:
		}
	}
	select {
	case <-ctx.Done():
		return errNoResponse
	case <-bubbleclock.After(delay):
		return nil
	}
}

func (d *simDaemon) reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.dead && d.resume == nil
}

// pause holds back the daemon's messages for a time.
func (d *simDaemon) pause(length time.Duration) {
	resume := make(chan struct{})
	d.mu.Lock()
	d.resume = resume
	d.mu.Unlock()
	time.Sleep(length)
	d.mu.Lock()
	d.resume, d.stableSince = nil, time.Now()
	d.mu.Unlock()
	close(resume)
}

// stableFor reports whether the daemon has not been disturbed for a time.
func (d *simDaemon) stableFor(window time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.dead && d.resume == nil && d.slow == 0 && time.Since(d.stableSince) >= window
}

// simSite is a set of daemons that use one store, in simulated time.
type simSite struct {
	simParams
	mu      sync.Mutex
	rng     *rand.Rand
	clock   simClock
	store   *simStore
	daemons []*simDaemon
}

// simParams are the constant parameters of a simulation.
type simParams struct {
	seed  uint64
	hosts int
	// loss is the share of datagrams that are lost.
	loss float64
	// narrow lists the hosts whose link has the bandwidth narrowLink.
	narrow []int
	// oneHigh is how many hosts there are for each one of high capacity; zero if
	// all are alike.
	oneHigh int
	// zones is the number of availability zones.
	zones int
	// sendRate is the rate in bytes per second at which each host sends configurations
	// and lists of endpoints; zero if its link alone limits it.
	sendRate float64
	// listed are the hosts in the list that a daemon reads after listDelay while it
	// knows no other host.
	listed    []string
	listDelay time.Duration
	// seedDelay is the additional delay of the responses of the hosts in the
	// settings.
	seedDelay time.Duration
	// unverified makes receivers accept any confirmation for what they know.
	unverified bool
}

func newSimSite(terms simParams) *simSite {
	s := &simSite{simParams: terms, rng: rand.New(rand.NewPCG(terms.seed, terms.seed)), clock: simClock{start: time.Now()}}
	s.store = &simStore{clock: s.clock, changed: make(chan struct{})}
	s.store.put("c", "1")
	for i := range 6 {
		s.store.put(endpointKey(i), "10.0.0."+strconv.Itoa(i))
	}
	for i := range terms.hosts {
		s.daemons = append(s.daemons, nil)
		s.start(i)
	}
	return s
}

// Bandwidths of hosts' links in bytes per second.
const (
	wideLink   = 700e6 / 8
	narrowLink = 10e6 / 8
)

func (s *simSite) capacity(i int) uint32 {
	if s.oneHigh > 0 && i%s.oneHigh == 0 {
		return 10
	}
	return min(1, uint32(s.oneHigh))
}

// zone returns a host's availability zone; all hosts are in one if the site has no
// zones.
func (s *simSite) zone(i int) string {
	if s.zones == 0 {
		return ""
	}
	return "zone-" + strconv.Itoa(i%s.zones)
}

func (s *simSite) link(id membership.HostID) float64 {
	if s.sendRate > 0 {
		return s.sendRate
	}
	var i int
	if _, err := fmt.Sscanf(string(id), hostName, &i); err == nil && slices.Contains(s.narrow, i) {
		return narrowLink
	}
	return wideLink
}

// hostName is the format of host names.
const hostName = "host-%d"

func endpointKey(i int) string { return "e" + strconv.Itoa(i) }

func (s *simSite) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *simSite) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *simSite) daemon(i int) *simDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[i]
}

// start starts a new daemon on a host.
func (s *simSite) start(i int) {
	d := s.newDaemon(i)
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	s.mu.Lock()
	before := s.daemons[i]
	s.daemons[i] = d
	s.mu.Unlock()
	if before != nil {
		before.terminate()
	}
	reader := s.newReader(d)
	go reader.Run(ctx)
	go d.sync.Run(ctx)
	go d.heartbeats.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			d.view.Sweep()
			time.Sleep(sweepPause)
		}
	}()
}

// kill terminates the daemon of a host at once.
func (s *simSite) kill(i int) { s.daemon(i).terminate() }

func (d *simDaemon) terminate() {
	d.mu.Lock()
	d.dead = true
	d.mu.Unlock()
	d.stop()
}

func (s *simSite) newDaemon(i int) *simDaemon {
	clock := bubbleclock.New()
	id := membership.HostID(fmt.Sprintf(hostName, i))
	d := &simDaemon{site: s, id: id, stableSince: time.Now(), began: time.Now()}
	d.view = membership.NewView(clock, membership.Host{
		ID: id, Incarnation: uint64(time.Now().UnixNano()), State: membership.Starting, PeerAddress: strconv.Itoa(i),
		Capacity: s.capacity(i), Zone: s.zone(i),
	})
	if i < seedHosts {
		d.slow = s.seedDelay
	}
	storeTime := storetime.NewClock(s.clock)
	d.holder = facts.NewHolder(storeTime, func([]byte) (*catalog.Catalog, error) {
		c := &catalog.Catalog{}
		c.Index()
		return c, nil
	})
	d.holder.OnChange = d.markReady
	d.sync = &Syncer{
		Checks: tick.NewGrid(clock), Boot: s.clock, StoreClock: storeTime, Holder: d.holder,
		Logger: slog.New(slog.DiscardHandler), Metrics: metric.NewRegistry(),
		Self: d.view.Self, Hosts: d.view.Hosts, Staying: d.view.Active,
		Send: d.send, Fetch: d.ask, Pick: s.pick, PeersExpected: func() bool { return true },
		DocumentRate: configLinkShare * s.link(id),
	}
	d.sync.Start()
	d.heartbeats = &heartbeat.Exchanger{
		Clock: clock, View: d.view, Count: func(string) {}, Call: d.heartbeat,
		CloseConnections: func(string) {},
		OnResponse:       func(membership.Update, time.Time, time.Duration) {},
		StoreAge:         func() time.Duration { return 0 },
		Facts:            d.sync.Beacon, OnFacts: func(b *peerv1.Beacon) { d.sync.OnReport(d.received(b)) },
		Seeds: func() []string { return d.seeds() },
		Load:  func() uint32 { return 0 },

		Quarantine: quarantine.NewList(clock),
		Parts:      quarantine.NewParts(clock),
	}
	return d
}

// seedHosts is the number of hosts in the settings.
const seedHosts = 3

// seeds returns the addresses of the hosts in the settings and of those in the list.
func (d *simDaemon) seeds() []string {
	seeds := []string{"0", "1", "2"}
	if time.Since(d.began) >= d.site.listDelay {
		seeds = append(seeds, d.site.listed...)
	}
	return seeds
}

// markReady makes the daemon ready once it has facts.
func (d *simDaemon) markReady() {
	if sum := d.holder.Summary(); sum.Config == 0 || sum.Position == 0 {
		return
	}
	d.view.UpdateSelf(func(h *membership.Host) {
		if h.State == membership.Starting {
			h.State = membership.Ready
		}
	})
}

func (s *simSite) newReader(d *simDaemon) *facts.Reader {
	return &facts.Reader{
		Clock: bubbleclock.New(), Checks: d.sync.Checks, Boot: s.clock, StoreClock: d.sync.StoreClock, Holder: d.holder,
		Logger: d.sync.Logger, Metrics: d.sync.Metrics,
		Config: s.store.feed(d, "c"), Endpoints: s.store.feed(d, "e"),
		DecodeConfig: func(rows []platform.FeedRow) (c facts.Config, ok bool) {
			for _, row := range rows {
				version, _, _ := strings.Cut(string(row.Value), " ")
				n, _ := strconv.Atoi(version)
				c = facts.Config{Version: catalog.Version(n), Data: row.Value}
			}
			return c, len(rows) > 0
		},
		DecodeEndpoint: func(row platform.FeedRow) (facts.Endpoint, bool) {
			address, draining := strings.CutSuffix(string(row.Value), " draining")
			return facts.Endpoint{ID: facts.EndpointID(row.Key), Address: address, Draining: draining}, true
		},
		ShouldRead: d.sync.ShouldRead,
		OnRead:     d.sync.Broadcast,
	}
}
