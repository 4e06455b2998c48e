// Package factsync keeps a daemon's facts up to date with the store: a few
// daemons read the store and notify the others by datagrams, who request what
// they lack. A daemon that is not notified in time sends requests by itself,
// and as a last resort reads the store. See docs/design/freshness.md for the
// bound that this keeps.
package factsync

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/internal/tick"
)

const (
	// readerKey is the key by which hosts are ranked for reading the store.
	readerKey = "reader"
	// fetchTimeout bounds a request for another daemon's facts,
	// configFetchTimeout one whose response contains a configuration, which may
	// take longer on a slow link.
	fetchTimeout       = 300 * time.Millisecond
	configFetchTimeout = time.Second
	// listFetchTimeout bounds a request of a daemon that knows no endpoints to one
	// that has reported some. A small host takes a tenth of a second for a list of
	// thousands, and many hosts request one when a fleet starts.
	listFetchTimeout = 2 * time.Second
	// fetchAge is how old the facts may be before this daemon requests those of
	// others, though none has reported newer ones.
	fetchAge = time.Second
	// responseLifetime is how long a response shows that other daemons can be
	// reached: two rounds of requests in an outage.
	responseLifetime = 2 * outageFetchInterval
	// checkInterval is the time between two checks of the age of the facts.
	checkInterval = 100 * time.Millisecond
	// outageFetchInterval is the time between two rounds of requests while no
	// daemon seems to know more, or none has received any facts yet.
	outageFetchInterval = 500 * time.Millisecond
	// discoveryTime is how long a new daemon waits to discover another one, or
	// for its response, before it reads the store itself.
	discoveryTime = 600 * time.Millisecond
	// settleTime is how long a new daemon that has discovered another one waits to
	// learn of more, within discoveryTime. When a fleet starts, every daemon ranks
	// among the first of the few that it knows.
	settleTime = 150 * time.Millisecond
	// burstSize is the number of newly registered endpoints in one response from
	// which on this daemon waits for burstInterval before it requests endpoints
	// again: the whole fleet learns of every endpoint that registers. An endpoint
	// that leaves meanwhile is known that much later.
	burstSize     = 32
	burstInterval = 600 * time.Millisecond
	// maxConcurrentFetches bounds the requests in flight, so that one host that
	// does not respond does not delay the response of another.
	maxConcurrentFetches = 2
)

// Syncer keeps one daemon's facts up to date. All fields must be set before it
// is used. It is safe for concurrent use.
type Syncer struct {
	// Checks holds the times at which Run checks the age of the facts.
	Checks     *tick.Grid
	Boot       boottime.Clock
	StoreClock *storetime.Clock
	Holder     *facts.Holder
	Logger     *slog.Logger
	Metrics    *metric.Registry
	// Self returns this host, Hosts all known ones, Staying those of them that
	// are alive and not leaving.
	Self           func() membership.Host
	Hosts, Staying func() *membership.Snapshot
	// Send sends a beacon to the hosts of the given peer addresses.
	Send func(addresses []string, b *peerv1.Beacon) error
	// Fetch requests the facts of the daemon at a peer address.
	Fetch func(ctx context.Context, address string, req *peerv1.FactsRequest) (*peerv1.FactsResponse, error)
	// Pick returns a random number below n.
	Pick func(n int) int
	// PeersExpected reports whether other hosts are expected to exist, though none is
	// known yet.
	PeersExpected func() bool
	// DocumentRate is how many bytes per second of configurations this host sends
	// to others; zero is no limit.
	DocumentRate float64

	started time.Duration

	mu sync.Mutex
	// lastReads holds when each host last reported a read of the store, as far as
	// ShouldRead needs it.
	lastReads    map[membership.HostID]time.Duration
	hostsByHash  hostIndex
	sources      sources
	configBudget sendBudget
	forwardings  []forwarding
	// discoveredAt is when another host was first known, zero if none was.
	discoveredAt time.Duration
	// burstUntil is until when requests for endpoints are put off, zero if none
	// ever were.
	burstUntil time.Duration
	// lastFetchRound is when the last round of unprompted requests began,
	// lastResponse when a daemon last responded to a request.
	lastFetchRound, lastResponse time.Duration
}

// Start must be called once before the other methods.
func (s *Syncer) Start() {
	s.started = s.Boot.Now()
	s.lastReads = map[membership.HostID]time.Duration{}
	s.sources = newSources()
}

