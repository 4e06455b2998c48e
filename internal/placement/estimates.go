package placement

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// keptEstimates are the estimates of a cell that its coordinator has sent to this host.
type keptEstimates struct {
	message *peerv1.CellEstimates
	// measuredAt is when the newest of them was measured.
	measuredAt time.Time
	// host and incarnation are those of the last coordinator that has them.
	host        membership.HostID
	incarnation uint64
}

// keepEstimates keeps the estimates that a coordinator has sent, in place of older ones.
// The caller holds the lock.
func (p *Placer) keepEstimates(l *hostLink, all []*peerv1.CellEstimates) {
	now := p.clock.Now()
	for _, message := range all {
		id := cell.ID(message.GetCell())
		kept := keptEstimates{
			message:     message,
			measuredAt:  now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond),
			host:        l.host.ID,
			incarnation: l.host.Incarnation,
		}
		if !kept.measuredAt.Before(p.estimates[id].measuredAt) {
			p.estimates[id] = kept
		}
	}
}

// handOnEstimates sends estimates to the hosts that coordinate their cells now, even if
// this host has no request there. Only a few hosts have estimates of a cell. The caller
// holds the lock.
func (p *Placer) handOnEstimates() {
	for id, kept := range p.estimates {
		h := p.coordinator(id, p.plan.Region(id))
		if kept.has(h) || p.clock.Since(kept.measuredAt) >= batching.EstimateLifetime {
			continue
		}
		l := p.link(h)
		if all := p.estimatesFor(l); len(all) > 0 {
			p.sendOn(l, &peerv1.ReservationsRequest{Estimates: all})
		}
	}
}

// has reports whether a host has the estimates already.
func (k *keptEstimates) has(h membership.Host) bool {
	return k.host == h.ID && k.incarnation == h.Incarnation
}

// estimatesFor returns the estimates of the cells that a host coordinates now, except
// those that it has, and counts it as having them. Those that are too old to be adopted
// are dropped. The caller holds the lock.
func (p *Placer) estimatesFor(l *hostLink) (all []*peerv1.CellEstimates) {
	now := p.clock.Now()
	for id, kept := range p.estimates {
		age := now.Sub(kept.measuredAt)
		if age >= batching.EstimateLifetime {
			delete(p.estimates, id)
			continue
		}
		if kept.has(l.host) || p.coordinator(id, p.plan.Region(id)).ID != l.host.ID {
			continue
		}
		message := proto.CloneOf(kept.message)
		message.AgeMs = uint32(min(age/time.Millisecond, math.MaxUint32))
		all = append(all, message)
		kept.host, kept.incarnation = l.host.ID, l.host.Incarnation
		p.estimates[id] = kept
		p.metrics.Inc("estimates.handedOn")
	}
	return all
}
