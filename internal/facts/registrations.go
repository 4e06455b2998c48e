package facts

import (
	"time"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// registrations turns rows of the endpoints' table into facts.
//
// Entries lapse while the store is away, and their endpoints register again
// soon after its return. If they were taken for gone at once, every outage
// would empty the pools. So what is missing after an outage is held for
// returnGrace; what is still missing then is gone.
type registrations struct {
	reader *Reader
	// held has what is missing since an outage.
	held map[EndpointID]bool
	// until is the local time at which that is over.
	until time.Duration
	// logged is how many were held when that was last logged.
	logged int
}

func (g *registrations) apply(n news) {
	holder := g.reader.Holder
	if age, ok := holder.EndpointsAge(); ok && age > outage {
		g.until = g.reader.Boot.Now() + returnGrace
	}
	var changes []Endpoint
	if n.whole {
		changes = g.missing(n.rows)
		holder.Rebase(Position(n.upTo))
	}
	for _, row := range n.rows.Rows {
		changes = append(changes, g.row(row)...)
	}
	changes = append(changes, g.release(Position(n.rows.Version))...)
	if len(g.held) != g.logged {
		g.logged = len(g.held)
		g.reader.Logger.Info("lapsed endpoints kept", "endpoints", g.logged, "forMs", max(0, g.until-g.reader.Boot.Now()).Milliseconds())
	}
	holder.Merge("", changes, Position(n.upTo), storetime.Instant(n.rows.NowMs), false)
}

// missing returns what is known and not listed in all rows.
func (g *registrations) missing(rows platform.Rows) []Endpoint {
	listed := map[EndpointID]bool{}
	for _, row := range rows.Rows {
		listed[EndpointID(row.Key)] = true
	}
	var gone []Endpoint
	for _, e := range g.reader.Holder.Endpoints() {
		if !listed[e.ID] {
			gone = append(gone, g.gone(e.ID, Position(rows.Version))...)
		}
	}
	return gone
}

// row returns the change that a row makes.
func (g *registrations) row(row platform.FeedRow) []Endpoint {
	id := EndpointID(row.Key)
	if row.Removed {
		if known, ok := g.reader.Holder.Endpoint(id); ok && known.Gone {
			// Others may know of a start in between that has ended as well.
			known.Changed = Position(row.Version)
			return []Endpoint{known}
		}
		return g.gone(id, Position(row.Version))
	}
	e, ok := g.reader.DecodeEndpoint(row)
	if !ok {
		// An entry that can't be read names no endpoint to use.
		g.reader.Metrics.Inc("facts.endpointInvalid")
		return g.gone(id, Position(row.Version))
	}
	e.Changed = Position(row.Version)
	delete(g.held, id)
	if known, ok := g.reader.Holder.Endpoint(id); ok && known.same(e) {
		return nil
	}
	return []Endpoint{e}
}

// gone returns that an endpoint is gone, or holds it.
func (g *registrations) gone(id EndpointID, at Position) []Endpoint {
	known, ok := g.reader.Holder.Endpoint(id)
	switch {
	case !ok:
		// Others may know an endpoint that came and went between two reads.
		return []Endpoint{{ID: id, Gone: true, Changed: at}}
	case known.Gone, at < known.Changed:
		// The second is old news: another daemon has told of what came after.
		return nil
	}
	if g.reader.Boot.Now() < g.until && !known.Draining {
		g.held[id] = true
		return nil
	}
	known.Gone = true
	known.Changed = max(at, known.Changed+1)
	return []Endpoint{known}
}

// release returns the endpoints that were held and have not come back. They
// count as changed now: others may know of all changes up to the present.
func (g *registrations) release(now Position) []Endpoint {
	if len(g.held) == 0 || g.reader.Boot.Now() < g.until {
		return nil
	}
	var gone []Endpoint
	for id := range g.held {
		delete(g.held, id)
		gone = append(gone, g.gone(id, now)...)
	}
	return gone
}
