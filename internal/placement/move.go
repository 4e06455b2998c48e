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

const (
	// reportAllBelow is the number of hosts up to which every host reports
	// to each new coordinator, even if it has nothing there, so that the
	// coordinator need not wait for it.
	reportAllBelow = 32
)

// Tick follows changes of the hosts and finds silent links. It is to be called
// several times a second.
func (p *Placer) Tick() {
	hosts := p.view.Ready()
	p.mu.Lock()
	if p.plan == nil {
		p.mu.Unlock()
		return
	}
	if p.ranking.Update(hosts) {
		p.moved = true
	}
	p.expireSuspicions()
	p.checkLinks()
	p.payOwed()
	p.move()
	share, changed := p.updateAlone()
	p.mu.Unlock()
	if changed {
		p.OnAlone(share)
	}
}

// Suspects returns the hosts that can't be reached at the moment, nil if there
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

// expireSuspicions tries hosts under suspicion again. A host gets nothing until
// it has acknowledged the first batch of a new link: if what is held moved
// there before, it would be unknown to the coordinator that works meanwhile.
func (p *Placer) expireSuspicions() {
	now := p.clock.Now()
	for id, s := range p.suspects {
		host, ok := p.ranking.Hosts().Find(id)
		switch {
		case !ok:
			delete(p.suspects, id)
		case !s.tried && !now.Before(s.until):
			s.tried = true
			p.open(host)
		}
	}
}

// decidesAlone tells whether the policy is one of the baselines.
func (p *Placer) decidesAlone() bool {
	return p.policy == settings.PolicyRoundRobin || p.policy == settings.PolicyLeastOutstanding
}

// coordinator returns the host to ask for a cell: the first in order that is
// not under suspicion, and this one if there is none.
func (p *Placer) coordinator(id cell.ID, region string) membership.Host {
	self := p.view.Self()
	if p.decidesAlone() {
		return self
	}
	if p.ranking.Hosts().Len() == 0 {
		p.ranking.Update(p.view.Ready())
	}
	for _, h := range p.ranking.Rank(id, region) {
		if h.ID == self.ID || !p.isSuspect(h.ID) {
			return h
		}
	}
	return self
}

// move takes what is pending to the coordinators that now come first. What
// waits is cancelled at the old one and what is held is reported to the new
// one, so that no coordinator keeps a place for it twice. A new coordinator is
// told when that is complete, so that it need not wait any longer.
func (p *Placer) move() {
	if !p.moved {
		return
	}
	p.moved = false
	moves := map[membership.HostID]*hostMove{}
	to := func(h membership.Host) *hostMove {
		if moves[h.ID] == nil {
			moves[h.ID] = &hostMove{host: h}
		}
		return moves[h.ID]
	}
	for _, w := range slices.Collect(maps.Values(p.pending)) {
		h := p.coordinator(cell.ID(w.reserve.GetCell()), w.region)
		m := to(h)
		if w.host.ID != h.ID {
			p.giveBack(w)
			p.renumber(w)
			w.host = h
			m.moved = append(m.moved, w)
		}
	}
	for _, id := range p.newlyCoordinated() {
		m := to(p.coordinators[id])
		m.reported = append(m.reported, string(id))
	}
	for _, m := range moves {
		p.moveTo(m)
	}
}

// renumber gives a pending request another sequence number before it moves. If
// it moves back later, the cancel of the first one must not hit it: the two
// may travel in one batch, in which the order is lost.
func (p *Placer) renumber(w *pending) {
	delete(p.pending, w.sequence)
	p.sequence++
	w.sequence = p.sequence
	w.reserve = proto.CloneOf(w.reserve)
	w.reserve.Sequence = w.sequence
	p.pending[w.sequence] = w
}

// hostMove is what moves to a host.
type hostMove struct {
	host  membership.Host
	moved []*pending
	// reported lists the cells of which the host is now told everything.
	reported []string
}

func (p *Placer) moveTo(m *hostMove) {
	l := p.links[m.host.ID]
	if l == nil || l.host.Incarnation != m.host.Incarnation {
		// The report with which the link begins has what moved as well.
		l = p.open(m.host)
	} else {
		p.sendMoved(l, m.moved)
	}
	if len(m.reported) > 0 {
		p.sendOn(l, &peerv1.ReservationsRequest{Reported: m.reported, Limits: p.limitsAt(m.host.ID)})
	}
}

// newlyCoordinated returns the cells that have another coordinator than
// before, as this daemon sees it. In a large fleet the daemons that have
// nothing to report don't open links for it.
func (p *Placer) newlyCoordinated() []cell.ID {
	if p.decidesAlone() || p.ranking.Hosts().Len() > reportAllBelow {
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

func (p *Placer) sendMoved(l *hostLink, moved []*pending) {
	if len(moved) == 0 {
		return
	}
	req := &peerv1.ReservationsRequest{}
	for _, w := range moved {
		p.addTo(req, w)
	}
	p.sendOn(l, req)
}

// payOwed opens links to the hosts that a release could not be sent to. The
// report with which a link begins settles it.
func (p *Placer) payOwed() {
	for id, owed := range p.owed {
		host, known := p.ranking.Hosts().Find(id)
		switch {
		case !known || !owed:
			delete(p.owed, id)
		case !p.isSuspect(id):
			p.link(host)
			delete(p.owed, id)
		}
	}
}

// updateAlone finds out whether no other host can be reached though there
// should be some. Each of them may then be deciding alone, so that each takes
// its share only. Hosts that left by themselves don't count.
func (p *Placer) updateAlone() (share int, changed bool) {
	share = 1
	if !p.decidesAlone() && !p.reachesOthers() {
		share += p.view.Missed() + len(p.suspects)
	}
	changed = share != p.share
	p.share = share
	return share, changed
}

func (p *Placer) reachesOthers() bool {
	self := p.view.Self()
	return slices.ContainsFunc(p.ranking.Hosts().All(), func(h membership.Host) bool {
		return h.ID != self.ID && !p.isSuspect(h.ID)
	})
}