// Run requests facts when they become old, until ctx is cancelled.
func (s *Syncer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Checks.After(checkInterval):
		}
		s.Holder.Expire()
		s.fetchWhenStale()
		s.fetchFromSources()
		s.forwardDue()
	}
}

// age returns the age of the older of the facts; false if one is unknown.
func (s *Syncer) age() (time.Duration, bool) {
	config, known := s.Holder.ConfigAge()
	endpoints, listed := s.Holder.EndpointsAge()
	return max(config, endpoints), known && listed
}

// ShouldRead reports whether this daemon is to read the store.
func (s *Syncer) ShouldRead() bool {
	now := s.Boot.Now()
	age, known := s.age()
	if !known {
		age = now - s.started
	}
	order := s.Staying().HighCapacityOrder(readerKey)
	rank, stays := order.Position(s.Self().ID)
	if !stays {
		rank = order.Len()
	}
	switch {
	case facts.Stale(age) && s.noRecentResponse(now), known && facts.ShouldProbe(rank, age):
		return true
	case !stays || !known && s.discovering():
		return false
	}
	// A new daemon waits for the readers before it reads.
	return facts.ShouldRead(rank, s.readsAhead(order, rank, now), now-s.started)
}

// noRecentResponse reports whether no other daemon has responded to a request
// recently.
func (s *Syncer) noRecentResponse(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResponse == 0 || now-s.lastResponse > responseLifetime
}

// discovering reports whether this daemon is new and may soon discover others,
// or receive the response to a request. All daemons that start at the same
// time would read the store otherwise.
func (s *Syncer) discovering() bool {
	now := s.Boot.Now()
	if now-s.started >= discoveryTime {
		return false
	}
	alone := s.Hosts().Len() == 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if !alone && s.discoveredAt == 0 {
		s.discoveredAt = now
	}
	switch {
	case len(s.sources.inFlight) > 0:
		return true
	case alone:
		return s.PeersExpected()
	}
	return now-s.discoveredAt < settleTime
}

// readsAhead returns the time since the last reported read of each host before
// the rank in the order, as far as any was reported, and drops entries that
// are no longer needed.
func (s *Syncer) readsAhead(order *membership.Order, rank int, now time.Duration) (ago []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.lastReads {
		position, ok := order.Position(id)
		switch {
		case now-at > facts.TakeoverDelay(order.Len()):
			delete(s.lastReads, id)
		case ok && position < rank:
			ago = append(ago, now-at)
		}
	}
	return ago
}

// OnReport processes what any daemon reports of its facts, and requests from it
// what is missing here.
func (s *Syncer) OnReport(b *peerv1.Beacon) {
	if b == nil {
		return
	}
	s.Holder.ExtendGrace(storetime.Instant(b.GetGraceUntil()))
	s.Holder.ConfirmConfig(catalog.Version(b.GetConfigVersion()), storetime.Instant(b.GetConfigAsOf()))
	s.Holder.ConfirmEndpoints(facts.Position(b.GetChanged()), facts.Position(b.GetPosition()), storetime.Instant(b.GetEndpointsAsOf()))
	n := reported(b)
	if !n.newerThan(s.Holder.Summary()) {
		return
	}
	s.mu.Lock()
	s.sources.add(b.GetAddress(), n)
	s.mu.Unlock()
	s.fetchFromSources()
}

// fetchFromSources sends requests to the daemons that have reported something
// newer, within the limit of requests in flight.
func (s *Syncer) fetchFromSources() {
	for {
		sum := s.Holder.Summary()
		s.mu.Lock()
		now := s.Boot.Now()
		target, ok := s.sources.next(sum, now, s.pace(now), s.Pick)
		s.mu.Unlock()
		if !ok {
			return
		}
		go s.fetch(target)
	}
}

// pace returns the limits of requests. While many endpoints register, requests for
// endpoints are sent one at a time, burstInterval apart. A daemon that is to
// forward beacons needs what they report at once. The caller must hold the lock.
func (s *Syncer) pace(now time.Duration) pace {
	if s.burstUntil == 0 || now >= s.burstUntil+burstInterval || len(s.forwardings) > 0 {
		return pace{concurrent: maxConcurrentFetches}
	}
	return pace{configOnly: now < s.burstUntil, concurrent: 1}
}

