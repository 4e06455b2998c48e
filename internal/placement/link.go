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
	// ackTimeout bounds the time until a coordinator acknowledges a batch.
	// It does not bound how long a request waits there.
	ackTimeout = 500 * time.Millisecond
	// keepAlive is the time after which a batch is sent on a link that
	// someone waits on. A connection may go silent for good while requests
	// wait; without it nobody would notice.
	keepAlive = time.Second
	// firstSuspicion is how long a host is passed over; the time doubles up
	// to maxSuspicion until it answers.
	firstSuspicion = time.Second
	maxSuspicion   = 30 * time.Second
)

// hostLink is a link with the host that it leads to.
type hostLink struct {
	Link
	host membership.Host
	// batch counts the batches sent, acked those that were acknowledged.
	batch, acked uint64
	// unacked is since when a batch has been waiting to be acknowledged.
	unacked  time.Time
	lastSent time.Time
	// limits has when the endpoints named the limits that were last told.
	limits map[table.EndpointName]time.Time
	// replacement says that the link before this one was silent.
	replacement bool
}

// suspicion is a host that does not answer.
type suspicion struct {
	until   time.Time
	backoff time.Duration
	// tried says that a link was opened after until.
	tried bool
}

// link returns the link to a host and opens one if there is none. The caller
// holds the lock.
func (p *Placer) link(host membership.Host) *hostLink {
	l := p.links[host.ID]
	if l != nil && l.host.Incarnation == host.Incarnation {
		return l
	}
	return p.open(host)
}

// open opens a link, in place of any earlier one, and reports what is pending
// at its host.
func (p *Placer) open(host membership.Host) *hostLink {
	if l := p.links[host.ID]; l != nil {
		l.Close()
	}
	l := &hostLink{host: host, limits: map[table.EndpointName]time.Time{}}
	l.Link = p.dial(host, func(resp *peerv1.ReservationsResponse) { p.receive(l, resp) })
	p.links[host.ID] = l
	delete(p.owed, host.ID)
	p.sendOn(l, p.report(host))
	go p.watch(l)
	return l
}

// report lists all that is pending at a host.
func (p *Placer) report(host membership.Host) *peerv1.ReservationsRequest {
	req := &peerv1.ReservationsRequest{HoldingsComplete: true, Limits: p.limitsAt(host.ID)}
	for _, w := range p.pending {
		if w.host.ID == host.ID {
			w.host = host
			p.addTo(req, w)
		}
	}
	return req
}

// addTo adds a pending request to a report.
func (p *Placer) addTo(req *peerv1.ReservationsRequest, w *pending) {
	if w.endpoint == "" {
		// The first message may still be on its way: it must not change.
		reserve := proto.CloneOf(w.reserve)
		reserve.WaitedMs = uint32((w.waited + p.clock.Since(w.began)) / time.Millisecond)
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
		Begun:           w.begun,
	})
}

func (p *Placer) sendOn(l *hostLink, req *peerv1.ReservationsRequest) {
	now := p.clock.Now()
	if l.batch == l.acked {
		l.unacked = now
	}
	l.lastSent = now
	l.batch++
	req.Batch = l.batch
	l.Send(req)
}

// watch waits for the end of a link. What was pending on it is reported over
// a new one, or to the next coordinator if none can be had.
func (p *Placer) watch(l *hostLink) {
	<-l.Done
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.host.ID] != l {
		return
	}
	delete(p.links, l.host.ID)
	p.metrics.Retried(outcome.ReasonNoCoordinator)
	p.owed[l.host.ID] = l.batch > l.acked
	if l.acked == 0 {
		p.suspect(l.host.ID)
	}
	p.moved = true
	p.move()
}

// checkLinks finds links that have gone silent. The first time the connection
// is replaced: one that a device between the hosts has lost track of says
// nothing about the peer. If the new one is silent too, the peer is passed
// over.
func (p *Placer) checkLinks() {
	now := p.clock.Now()
	for id, l := range p.links {
		switch {
		case l.batch > l.acked && now.Sub(l.unacked) >= ackTimeout:
			p.replace(l)
		case now.Sub(l.lastSent) >= keepAlive && p.waitsFor(id):
			p.sendOn(l, &peerv1.ReservationsRequest{})
		}
	}
}

// waitsFor tells whether anything is pending at a host.
func (p *Placer) waitsFor(id membership.HostID) bool {
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
		p.owed[l.host.ID] = true
		p.suspect(l.host.ID)
		p.moved = true
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
		p.OnReach(id, false)
	}
	s.until = p.clock.Now().Add(s.backoff)
	s.tried = false
	p.metrics.Inc("links.suspected")
}

func (p *Placer) isSuspect(id membership.HostID) bool { return p.suspects[id] != nil }

// receive takes one batch of answers.
func (p *Placer) receive(l *hostLink, resp *peerv1.ReservationsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.host.ID] != l {
		// The link was replaced, and its answers come again on the new one.
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
	if resp.GetReset_() {
		p.sendOn(l, p.report(l.host))
	}
}

func (p *Placer) acknowledged(l *hostLink, batch uint64) {
	if batch <= l.acked {
		return
	}
	l.acked = batch
	l.unacked = p.clock.Now()
	l.replacement = false
	if p.isSuspect(l.host.ID) {
		delete(p.suspects, l.host.ID)
		p.moved = true
		p.OnReach(l.host.ID, true)
	}
}

// granted takes in a grant. One that nobody waits for any more, or that comes
// from a coordinator that the request has moved away from, is given back.
func (p *Placer) granted(l *hostLink, g *peerv1.Grant) {
	name := table.EndpointName(g.GetEndpoint())
	w := p.pending[g.GetSequence()]
	if w == nil || w.host.ID != l.host.ID || (w.endpoint != "" && w.endpoint != name) {
		p.sendOn(l, &peerv1.ReservationsRequest{Releases: []*peerv1.Release{callerGone(g.GetSequence(), "")}})
		return
	}
	if w.endpoint != "" {
		return
	}
	w.endpoint = name
	w.answer <- answer{endpoint: name, fetchFrom: table.EndpointName(g.GetFetchFrom()), choice: Choice{
		Backlog: time.Duration(g.GetBacklogMs()) * time.Millisecond,
		Unread:  time.Duration(g.GetUnreadMs()) * time.Millisecond,
		Decode:  g.GetDecode(),
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

// preempt asks a grant back. It may overtake the grant itself, which is then
// given back as soon as it comes.
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
