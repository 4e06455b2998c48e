package placement

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
)

// Tick handles changes of the hosts and detects silent links. It must be called
// several times per second.
func (p *Placer) Tick() {
	hosts := p.view.Ready()
	p.mu.Lock()
	if p.plan == nil {
		p.mu.Unlock()
		return
	}
	if p.ranking.Update(hosts) {
		p.rankingChanged = true
	}
	p.retrySuspects()
	p.checkLinks()
	p.settleReleases()
	p.reassign()
	share, changed := p.updateShare()
	p.mu.Unlock()
	if changed {
		p.OnShareChange(share)
	}
}

// Suspects returns the hosts that are unreachable at the moment, or nil if there
// are none.
func (p *Placer) Suspects() map[membership.HostID]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.suspects) == 0 {
		return nil
	}
	suspects := make(map[membership.HostID]bool, len(p.suspects))
	for id := range p.suspects {
		suspects[id] = true
	}
	return suspects
}

// retrySuspects opens links to suspected hosts again. A host gets no requests until
// it has acknowledged the first batch of a new link: grants that moved there
// earlier would be unknown to the coordinator that is active meanwhile.
func (p *Placer) retrySuspects() {
	now := p.clock.Now()
	for id, s := range p.suspects {
		host, ok := p.ranking.Hosts().Find(id)
		switch {
		case !ok:
			delete(p.suspects, id)
		case !s.retried && !now.Before(s.until):
			s.retried = true
			p.open(host)
		}
	}
}

// decidesLocally reports whether the policy is one of the baselines, which use no
// other coordinator.
func (p *Placer) decidesLocally() bool {
	return p.policy == settings.PolicyRoundRobin || p.policy == settings.PolicyLeastOutstanding
}

// coordinator returns the coordinator of a cell: the first host in order that is
// not suspected, or this host if there is none.
func (p *Placer) coordinator(id cell.ID, region string) membership.Host {
	self := p.view.Self()
	if p.decidesLocally() {
		return self
	}
	if p.ranking.Hosts().Len() == 0 {
		p.ranking.Update(p.view.Ready())
	}
	reachable := func(h membership.HostID) bool { return h == self.ID || !p.isSuspect(h) }
	if h, ok := p.ranking.First(id, region); ok && reachable(h.ID) {
		return h
	}
	if h, ok := p.ranking.FirstOf(id, region, reachable); ok {
		return h
	}
	return self
}

// reassign moves pending requests to the coordinators that are now first in order.
// It cancels waiting requests at the old coordinator and reports grants to the new
// one, so that no coordinator reserves a second slot for them. It notifies a new
// coordinator when the reports are complete, so that it can stop waiting.
func (p *Placer) reassign() {
	if !p.rankingChanged {
		return
	}
	p.rankingChanged = false
	p.forgetSentLimits()
	moves := map[membership.HostID]*reassignment{}
	to := func(h membership.Host) *reassignment {
		if moves[h.ID] == nil {
			moves[h.ID] = &reassignment{host: h}
		}
		return moves[h.ID]
	}
	for _, w := range slices.Collect(maps.Values(p.pending)) {
		h := p.coordinator(cell.ID(w.reserve.GetCell()), w.region)
		m := to(h)
		if w.host.ID != h.ID {
			p.abandon(w)
			p.renumber(w)
			w.host = h
			m.moved = append(m.moved, w)
		}
	}
	for _, id := range p.cellsWithNewCoordinator() {
		m := to(p.coordinators[id])
		m.reported = append(m.reported, string(id))
	}
	for _, m := range moves {
		p.sendReassignment(m)
	}
	p.handOnEstimates()
}

// renumber gives a pending request a new sequence number before it moves. If the
// request moves back later, the cancellation of the first reservation must not
// affect it: both may be in one batch, which does not keep their order.
func (p *Placer) renumber(w *pending) {
	delete(p.pending, w.sequence)
	p.sequence++
	w.sequence = p.sequence
	w.reserve = proto.CloneOf(w.reserve)
	w.reserve.Sequence = w.sequence
	p.pending[w.sequence] = w
}

// reassignment is the set of requests that move to a host.
type reassignment struct {
	host  membership.Host
	moved []*pending
	// reported lists the cells whose report to the host is now complete.
	reported []string
}

func (p *Placer) sendReassignment(m *reassignment) {
	l := p.links[m.host.ID]
	if l == nil || l.host.Incarnation != m.host.Incarnation {
		// The report that starts the new link includes the moved requests.
		l = p.open(m.host)
	} else {
		p.sendPending(l, m)
	}
	if len(m.reported) > 0 {
		p.sendOn(l, &peerv1.ReservationsRequest{Reported: m.reported, Limits: p.limitsForHost(m.host.ID), Estimates: p.estimatesFor(l)})
	}
}

// cellsWithNewCoordinator returns the cells whose coordinator has changed from the
// point of view of this daemon. In a large fleet, daemons that have nothing to
// report do not open links for this.
func (p *Placer) cellsWithNewCoordinator() []cell.ID {
	if p.decidesLocally() || p.ranking.Hosts().Len() > cell.ReportAllMaxHosts {
		return nil
	}
	var ids []cell.ID
	for _, id := range p.plan.All() {
		h := p.coordinator(id, p.plan.Region(id))
		if old := p.coordinators[id]; old.ID != h.ID || old.Incarnation != h.Incarnation {
			p.coordinators[id] = h
			ids = append(ids, id)
		}
	}
	return ids
}

// sendPending sends the requests that move to a host, with the limits in its cells: it
// may grant at once.
func (p *Placer) sendPending(l *hostLink, m *reassignment) {
	if len(m.moved) == 0 {
		return
	}
	req := &peerv1.ReservationsRequest{Limits: p.limitsForHost(m.host.ID), Estimates: p.estimatesFor(l)}
	for _, w := range m.moved {
		p.appendPending(req, w)
	}
	p.sendOn(l, req)
}

// settleReleases opens links to the hosts to which a release could not be sent.
// The report that starts a link has the same effect, since the coordinator drops
// what it does not list.
func (p *Placer) settleReleases() {
	for id, isUnsettled := range p.unsettled {
		host, known := p.ranking.Hosts().Find(id)
		switch {
		case !known || !isUnsettled:
			delete(p.unsettled, id)
		case !p.isSuspect(id):
			p.link(host)
			delete(p.unsettled, id)
		}
	}
}

// updateShare determines whether no other host can be reached although others
// should exist. Each of them may then decide alone as well, so each uses only its
// share of the endpoints. Hosts that left on their own are not counted.
func (p *Placer) updateShare() (share int, changed bool) {
	share = 1
	if !p.decidesLocally() && !p.canReachOthers() {
		share += p.view.MissingCount() + len(p.suspects)
	}
	changed = share != p.share
	p.share = share
	return share, changed
}

func (p *Placer) canReachOthers() bool {
	self := p.view.Self()
	return slices.ContainsFunc(p.ranking.Hosts().All(), func(h membership.Host) bool {
		return h.ID != self.ID && !p.isSuspect(h.ID)
	})
}
