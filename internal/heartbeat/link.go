package heartbeat

import (
	"context"
	"maps"
	"slices"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// link is the state of the exchange with a daemon.
type link struct {
	incarnation uint64
	// sent is up to where in its list of changes this daemon has sent them, received
	// up to where it has received those of the other one.
	sent, received membership.Position
	// toldParts is set if the other daemon has been sent all parts. Digests do not cover
	// those that have completed.
	toldParts bool
}

// exchangeWith exchanges a heartbeat with a known host. It carries the changes since
// the last one, or the hosts that the other daemon wants.
func (x *Exchanger) exchangeWith(ctx context.Context, h membership.Host, compare bool, wanted []uint32) (*peerv1.HeartbeatResponse, error) {
	l := x.linkTo(h)
	req := x.request()
	req.Received = uint64(l.received)
	updates, upTo := x.View.ChangesAfter(l.sent, h.ID, maxChanges)
	if wanted != nil {
		updates, upTo = x.View.Find(wanted), l.sent
	}
	req.Changes = toInfos(updates)
	if compare {
		req.Versions = toUint64s(x.View.Versions())
	}
	allParts := compare || !l.toldParts
	req.Suspects, req.Parts = x.suspects(compare), x.parts(allParts)
	resp, err := x.exchange(ctx, h.PeerAddress, Timeout, req)
	if err != nil {
		return nil, err
	}
	if self := resp.GetSelf(); self.GetHost() == string(h.ID) {
		told := allParts || l.incarnation == self.GetIncarnation()
		l = link{incarnation: self.GetIncarnation(), sent: upTo, received: membership.Position(resp.GetPosition()), toldParts: told}
		x.mu.Lock()
		x.links[h.ID] = l
		x.mu.Unlock()
	}
	return resp, nil
}

// linkTo returns what has been exchanged with a host.
func (x *Exchanger) linkTo(h membership.Host) link {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.links == nil {
		x.links = map[membership.HostID]link{}
	}
	if l := x.links[h.ID]; l.incarnation == h.Incarnation {
		return l
	}
	return link{}
}

// forgetLinks drops the links to hosts that are no longer partners.
func (x *Exchanger) forgetLinks(partners []membership.Host) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.links) <= 2*membership.Rings {
		return
	}
	maps.DeleteFunc(x.links, func(id membership.HostID, _ link) bool {
		return !slices.ContainsFunc(partners, func(h membership.Host) bool { return h.ID == id })
	})
}
