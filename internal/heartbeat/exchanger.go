// Package heartbeat exchanges updates of the hosts between daemons: each daemon
// sends heartbeats to a few partners, relays recent changes, and detects partners
// that don't respond. See docs/design/hosts.md.
package heartbeat

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/quarantine"
)

// Intervals, timeouts and limits of the protocol.
const (
	// Interval is the time between two heartbeats to the same partner.
	Interval = time.Second
	// Timeout applies to one heartbeat, and again to its repetition on a new
	// connection.
	Timeout = 400 * time.Millisecond
	// urgentInterval is the minimum time between two rounds of heartbeats that
	// are sent for urgent updates.
	urgentInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes of a host that is gone, or
	// that is listed by the platform but unknown.
	probeInterval = 2 * time.Second
	// seedsPerRound is how many seeds a daemon probes in one round while it
	// knows no other host. The first fastSeedRounds rounds are
	// fastSeedInterval apart, the later ones Interval.
	seedsPerRound    = 3
	fastSeedInterval = 100 * time.Millisecond
	fastSeedRounds   = 30
	// probeTimeout applies to a heartbeat to a host that may not be running. It
	// is short, since the next probe finds a host that starts a moment later. It
	// doubles up to maxProbeTimeout with each probe of an address that times out:
	// all daemons of a fleet that starts probe the same few seeds.
	probeTimeout    = 150 * time.Millisecond
	maxProbeTimeout = 1200 * time.Millisecond
	// maxJoinHosts limits the hosts in the response to a daemon that knows no
	// other one.
	maxJoinHosts = 32
	// maxChanges limits the updates of hosts in one message, unless a daemon is sent
	// all that it lacks. An update has some 90 bytes.
	maxChanges = 256
	// maxSuspects limits the updates of suspect requests in one message.
	maxSuspects = 32
	// maxDiffering is for how long the digests of two daemons may differ before one
	// requests from the other what it lacks, and maxDifferingIdle the same if the
	// last heartbeat had no updates. Most differences are updates on their way.
	maxDiffering     = 3 * Interval
	maxDifferingIdle = Interval
)

// Exchanger runs the protocol for one daemon. All fields that may not be nil must
// be set before it is used. It is safe for concurrent use.
type Exchanger struct {
	Clock clockwork.Clock
	View  *membership.View
	// Call sends a heartbeat to the daemon at a peer address.
	Call func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)
	// CloseConnections closes the connections to a peer address, so that the next
	// call opens a new one.
	CloseConnections func(address string)
	// OnResponse is called with the state of a daemon that responded, and with the
	// time at which the request was sent. It must not block.
	OnResponse func(peer membership.Update, sent time.Time, storeAge time.Duration)
	// StoreAge returns how long ago this daemon, or one from which it got a
	// heartbeat, last read the store.
	StoreAge func() time.Duration
	// Facts returns the versions of this daemon's facts, and OnFacts handles
	// those of a partner. Both are nil where daemons keep no facts.
	Facts   func() *peerv1.Beacon
	OnFacts func(*peerv1.Beacon)
	// Quarantine holds the requests during which endpoints have terminated; it is
	// nil where daemons don't quarantine requests.
	Quarantine *quarantine.List
	// Parts holds the parts of prompts with which endpoints have terminated; it is nil
	// where daemons don't quarantine parts.
	Parts *quarantine.Parts
	// Seeds returns the peer addresses from the platform or the settings.
	Seeds func() []string
	// Load returns the number of requests in progress; it is nil where daemons
	// don't use the load of others.
	Load func() uint32
	// Count counts an event by name.
	Count func(name string)

	mu sync.Mutex
	// inFlight holds the addresses with a heartbeat in progress.
	inFlight map[string]bool
	// differing holds the hosts whose digests differed from those of this daemon in
	// the last heartbeat.
	differing map[membership.HostID]difference
	// links has, by host, what has been exchanged with the incarnation that this
	// daemon last sent a heartbeat to.
	links map[membership.HostID]link
	// probeTimeouts has, by address, the timeout of the next probe if the last
	// one timed out.
	probeTimeouts map[string]time.Duration
	// incomplete is set when this daemon has learned of a few hosts only.
	incomplete bool
}

