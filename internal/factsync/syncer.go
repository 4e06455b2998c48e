// Package factsync keeps a daemon's facts as new as the store's: a few daemons
// read the store and tell the others by datagrams, who ask for what they lack.
// A daemon that is not told in time asks by itself, and at last reads the
// store. See docs/design/freshness.md for the bound that this keeps.
package factsync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/storetime"
)

const (
	// readerKey ranks the hosts that read the store.
	readerKey = "reader"
	// askTimeout bounds a question for another daemon's facts, documentTimeout
	// one whose answer has a configuration, which may take its time on a narrow
	// link.
	askTimeout      = 300 * time.Millisecond
	documentTimeout = time.Second
	// askAfter is how old the facts may be before this daemon asks others for
	// theirs, though nobody told it of newer ones.
	askAfter = time.Second
	// answerLife is how long an answer shows that others can be reached: two
	// rounds of questions in an outage.
	answerLife = 2 * outagePause
	// tickPause is the time between two looks at the age of the facts.
	tickPause = 100 * time.Millisecond
	// outagePause is the time between two rounds of questions while nobody
	// seems to know more, or none has been told anything yet.
	outagePause = 500 * time.Millisecond
	// meetTime is how long a new daemon waits to hear of another one, or for its
	// answer, before it reads the store by itself.
	meetTime = 300 * time.Millisecond
	// questionsAtOnce bounds the questions under way, so that one host that is
	// silent does not hold up the answer of another.
	questionsAtOnce = 2
)

// Syncer keeps one daemon's facts new. All fields must be set before it is
// used. It is safe for concurrent use.
type Syncer struct {
	Clock   clockwork.Clock
	Boot    boottime.Clock
	Store   *storetime.Clock
	Holder  *facts.Holder
	Logger  *slog.Logger
	Metrics *metric.Registry
	// Self returns this host, Hosts all that are known, Staying those of them
	// that are alive and not on their way out.
	Self           func() membership.Host
	Hosts, Staying func() *membership.Snapshot
	// Send sends a beacon to the hosts of peer addresses.
	Send func(addresses []string, b *peerv1.Beacon) error
	// Ask asks the daemon at a peer address for its facts.
	Ask func(ctx context.Context, address string, req *peerv1.FactsRequest) (*peerv1.FactsResponse, error)
	// Pick returns a random number below n.
	Pick func(n int) int
	// Expected tells whether other hosts are expected to be there, though none
	// is known yet.
	Expected func() bool
	// DocumentRate is how many bytes a second of configurations this host sends
	// to others; zero is no limit.
	DocumentRate float64

	started time.Duration

	mu sync.Mutex
	// heard has when hosts were last heard to have read the store, as far as
	// that is of use to OnDuty.
	heard   map[membership.HostID]time.Duration
	names   shortNames
	sources sources
	share   share
	// asked is when the last round of questions without a cause began, answered
	// when a daemon last answered a question.
	asked, answered time.Duration
}

// Start must be called once before the others are.
func (s *Syncer) Start() {
	s.started = s.Boot.Now()
	s.heard = map[membership.HostID]time.Duration{}
	s.sources = newSources()
}

// Run asks for facts when they grow old, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(tickPause):
		}
		s.Holder.Expire()
		s.askWhenOld()
		s.askSources()
	}
}

// age returns how old the older of the facts are; false if one is unknown.
func (s *Syncer) age() (time.Duration, bool) {
	config, known := s.Holder.ConfigAge()
	endpoints, listed := s.Holder.EndpointsAge()
	return max(config, endpoints), known && listed
}

// OnDuty tells whether this daemon is to read the store.
func (s *Syncer) OnDuty() bool {
	now := s.Boot.Now()
	age, known := s.age()
	if !known {
		age = now - s.started
	}
	order := s.Staying().CapableOrder(readerKey)
	rank, stays := order.Position(s.Self().ID)
	if !stays {
		rank = len(order.Hosts)
	}
	switch {
	case facts.Stale(age) && s.unanswered(now), known && facts.Probes(rank, age):
		return true
	case !stays || !known && s.meeting():
		return false
	}
	// A new daemon waits for the readers before it reads.
	return facts.Duty(rank, s.heardAhead(order, rank, now), now-s.started)
}

// unanswered tells whether no other daemon has answered a question lately.
func (s *Syncer) unanswered(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered == 0 || now-s.answered > answerLife
}

