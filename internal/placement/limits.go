package placement

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// minLimit is the lowest limit that is applied, in requests per second. An endpoint
// that receives no requests at all could not advertise a higher limit again.
const minLimit = 0.1

// limitRefreshInterval is the time after which an unchanged limit is sent to the
// coordinator again, to show that the endpoint still advertises it.
const limitRefreshInterval = 100 * time.Millisecond

// Limit is the number of requests that an endpoint accepts from all hosts
// together, as advertised in a response.
type Limit struct {
	// Known is false if the response has no information about it: it comes from
	// another endpoint, or its limit is invalid.
	Known bool
	// PerSecond is in requests per second; zero means no limit.
	PerSecond float64
}

// AdvertisedLimit returns the limit for a rate that an endpoint advertises.
func AdvertisedLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Limit{}
	}
	return Limit{Known: true, PerSecond: max(perSecond, minLimit)}
}

// observedLimit is the limit that an endpoint advertised to this daemon.
type observedLimit struct {
	cell      cell.ID
	perSecond float64
	at        time.Time
}

// RecordLimit records the limit that a response of the endpoint advertises.
func (g *Grant) RecordLimit(l Limit) {
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
		seen := observedLimit{cell: cell.ID(g.pending.reserve.GetCell()), perSecond: l.PerSecond, at: p.clock.Now()}
		p.limits[name] = seen
		p.sendLimit(g.pending.host.ID, name, seen, old.perSecond != l.PerSecond)
	}
	if known != (l.PerSecond > 0) || old.perSecond != l.PerSecond {
		p.OnLimit(name, l.PerSecond)
	}
}

// sendLimit sends an endpoint's limit to a coordinator, at once if it has changed.
// The caller holds the lock.
func (p *Placer) sendLimit(host membership.HostID, name table.EndpointName, seen observedLimit, changed bool) {
	l := p.links[host]
	if l == nil || !changed && seen.at.Sub(l.limits[name]) < limitRefreshInterval {
		return
	}
	l.limits[name] = seen.at
	p.sendOn(l, &peerv1.ReservationsRequest{Limits: []*peerv1.EndpointLimit{p.limitMessage(name, seen)}})
}

// unsentLimits returns the limits in a cell that have not been sent on a link yet,
// so that a change of coordinator does not lose them. The caller holds the lock.
func (p *Placer) unsentLimits(l *hostLink, id cell.ID) (limits []*peerv1.EndpointLimit) {
	for name, seen := range p.limits {
		if seen.cell == id && l.limits[name].IsZero() {
			l.limits[name] = seen.at
			limits = append(limits, p.limitMessage(name, seen))
		}
	}
	return limits
}

// limitsForHost returns the limits in the cells that a host coordinates. The
// caller holds the lock.
func (p *Placer) limitsForHost(host membership.HostID) (limits []*peerv1.EndpointLimit) {
	for name, seen := range p.limits {
		if p.coordinator(seen.cell, p.plan.Region(seen.cell)).ID == host {
			limits = append(limits, p.limitMessage(name, seen))
		}
	}
	return limits
}

func (p *Placer) limitMessage(name table.EndpointName, seen observedLimit) *peerv1.EndpointLimit {
	return &peerv1.EndpointLimit{
		Cell:      string(seen.cell),
		Endpoint:  string(name),
		PerSecond: seen.perSecond,
		AgeMs:     uint32(min(p.clock.Since(seen.at)/time.Millisecond, math.MaxUint32)),
	}
}

// pruneLimits removes the limits of endpoints that are no longer in the table. The
// caller holds the lock.
func (p *Placer) pruneLimits() {
	for name, seen := range p.limits {
		if p.plan.Endpoint(seen.cell, name) == nil {
			delete(p.limits, name)
		}
	}
}