// Run exchanges heartbeats until ctx is done.
func (x *Exchanger) Run(ctx context.Context) {
	probeTicker := x.Clock.NewTicker(probeInterval)
	defer probeTicker.Stop()
	aloneRounds := 0
	for turn := 0; ; turn++ {
		if x.Load != nil {
			x.View.SetLoad(x.Load())
		}
		partners := x.View.Partners()
		x.forgetLinks(partners)
		if len(partners) == 0 {
			aloneRounds++
			x.probeHosts(ctx, seedsPerRound)
		} else {
			aloneRounds = 0
			go x.SendHeartbeat(ctx, partners[turn%len(partners)])
		}
		select {
		case <-ctx.Done():
			return
		case <-probeTicker.Chan():
			x.probeHosts(ctx, 1)
		case <-x.View.Wake:
			x.sendToAll(ctx)
			x.sleep(ctx, urgentInterval)
		case <-x.suspectsWake():
			x.sendToAll(ctx)
			x.sleep(ctx, urgentInterval)
		case <-x.partsWake():
			x.sendToAll(ctx)
			x.sleep(ctx, urgentInterval)
		case <-x.Clock.After(nextDelay(len(partners), aloneRounds)):
		}
	}
}

// nextDelay returns the time until the next heartbeat of a daemon with the given
// number of partners. A daemon without partners has probed seeds for aloneRounds
// rounds.
func nextDelay(partners, aloneRounds int) time.Duration {
	switch {
	case partners > 0:
		return Interval / time.Duration(partners)
	case aloneRounds <= fastSeedRounds:
		return fastSeedInterval
	}
	return Interval
}

func (x *Exchanger) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-x.Clock.After(d):
	}
}

// sendToAll sends a heartbeat with urgent updates to every partner at once.
func (x *Exchanger) sendToAll(ctx context.Context) {
	for _, h := range x.View.Partners() {
		go x.SendHeartbeat(ctx, h)
	}
}

// Refresh exchanges heartbeats with every partner and waits for the responses. A
// daemon whose process was paused calls it before it makes any decision.
func (x *Exchanger) Refresh(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range x.View.Partners() {
		wg.Go(func() { x.SendHeartbeat(ctx, h) })
	}
	wg.Wait()
}

