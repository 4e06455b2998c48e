package placement

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// ackTimeout is the time within which a coordinator must acknowledge a
	// batch. It does not limit how long a request waits there.
	ackTimeout = 500 * time.Millisecond
	// keepAlive is the interval at which a batch is sent on a link with pending
	// requests. Without it, a connection that goes silent while requests wait
	// would not be detected.
	keepAlive = time.Second
	// firstSuspicion is how long an unresponsive host is skipped at first. The
	// time doubles up to maxSuspicion until the host responds.
	firstSuspicion = time.Second
	maxSuspicion   = 30 * time.Second
)

// hostLink is a link to a host.
type hostLink struct {
	Link
	host membership.Host
	// batch is the number of the last batch sent, acked that of the last batch
	// acknowledged.
	batch, acked uint64
	// unackedSince is the time since which a batch has awaited acknowledgement.
	unackedSince time.Time
	lastSent     time.Time
	// limits has, per endpoint, the time of the limit last sent on this link.
	limits map[table.EndpointName]time.Time
	// replacement means that this link replaced a silent one.
	replacement bool
}

// suspicion is the state of a host that does not respond.
type suspicion struct {
	until   time.Time
	backoff time.Duration
	// retried means that a link was opened again after until.
	retried bool
}

// link returns the link to a host and opens one if there is none. The caller holds
// the lock.
func (p *Placer) link(host membership.Host) *hostLink {
	l := p.links[host.ID]
	if l != nil && l.host.Incarnation == host.Incarnation {
		return l
	}
	return p.open(host)
}

// open opens a link, replacing an earlier one, and reports the pending requests
// of its host.
func (p *Placer) open(host membership.Host) *hostLink {
	if l := p.links[host.ID]; l != nil {
		l.Close()
	}
	l := &hostLink{host: host, limits: map[table.EndpointName]time.Time{}}
	l.Link = p.dial(host, func(resp *peerv1.ReservationsResponse) { p.receive(l, resp) })
	p.links[host.ID] = l
	delete(p.unsettled, host.ID)
	p.sendOn(l, p.report(l))
	go p.watch(l)
	return l
}

// report returns a batch with all pending requests of the host of a link.
func (p *Placer) report(l *hostLink) *peerv1.ReservationsRequest {
	host := l.host
	req := &peerv1.ReservationsRequest{HoldingsComplete: true, Limits: p.limitsForHost(host.ID), Estimates: p.estimatesFor(l)}
	for _, w := range p.pending {
		if w.host.ID == host.ID {
			w.host = host
			p.appendPending(req, w)
		}
	}
	return req
}

// appendPending adds a pending request to a batch.
func (p *Placer) appendPending(req *peerv1.ReservationsRequest, w *pending) {
	if w.endpoint == "" {
		// The message sent first may still be in use and must not be modified.
		reserve := proto.CloneOf(w.reserve)
		reserve.WaitedMs = uint32((w.waited + p.clock.Since(w.sentAt)) / time.Millisecond)
		req.Reserves = append(req.Reserves, reserve)
		return
	}
	req.Holdings = append(req.Holdings, &peerv1.Holding{
		Sequence:        w.sequence,
		Cell:            w.reserve.GetCell(),
		Class:           w.reserve.GetClass(),
		Account:         w.reserve.GetAccount(),
		Endpoint:        string(w.endpoint),
		EstimatedTokens: w.reserve.GetEstimatedTokens(),
		PromptTokens:    w.reserve.GetPromptTokens(),
		Parts:           w.reserve.GetParts(),
		Begun:           w.firstTokenReceived,
		ElapsedMs:       uint32(p.clock.Since(w.grantedAt) / time.Millisecond),
		LeftMs:          p.leftMs(w),
		Tokens:          w.tokens.Load(),
	})
}

// leftMs returns the milliseconds until the whole response must have reached the caller,
// at least 1, or 0 if that time is unknown.
func (p *Placer) leftMs(w *pending) uint32 {
	timeout := time.Duration(w.reserve.GetDeadlineMs()) * time.Millisecond
	if timeout == 0 {
		return 0
	}
	left := timeout - w.waited - p.clock.Since(w.sentAt)
	return uint32(max(left/time.Millisecond, 1))
}

func (p *Placer) sendOn(l *hostLink, req *peerv1.ReservationsRequest) {
	now := p.clock.Now()
	if l.batch == l.acked {
		l.unackedSince = now
	}
	l.lastSent = now
	l.batch++
	req.Batch = l.batch
	l.Send(req)
}

// watch waits until a link is broken, and reports its pending requests over a new
// link or to the next coordinator.
func (p *Placer) watch(l *hostLink) {
	<-l.Done
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.host.ID] != l {
		return
	}
	delete(p.links, l.host.ID)
	p.metrics.CountRetry(outcome.ReasonNoCoordinator)
	p.unsettled[l.host.ID] = l.batch > l.acked
	if l.acked == 0 {
		p.suspect(l.host.ID)
	}
	p.rankingChanged = true
	p.reassign()
}

