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
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/storetime"
)

// Delays of the simulated site.
const (
	hostDelay  = 2 * time.Millisecond
	storeDelay = 5 * time.Millisecond
	sweepPause = 100 * time.Millisecond
	// datagramHead is what IP and UDP add to a datagram, in bytes.
	datagramHead = 28
)

// documentPart is the part of a link that documents may take.
const documentPart = 0.25

var errNoAnswer = errors.New("no answer")

// bubbleClock tells the time since the simulation began.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) + time.Second }

// simDaemon is one daemon with the real reader, facts, heartbeats and
// questions.
type simDaemon struct {
	site   *simSite
	id     membership.HostID
	view   *membership.View
	holder *facts.Holder
	sync   *Syncer
	beats  *heartbeat.Exchanger
	stop   context.CancelFunc

	mu sync.Mutex
	// resume is closed when a pause ends; nil is no pause.
	resume chan struct{}
	dead   bool
	// slow is added to each answer.
	slow time.Duration
	// sent counts the bytes of datagrams that the daemon has sent.
	sent atomic.Int64
	// steady is since when nothing has happened to the daemon.
	steady time.Time
	// linkFree is when the host's link has sent all documents, longest the
	// longest that anything has waited behind them.
	linkFree time.Time
	longest  time.Duration
}

// pass lets a message to or from the daemon take its time.
func (d *simDaemon) pass(ctx context.Context, delay time.Duration) error {
	d.mu.Lock()
	resume, dead := d.resume, d.dead
	d.mu.Unlock()
	if dead {
		<-ctx.Done()
		return errNoAnswer
	}
	if resume != nil {
		select {
		case <-ctx.Done():
			return errNoAnswer
		case <-resume:
		}
	}
	select {
	case <-ctx.Done():
		return errNoAnswer
	case <-time.After(delay):
		return nil
	}
}

func (d *simDaemon) reached() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.dead && d.resume == nil
}

// pause freezes the daemon's messages for a time.
func (d *simDaemon) pause(length time.Duration) {
	resume := make(chan struct{})
	d.mu.Lock()
	d.resume = resume
	d.mu.Unlock()
	time.Sleep(length)
	d.mu.Lock()
	d.resume, d.steady = nil, time.Now()
	d.mu.Unlock()
	close(resume)
}

// inTouch tells whether nothing has happened to the daemon for a time.
func (d *simDaemon) inTouch(window time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.dead && d.resume == nil && d.slow == 0 && time.Since(d.steady) >= window
}

// simSite is a number of daemons before one store, in simulated time.
type simSite struct {
	simTerms
	mu      sync.Mutex
	rng     *rand.Rand
	clock   bubbleClock
	store   *simStore
	daemons []*simDaemon
}

// simTerms are what does not change in a simulation.
type simTerms struct {
	seed  uint64
	hosts int
	// loss is the share of datagrams that are lost.
	loss float64
	// narrow has the hosts whose link carries narrowLink.
	narrow []int
	// blind has receivers take any word for what they know.
	blind bool
}

func newSimSite(terms simTerms) *simSite {
	s := &simSite{simTerms: terms, rng: rand.New(rand.NewPCG(terms.seed, terms.seed)), clock: bubbleClock{start: time.Now()}}
	s.store = &simStore{clock: s.clock, news: make(chan struct{})}
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

// Bandwidths of hosts' links in bytes a second.
const (
	wideLink   = 700e6 / 8
	narrowLink = 10e6 / 8
)

func (s *simSite) link(id membership.HostID) float64 {
	var i int
	if _, err := fmt.Sscanf(string(id), hostName, &i); err == nil && slices.Contains(s.narrow, i) {
		return narrowLink
	}
	return wideLink
}

// hostName is the form of hosts' names.
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

// start starts the daemon of a host anew.
func (s *simSite) start(i int) {
	d := s.newDaemon(i)
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	s.mu.Lock()
	before := s.daemons[i]
	s.daemons[i] = d
	s.mu.Unlock()
	if before != nil {
		before.end()
	}
	reader := s.newReader(d)
	go reader.Run(ctx)
	go d.sync.Run(ctx)
	go d.beats.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			d.view.Sweep()
			time.Sleep(sweepPause)
		}
	}()
}

// kill ends the daemon of a host at once.
func (s *simSite) kill(i int) { s.daemon(i).end() }

func (d *simDaemon) end() {
	d.mu.Lock()
	d.dead = true
	d.mu.Unlock()
	d.stop()
}

func (s *simSite) newDaemon(i int) *simDaemon {
	clock := clockwork.NewRealClock()
	id := membership.HostID(fmt.Sprintf(hostName, i))
	d := &simDaemon{site: s, id: id, steady: time.Now()}
	d.view = membership.NewView(clock, membership.Host{
		ID: id, Incarnation: uint64(time.Now().UnixNano()), State: membership.Starting, PeerAddress: strconv.Itoa(i),
	})
	storeTime := storetime.NewClock(s.clock)
	d.holder = facts.NewHolder(storeTime, func([]byte) (*catalog.Catalog, error) {
		c := &catalog.Catalog{}
		c.Index()
		return c, nil
	})
	d.holder.OnChange = d.adopt
	d.sync = &Syncer{
		Clock: clock, Boot: s.clock, Store: storeTime, Holder: d.holder,
		Logger: slog.New(slog.DiscardHandler), Metrics: metric.NewRegistry(),
		Self: d.view.Self, Hosts: d.view.Hosts, Staying: d.view.Staying,
		Send: d.send, Ask: d.ask, Pick: s.pick, Expected: func() bool { return true },
		DocumentRate: documentPart * s.link(id),
	}
	d.sync.Start()
	d.beats = &heartbeat.Exchanger{
		Clock: clock, View: d.view, Count: func(string) {}, Call: d.beat,
		Replace:  func(string) {},
		Heard:    func(membership.News, time.Time, time.Duration) {},
		StoreAge: func() time.Duration { return 0 },
		Facts:    d.sync.Beacon, OnFacts: func(b *peerv1.Beacon) { d.sync.OnTold(d.heard(b)) },
		Seeds: func() []string { return []string{"0", "1", "2"} },
		Load:  func() uint32 { return 0 },

		Suspects: quarantine.NewList(clock),
	}
	return d
}

// adopt makes the daemon ready once it has facts.
func (d *simDaemon) adopt() {
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
		Clock: d.sync.Clock, Boot: s.clock, Store: d.sync.Store, Holder: d.holder,
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
		OnDuty: d.sync.OnDuty,
		Told:   d.sync.Tell,
	}
}