// fetchWhenStale sends requests to hosts drawn at random while the facts are
// old here. A host that is cut off from the store and from its readers still
// serves as long as it reaches a daemon that can confirm its facts.
func (s *Syncer) fetchWhenStale() {
	age, known := s.age()
	if known && age < fetchAge {
		return
	}
	now := s.Boot.Now()
	s.mu.Lock()
	if known && age < 2*fetchAge && s.pace(now).configOnly {
		s.mu.Unlock()
		return
	}
	if (!known || age > 2*fetchAge) && s.lastFetchRound > 0 && now-s.lastFetchRound < outageFetchInterval {
		s.mu.Unlock()
		return
	}
	s.lastFetchRound = now
	s.mu.Unlock()
	for _, h := range s.drawHosts() {
		s.mu.Lock()
		ok := s.sources.begin(h.PeerAddress)
		s.mu.Unlock()
		if ok {
			go s.fetch(fetchTarget{address: h.PeerAddress})
		}
	}
}

// drawHosts draws the hosts for a round of unprompted requests: the first in this
// host's availability zone, since a whole list is large, the others anywhere.
func (s *Syncer) drawHosts() (drawn []membership.Host) {
	self, known := s.Self(), s.Hosts()
	candidates := known.Zone(self.Zone).All()
	for range maxConcurrentFetches {
		usable := func(h membership.Host) bool { return h.ID != self.ID && !slices.Contains(drawn, h) }
		if h, ok := s.draw(candidates, usable); ok {
			drawn = append(drawn, h)
		}
		candidates = known.All()
	}
	return drawn
}

// draw returns a random host for which usable returns true; false if there is none.
func (s *Syncer) draw(hosts []membership.Host, usable func(membership.Host) bool) (membership.Host, bool) {
	if len(hosts) == 0 {
		return membership.Host{}, false
	}
	first := s.Pick(len(hosts))
	for i := range hosts {
		if h := hosts[(first+i)%len(hosts)]; usable(h) {
			return h, true
		}
	}
	return membership.Host{}, false
}

// otherHosts returns all known hosts except this one.
func (s *Syncer) otherHosts() (others []membership.Host) {
	self := s.Self().ID
	for _, h := range s.Hosts().All() {
		if h.ID != self {
			others = append(others, h)
		}
	}
	return others
}

// fetch requests what this daemon lacks from another one. The request must be
// marked as in flight.
func (s *Syncer) fetch(target fetchTarget) {
	err := s.fetchFrom(target)
	s.mu.Lock()
	s.sources.end(target.address, s.Boot.Now(), err == nil)
	if err == nil {
		s.lastResponse = s.Boot.Now()
	}
	s.mu.Unlock()
	if err != nil {
		s.Metrics.Inc("facts.fetchFailed")
	}
	s.forwardDue()
	s.fetchFromSources()
}

func (s *Syncer) fetchFrom(target fetchTarget) error {
	sum := s.Holder.Summary()
	timeout := fetchTimeout
	switch {
	case sum.Position == 0 && target.reported:
		timeout = listFetchTimeout
	case target.withConfig:
		timeout = configFetchTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sent := s.Boot.Now()
	resp, err := s.Fetch(ctx, target.address, &peerv1.FactsRequest{
		ConfigVersion: uint64(sum.Config),
		Position:      uint64(sum.Position),
		Address:       s.Self().PeerAddress,
	})
	if err != nil {
		return err
	}
	s.Metrics.Inc("facts.fetched")
	if resp.GetStoreNow() > 0 {
		s.StoreClock.Observe(sent, storetime.Instant(resp.GetStoreNow()))
	}
	d := fromMessage(resp)
	d.From = target.address
	if err := s.Holder.ApplyDelta(d); err != nil {
		s.Logger.Error("facts not taken", "from", target.address, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if registeredIn(d) >= burstSize {
		s.burstUntil = s.Boot.Now() + burstInterval
	}
	for _, other := range resp.GetAskInstead() {
		s.sources.add(other, versions{config: d.Config})
	}
	return nil
}

// registeredIn returns how many endpoints of a delta are registered and not
// draining.
func registeredIn(d facts.Delta) (n int) {
	for _, e := range d.Endpoints {
		if !e.Gone && !e.Draining {
			n++
		}
	}
	return n
}
