// Package cell implements the coordinator's side of the reservation protocol.
// It divides the endpoints into cells, runs the scheduler of each cell that this
// daemon coordinates, and answers the entry daemons (the daemons that receive
// the callers' requests) that reserve slots on its endpoints.
package cell

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/pkg/table"
)

// ID identifies a cell, for example "model@region/0".
type ID string

// DefaultSize is the number of endpoints per cell if the settings do not
// specify one.
const DefaultSize = 32

// Plan assigns the endpoints of a table to cells. It depends only on the table
// and the cell size, so all daemons with the same table compute the same plan.
type Plan struct {
	cells map[ID][]*table.Endpoint
	pools map[table.Pool][]ID
	// ids lists all cells, sorted.
	ids []ID
}

// NewPlan divides the endpoints of each pool and region into cells of about
// size endpoints. An endpoint's cell depends only on its name and the number of
// cells, so most edits of the table move no other endpoint to another cell.
func NewPlan(t *table.Table, size int) *Plan {
	type scope struct {
		pool   table.Pool
		region string
	}
	byScope := map[scope][]*table.Endpoint{}
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		s := scope{e.Pool, e.Region}
		byScope[s] = append(byScope[s], e)
	}
	p := &Plan{cells: map[ID][]*table.Endpoint{}, pools: map[table.Pool][]ID{}}
	for s, endpoints := range byScope {
		count := (len(endpoints) + size - 1) / size
		for _, e := range endpoints {
			n := xxhash.Sum64String(string(e.Name)) % uint64(count)
			id := ID(fmt.Sprintf("%s@%s/%d", s.pool, s.region, n))
			if len(p.cells[id]) == 0 {
				p.pools[s.pool] = append(p.pools[s.pool], id)
			}
			p.cells[id] = append(p.cells[id], e)
		}
	}
	for _, ids := range p.pools {
		slices.Sort(ids)
		p.ids = append(p.ids, ids...)
	}
	slices.Sort(p.ids)
	return p
}

// Cells returns the cells of a pool, sorted by id.
func (p *Plan) Cells(pool table.Pool) []ID { return p.pools[pool] }

// Endpoints returns the endpoints of a cell.
func (p *Plan) Endpoints(id ID) []*table.Endpoint { return p.cells[id] }

// All returns every cell, sorted by id.
func (p *Plan) All() []ID { return p.ids }

// Region returns the region of a cell, or "" if the cell is unknown.
func (p *Plan) Region(id ID) string {
	endpoints := p.cells[id]
	if len(endpoints) == 0 {
		return ""
	}
	return endpoints[0].Region
}