// meeting tells whether this daemon is new and may soon hear of others, or
// learn what it has asked one for. All daemons that start at once would read
// the store otherwise.
func (s *Syncer) meeting() bool {
	if s.Boot.Now()-s.started >= meetTime {
		return false
	}
	s.mu.Lock()
	asking := len(s.sources.asking) > 0
	s.mu.Unlock()
	return asking || s.Hosts().Len() == 1 && s.Expected()
}

// heardAhead returns how long ago the first hosts in an order were heard to
// have read, as far as they were, and forgets what is of no use any more.
func (s *Syncer) heardAhead(order *membership.Order, rank int, now time.Duration) (ago []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.heard {
		position, ok := order.Position(id)
		switch {
		case now-at > facts.Patience(len(order.Hosts)):
			delete(s.heard, id)
		case ok && position < rank:
			ago = append(ago, now-at)
		}
	}
	return ago
}

// OnTold takes in what any daemon tells of its facts, and asks it for what is
// missing here.
func (s *Syncer) OnTold(b *peerv1.Beacon) {
	if b == nil {
		return
	}
	s.Holder.OpenGrace(storetime.Instant(b.GetGraceUntil()))
	s.Holder.ConfirmConfig(catalog.Version(b.GetConfigVersion()), storetime.Instant(b.GetConfigAsOf()))
	s.Holder.ConfirmEndpoints(facts.Position(b.GetChanged()), facts.Position(b.GetPosition()), storetime.Instant(b.GetEndpointsAsOf()))
	n := told{config: catalog.Version(b.GetConfigVersion()), changed: facts.Position(b.GetChanged())}
	if !n.newer(s.Holder.Summary()) {
		return
	}
	s.mu.Lock()
	s.sources.add(b.GetAddress(), n)
	s.mu.Unlock()
	s.askSources()
}

// askSources asks the daemons that have told of something newer, as far as
// questions are free.
func (s *Syncer) askSources() {
	for {
		sum := s.Holder.Summary()
		s.mu.Lock()
		q, ok := s.sources.next(sum, s.Boot.Now(), s.Pick)
		s.mu.Unlock()
		if !ok {
			return
		}
		go s.ask(q)
	}
}

// askWhenOld asks hosts drawn at random while the facts are old here. A host
// that is cut off from the store and from its readers still serves as long as
// some daemon that it reaches can vouch for what it knows.
func (s *Syncer) askWhenOld() {
	age, known := s.age()
	if known && age < askAfter {
		return
	}
	now := s.Boot.Now()
	s.mu.Lock()
	if (!known || age > 2*askAfter) && s.asked > 0 && now-s.asked < outagePause {
		s.mu.Unlock()
		return
	}
	s.asked = now
	s.mu.Unlock()
	hosts := s.others()
	for range min(questionsAtOnce, len(hosts)) {
		i := s.Pick(len(hosts))
		address := hosts[i].PeerAddress
		hosts[i] = hosts[len(hosts)-1]
		hosts = hosts[:len(hosts)-1]
		s.mu.Lock()
		ok := s.sources.begin(address)
		s.mu.Unlock()
		if ok {
			go s.ask(question{address: address})
		}
	}
}

// others returns the hosts but this one.
func (s *Syncer) others() (others []membership.Host) {
	self := s.Self().ID
	for _, h := range s.Hosts().All() {
		if h.ID != self {
			others = append(others, h)
		}
	}
	return others
}

// ask asks a daemon for what this one lacks. The question must have begun.
func (s *Syncer) ask(q question) {
	err := s.learnFrom(q)
	s.mu.Lock()
	s.sources.end(q.address, s.Boot.Now(), err == nil)
	if err == nil {
		s.answered = s.Boot.Now()
	}
	s.mu.Unlock()
	if err != nil {
		s.Metrics.Inc("facts.fetchFailed")
	}
	s.askSources()
}

func (s *Syncer) learnFrom(q question) error {
	timeout := askTimeout
	if q.document {
		timeout = documentTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sum := s.Holder.Summary()
	sent := s.Boot.Now()
	resp, err := s.Ask(ctx, q.address, &peerv1.FactsRequest{
		ConfigVersion: uint64(sum.Config),
		Position:      uint64(sum.Position),
		Address:       s.Self().PeerAddress,
	})
	if err != nil {
		return err
	}
	s.Metrics.Inc("facts.fetched")
	if resp.GetStoreNow() > 0 {
		s.Store.Observe(sent, storetime.Instant(resp.GetStoreNow()))
	}
	d := fromMessage(resp)
	d.From = q.address
	if err := s.Holder.Learn(d); err != nil {
		s.Logger.Error("facts not taken", "from", q.address, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range resp.GetAskInstead() {
		s.sources.add(other, told{config: d.Config})
	}
	return nil
}
