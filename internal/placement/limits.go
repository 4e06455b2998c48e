package placement

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
)

// leastLimit is the least limit that is kept, in requests a second: an endpoint
// that got none at all could not say that it takes more again.
const leastLimit = 0.1

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
	if l.PerSecond == 0 {
		delete(p.limits, name)
	} else {
		p.limits[name] = seenLimit{cell: cell.ID(g.pending.reserve.GetCell()), perSecond: l.PerSecond, at: p.clock.Now()}
	}
	if known != (l.PerSecond > 0) || old.perSecond != l.PerSecond {
		p.OnLimit(name, l.PerSecond)
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