// SendHeartbeat exchanges one heartbeat with a host.
//
// When a router or firewall loses the state of a connection, the connection
// delivers nothing any more, while new ones work: heartbeats on it time out
// although the host is healthy. So the connection is replaced first, and a host is
// suspected only if it does not respond on a new one either.
func (x *Exchanger) SendHeartbeat(ctx context.Context, h membership.Host) {
	if !x.startHeartbeat(h.PeerAddress) {
		return
	}
	defer x.finishHeartbeat(h.PeerAddress)
	compare := x.needsComparison(h.ID)
	resp, err := x.exchangeWith(ctx, h, compare, nil)
	if err != nil && ctx.Err() == nil {
		x.Count("heartbeat.failed")
		x.CloseConnections(h.PeerAddress)
		if resp, err = x.exchangeWith(ctx, h, compare, nil); err == nil {
			x.Count("heartbeat.connectionReplaced")
		}
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil || resp.GetSelf().GetHost() != string(h.ID) {
		x.Count("heartbeat.unanswered")
		x.View.Suspect(h.ID, h.Incarnation)
		return
	}
	if len(resp.GetWanted()) > 0 {
		// What is lost now shows as a difference of digests later.
		_, _ = x.exchangeWith(ctx, h, false, resp.GetWanted())
	}
}

// request returns a heartbeat without changes.
func (x *Exchanger) request() *peerv1.HeartbeatRequest {
	return &peerv1.HeartbeatRequest{
		Self:           toInfo(x.View.SelfUpdate()),
		Digest:         x.View.Digest(),
		StoreAgeMs:     milliseconds(x.StoreAge()),
		Facts:          x.facts(),
		SuspectsDigest: x.suspectsDigest(),
		PartsDigest:    x.partsDigest(),
	}
}

// exchange sends one heartbeat and applies the response.
func (x *Exchanger) exchange(ctx context.Context, address string, timeout time.Duration, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := x.Clock.Now()
	resp, err := x.Call(ctx, address, req)
	if err != nil {
		return nil, err
	}
	x.applySuspects(resp.GetSuspects())
	x.applyParts(resp.GetParts())
	x.apply(resp.GetSelf(), resp.GetChanges(), digests{resp.GetDigest(), resp.GetSuspectsDigest(), resp.GetPartsDigest()})
	x.applyFacts(resp.GetFacts())
	x.OnResponse(fromInfo(resp.GetSelf()), sent, time.Duration(resp.GetStoreAgeMs())*time.Millisecond)
	return resp, nil
}

// HandleHeartbeat applies a heartbeat and returns the response.
func (x *Exchanger) HandleHeartbeat(req *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	x.applySuspects(req.GetSuspects())
	x.applyParts(req.GetParts())
	x.apply(req.GetSelf(), req.GetChanges(), digests{req.GetDigest(), req.GetSuspectsDigest(), req.GetPartsDigest()})
	x.applyFacts(req.GetFacts())
	all := req.GetFull() || len(req.GetVersions()) > 0
	resp := &peerv1.HeartbeatResponse{
		Self:       toInfo(x.View.SelfUpdate()),
		Digest:     x.View.Digest(),
		StoreAgeMs: milliseconds(x.StoreAge()),
		Facts:      x.facts(),

		Suspects:       x.suspects(all),
		SuspectsDigest: x.suspectsDigest(),
		Parts:          x.parts(all),
		PartsDigest:    x.partsDigest(),
	}
	x.addChanges(resp, req)
	// A host that is known as gone is nobody's partner, and the update has
	// already been sent. Unless the host gets it here, it can't refute it.
	if n, ok := x.View.SuspectOrGone(fromInfo(req.GetSelf()).Host); ok {
		resp.Changes = append(resp.Changes, toInfo(n))
	}
	return resp
}

// addChanges adds the updates of hosts to the response to a heartbeat: those that have
// changed since the last response and those that differ from the versions in the
// request, or all. A daemon that has just started and knows no other one is sent a few
// hosts, and requests all from one of these: the seeds could not send them to a whole
// fleet.
func (x *Exchanger) addChanges(resp *peerv1.HeartbeatResponse, req *peerv1.HeartbeatRequest) {
	peer := membership.HostID(req.GetSelf().GetHost())
	updates, upTo := x.View.ChangesAfter(membership.Position(req.GetReceived()), peer, maxChanges)
	resp.Position = uint64(upTo)
	switch {
	case len(req.GetVersions()) > 0:
		var lacking []membership.Update
		lacking, resp.Wanted = x.View.Difference(fromUint64s(req.GetVersions()))
		updates = append(updates, lacking...)
	case req.GetFull() && len(req.GetChanges()) == 0:
		updates = x.View.Sample(maxJoinHosts)
	case req.GetFull():
		updates = x.View.All()
	}
	resp.Changes = toInfos(updates)
}

func (x *Exchanger) facts() *peerv1.Beacon {
	if x.Facts == nil {
		return nil
	}
	return x.Facts()
}

func (x *Exchanger) applyFacts(b *peerv1.Beacon) {
	if x.OnFacts != nil && b != nil {
		x.OnFacts(b)
	}
}

// apply applies the updates in a message of another daemon and compares its
// digests.
func (x *Exchanger) apply(self *peerv1.HostInfo, changes []*peerv1.HostInfo, theirs digests) {
	for _, i := range changes {
		x.View.ApplyFrom(membership.HostID(self.GetHost()), fromInfo(i))
	}
	x.View.ObserveUpdate(fromInfo(self))
	x.compareDigests(membership.HostID(self.GetHost()), theirs, len(changes) == 0)
}

// startHeartbeat marks a heartbeat to the address as in progress. It reports false
// if one is in progress already.
func (x *Exchanger) startHeartbeat(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[address] {
		return false
	}
	if x.inFlight == nil {
		x.inFlight = map[string]bool{}
	}
	x.inFlight[address] = true
	return true
}

func (x *Exchanger) finishHeartbeat(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, address)
}
