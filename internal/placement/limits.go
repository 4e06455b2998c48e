package placement

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// leastLimit is the least limit that is kept, in requests a second: an endpoint
// that got none at all could not say that it takes more again.
const leastLimit = 0.1

// tellLimitAfter is the time after which a coordinator is told of a limit again
// that it knows: it must know that the endpoint still names it.
const tellLimitAfter = 100 * time.Millisecond

// Limit is what an answer says of how many requests its endpoint takes from
// all hosts together.
type Limit struct {
	// Known is false if the answer does not tell: it is another endpoint's, or
	// what it says can't be read.
	Known bool
	// PerSecond is in requests a second; zero if the endpoint names no limit.
	PerSecond float64
}

// NamedLimit returns a limit that an endpoint names.
func NamedLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Limit{}
	}
	return Limit{Known: true, PerSecond: max(perSecond, leastLimit)}
}

// seenLimit is the limit that an endpoint named in an answer to this daemon.
type seenLimit struct {
	cell      cell.ID
	perSecond float64
	at        time.Time
}

// Answered notes what an answer says of its endpoint's limit.
func (g *Grant) Answered(l Limit) {
	if !l.Known {
		return
	}
	p := g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	name := g.Endpoint.Name
	old, known := p.limits[name]
	g.unlimited = l.PerSecond == 0
	if g.unlimited {
		delete(p.limits, name)
	} else {
		seen := seenLimit{cell: cell.ID(g.pending.reserve.GetCell()), perSecond: l.PerSecond, at: p.clock.Now()}
		p.limits[name] = seen
		p.tellLimit(g.pending.host.ID, name, seen, old.perSecond != l.PerSecond)
	}
	if known != (l.PerSecond > 0) || old.perSecond != l.PerSecond {
		p.OnLimit(name, l.PerSecond)
	}
}

// tellLimit tells a coordinator what an endpoint takes, at once if that is news.
// The caller holds the lock.
func (p *Placer) tellLimit(host membership.HostID, name table.EndpointName, seen seenLimit, news bool) {
	l := p.links[host]
	if l == nil || !news && seen.at.Sub(l.limits[name]) < tellLimitAfter {
		return
	}
	l.limits[name] = seen.at
	p.sendOn(l, &peerv1.ReservationsRequest{Limits: []*peerv1.EndpointLimit{p.toLimit(name, seen)}})
}

// untoldLimits returns the limits in a cell of which nothing was told on a link
// yet, so that no change of coordinator loses them. The caller holds the lock.
func (p *Placer) untoldLimits(l *hostLink, id cell.ID) (limits []*peerv1.EndpointLimit) {
	for name, seen := range p.limits {
		if seen.cell == id && l.limits[name].IsZero() {
			l.limits[name] = seen.at
			limits = append(limits, p.toLimit(name, seen))
		}
	}
	return limits
}

// limitsAt returns the limits in the cells that a host coordinates. The caller
// holds the lock.
func (p *Placer) limitsAt(host membership.HostID) (limits []*peerv1.EndpointLimit) {
	for name, seen := range p.limits {
		if p.coordinator(seen.cell, p.plan.Region(seen.cell)).ID == host {
			limits = append(limits, p.toLimit(name, seen))
		}
	}
	return limits
}

func (p *Placer) toLimit(name table.EndpointName, seen seenLimit) *peerv1.EndpointLimit {
	return &peerv1.EndpointLimit{
		Cell:      string(seen.cell),
		Endpoint:  string(name),
		PerSecond: seen.perSecond,
		AgeMs:     uint32(min(p.clock.Since(seen.at)/time.Millisecond, math.MaxUint32)),
	}
}

// forgetLimits forgets the limits of endpoints that the table no longer has.
// The caller holds the lock.
func (p *Placer) forgetLimits() {
	for name := range p.limits {
		if _, ok := p.table.Endpoint(name); !ok {
			delete(p.limits, name)
		}
	}
}
