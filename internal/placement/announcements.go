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

// refusalLifetime is how long a coordinator that is new is told of a refusal: the second
// that endpoints state, and the transit that schedule allows for.
const refusalLifetime = 1250 * time.Millisecond

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

// Brittleness is the number of requests that an endpoint can turn away without
// terminating, as advertised in a response.
type Brittleness struct {
	// Known is false if the response has no information about it.
	Known bool
	// RefusalsPerSecond is zero if the endpoint is not brittle.
	RefusalsPerSecond int
}

// Announcement holds what a response states about the use of its endpoint.
type Announcement struct {
	Limit       Limit
	Brittleness Brittleness
	// Leaving reports whether the endpoint says that it is leaving.
	Leaving bool
	// Backoff is how long the endpoint wants no request of this host; zero if it has
	// not asked for back-off.
	Backoff time.Duration
}

// observedLimit is the limit that an endpoint advertised to this daemon.
type observedLimit struct {
	cell cell.ID
	// perSecond and refusalsPerSecond are zero if the endpoint advertised no such
	// limit.
	perSecond         float64
	refusalsPerSecond int
	// leaving stays set: no later request is sent to the endpoint.
	leaving bool
	// turnedAway holds the requests of this daemon that the endpoint, which is brittle,
	// has turned away within refusalLifetime.
	turnedAway []turnedAway
	at         time.Time
}

// turnedAway is a request that an endpoint has turned away.
type turnedAway struct {
	sequence uint64
	at       time.Time
}

// sameAs reports whether two limits are equal, whenever they were advertised.
func (o observedLimit) sameAs(other observedLimit) bool {
	return o.perSecond == other.perSecond && o.refusalsPerSecond == other.refusalsPerSecond && o.leaving == other.leaving
}

// RecordAnnouncement records what a response of the endpoint announces.
func (g *Grant) RecordAnnouncement(a Announcement) {
	if !a.Limit.Known && !a.Brittleness.Known && !a.Leaving {
		return
	}
	p := g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	name := g.Endpoint.Name
	old := p.limits[name]
	seen := old
	seen.cell, seen.at = cell.ID(g.pending.reserve.GetCell()), p.clock.Now()
	if a.Limit.Known {
		seen.perSecond = a.Limit.PerSecond
		g.unlimited = a.Limit.PerSecond == 0
	}
	if a.Brittleness.Known {
		seen.refusalsPerSecond = a.Brittleness.RefusalsPerSecond
		g.notBrittle = a.Brittleness.RefusalsPerSecond == 0
		if p.keepsGone {
			p.forgetOthers(name, seen)
		}
	}
	seen.leaving = seen.leaving || a.Leaving
	if seen.sameAs(observedLimit{}) {
		delete(p.limits, name)
	} else {
		p.limits[name] = seen
		p.sendLimit(g.pending.host.ID, name, seen, !seen.sameAs(old))
	}
	if seen.perSecond != old.perSecond || seen.refusalsPerSecond != old.refusalsPerSecond {
		p.OnLimit(name, seen.perSecond, seen.refusalsPerSecond)
	}
}

// forgetOthers removes what endpoints of a cell have stated that are no longer in the
// table, if an endpoint states now that it is not brittle. The caller holds the lock.
func (p *Placer) forgetOthers(name table.EndpointName, seen observedLimit) {
	if seen.refusalsPerSecond > 0 {
		return
	}
	for other, o := range p.limits {
		if other != name && o.cell == seen.cell && p.plan.Endpoint(o.cell, other) == nil {
			delete(p.limits, other)
		}
	}
}

// recordRefusal records that a brittle endpoint has turned a request away, so that the
// next coordinator knows. The caller holds the lock.
func (p *Placer) recordRefusal(name table.EndpointName, sequence uint64) {
	seen, ok := p.limits[name]
	if !ok || seen.refusalsPerSecond == 0 {
		return
	}
	now := p.clock.Now()
	var recent []turnedAway
	for _, t := range seen.turnedAway {
		if now.Sub(t.at) < refusalLifetime {
			recent = append(recent, t)
		}
	}
	recent = append(recent, turnedAway{sequence: sequence, at: now})
	seen.turnedAway = recent
	p.limits[name] = seen
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

// forgetSentLimits has the limits sent again with the next reservations: a host that
// coordinates a cell again may have forgotten them. The caller holds the lock.
func (p *Placer) forgetSentLimits() {
	for _, l := range p.links {
		clear(l.limits)
	}
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
	l := &peerv1.EndpointLimit{
		Cell:      string(seen.cell),
		Endpoint:  string(name),
		PerSecond: seen.perSecond,

		RefusalsPerSecond: uint32(seen.refusalsPerSecond),
		Leaving:           seen.leaving,
		AgeMs:             p.ageMs(seen.at),
	}
	for _, t := range seen.turnedAway {
		if p.clock.Since(t.at) < refusalLifetime {
			l.TurnedAway = append(l.TurnedAway, &peerv1.TurnedAway{Sequence: t.sequence, AgeMs: p.ageMs(t.at)})
		}
	}
	return l
}

func (p *Placer) ageMs(at time.Time) uint32 {
	return uint32(min(p.clock.Since(at)/time.Millisecond, math.MaxUint32))
}

// pruneLimits removes the limits of endpoints that are no longer in the table. The newest
// statement in a cell that its endpoint is brittle is kept: the endpoints of a pool are
// brittle together, and the ones that have replaced it may not have responded yet. The
// caller holds the lock.
func (p *Placer) pruneLimits() {
	newest := map[cell.ID]table.EndpointName{}
	for name, seen := range p.limits {
		last, ok := newest[seen.cell]
		if seen.refusalsPerSecond > 0 && (!ok || seen.at.After(p.limits[last].at)) {
			newest[seen.cell] = name
		}
	}
	p.keepsGone = false
	for name, seen := range p.limits {
		switch {
		case p.plan.Endpoint(seen.cell, name) != nil:
		case newest[seen.cell] == name && len(p.plan.Members(seen.cell)) > 0:
			p.keepsGone = true
		default:
			delete(p.limits, name)
		}
	}
}