// checkLinks detects silent links. The first time, the connection is replaced,
// because a network device that has lost track of a connection makes it silent
// although the peer works. If the new one is silent too, the host is suspected.
func (p *Placer) checkLinks() {
	now := p.clock.Now()
	for id, l := range p.links {
		switch {
		case l.batch > l.acked && now.Sub(l.unackedSince) >= ackTimeout:
			p.replace(l)
		case now.Sub(l.lastSent) >= keepAlive && p.hasPending(id):
			p.sendOn(l, &peerv1.ReservationsRequest{})
		}
	}
}

// hasPending reports whether any request is pending at a host.
func (p *Placer) hasPending(id membership.HostID) bool {
	for _, w := range p.pending {
		if w.host.ID == id {
			return true
		}
	}
	return false
}

func (p *Placer) replace(l *hostLink) {
	p.metrics.Inc("links.silent")
	delete(p.links, l.host.ID)
	l.Close()
	if l.replacement || p.isSuspect(l.host.ID) {
		p.unsettled[l.host.ID] = true
		p.suspect(l.host.ID)
		p.rankingChanged = true
		return
	}
	p.open(l.host).replacement = true
}

func (p *Placer) suspect(id membership.HostID) {
	s := p.suspects[id]
	if s == nil {
		s = &suspicion{backoff: firstSuspicion}
		p.suspects[id] = s
	} else {
		s.backoff = min(2*s.backoff, maxSuspicion)
	}
	if s.backoff == firstSuspicion {
		p.OnReachabilityChange(id, false)
	}
	s.until = p.clock.Now().Add(s.backoff)
	s.retried = false
	p.metrics.Inc("links.suspected")
}

func (p *Placer) isSuspect(id membership.HostID) bool { return p.suspects[id] != nil }

// receive handles one batch of responses.
func (p *Placer) receive(l *hostLink, resp *peerv1.ReservationsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.host.ID] != l {
		// The link was replaced; its answers are repeated on the new one.
		return
	}
	p.acknowledged(l, resp.GetAcked())
	for _, g := range resp.GetGrants() {
		p.granted(l, g)
	}
	for _, r := range resp.GetRefusals() {
		p.refused(l, r)
	}
	for _, seq := range resp.GetPreempts() {
		p.preempt(l, seq)
	}
	for _, published := range resp.GetPressures() {
		p.pressures[cell.ID(published.GetCell())] = pressure{at: p.clock.Now(), tiers: published.GetTiers()}
	}
	p.keepEstimates(l, resp.GetEstimates())
	if resp.GetReset_() {
		p.sendOn(l, p.report(l))
	}
}

func (p *Placer) acknowledged(l *hostLink, batch uint64) {
	if batch <= l.acked {
		return
	}
	l.acked = batch
	l.unackedSince = p.clock.Now()
	l.replacement = false
	if p.isSuspect(l.host.ID) {
		delete(p.suspects, l.host.ID)
		p.rankingChanged = true
		p.OnReachabilityChange(l.host.ID, true)
	}
}

// granted handles a grant. It returns a grant whose request has ended or has moved
// to another coordinator.
func (p *Placer) granted(l *hostLink, g *peerv1.Grant) {
	name := table.EndpointName(g.GetEndpoint())
	w := p.pending[g.GetSequence()]
	if w == nil || w.host.ID != l.host.ID || (w.endpoint != "" && w.endpoint != name) {
		p.sendOn(l, &peerv1.ReservationsRequest{Releases: []*peerv1.Release{callerGoneRelease(g.GetSequence(), "")}})
		return
	}
	if w.endpoint != "" {
		return
	}
	w.endpoint, w.grantedAt = name, p.clock.Now()
	w.answer <- answer{endpoint: name, fetchFrom: table.EndpointName(g.GetFetchFrom()), choice: Choice{
		Backlog:     time.Duration(g.GetBacklogMs()) * time.Millisecond,
		PrefillTime: time.Duration(g.GetUnreadMs()) * time.Millisecond,
		Decode:      g.GetDecode(),
	}}
}

func (p *Placer) refused(l *hostLink, r *peerv1.Refusal) {
	w := p.pending[r.GetSequence()]
	if w == nil || w.endpoint != "" || w.host.ID != l.host.ID {
		return
	}
	delete(p.pending, r.GetSequence())
	refusal := outcome.NotRunError(outcome.Reason(r.GetReason()), "the scheduler refused the request")
	refusal.RetryAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	w.answer <- answer{refusal: refusal}
}

// preempt handles the revocation of a grant. The revocation may arrive before the
// grant, which is then returned as soon as it arrives.
func (p *Placer) preempt(l *hostLink, seq uint64) {
	w := p.pending[seq]
	if w == nil || w.host.ID != l.host.ID {
		return
	}
	if w.preempted {
		return
	}
	w.preempted = true
	if w.onPreempted != nil {
		go w.onPreempted()
	}
}
