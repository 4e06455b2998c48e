// Package cell implements the coordinator's side of the reservation protocol.
// It divides the endpoints into cells, runs the scheduler of each cell that this
// daemon coordinates, and answers the entry daemons (the daemons that receive
// the callers' requests) that reserve slots on its endpoints.
package cell

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/endpointname"
	"github.com/beechhead/beechhead/pkg/table"
)

// ID identifies a cell, for example "model@region/0".
type ID string

// DefaultSize is the number of endpoints per cell if the settings do not
// specify one.
const DefaultSize = 32

// Member is an endpoint of a cell. It must not be changed once it is in a plan.
type Member struct {
	table.Endpoint
	// Draining endpoints get no new grants.
	Draining bool
	// hash is the hash of the ID, so that an endpoint that starts again stays in its
	// cell.
	hash uint64
}

// NewMember returns an endpoint as a member of a cell.
func NewMember(e table.Endpoint, draining bool) *Member {
	return &Member{Endpoint: e, Draining: draining, hash: idHash(e.Name)}
}

// Change adds an endpoint to a plan, replaces it or removes it.
type Change struct {
	*Member
	Removed bool
}

// Plan assigns endpoints to cells. It depends only on the endpoints and the cell
// size, so all daemons that know the same endpoints compute the same plan. A plan
// is immutable; With returns a changed one that shares all cells that are equal.
type Plan struct {
	size   int
	groups []group
	layout *layout
}

// scope holds the properties that the endpoints of a group share.
type scope struct {
	pool   table.Pool
	region string
}

// group is the cells of one scope. Its slices must not be changed.
type group struct {
	scope
	// total is the number of members in all cells.
	total int
	// cells may include empty ones.
	cells []*members
}

// members are the endpoints of a cell, sorted by name.
type members []*Member

// layout lists the cells that are not empty. It is shared by all plans with the
// same cells.
type layout struct {
	pools map[table.Pool][]ID
	// ids is sorted.
	ids   []ID
	cells map[ID]position
}

// position is where a plan holds a cell.
type position struct{ group, cell int }

// NewPlan divides the endpoints of each pool and region into cells of about size
// endpoints.
func NewPlan(t *table.Table, size int) *Plan {
	changes := make([]Change, 0, len(t.Endpoints))
	for i := range t.Endpoints {
		changes = append(changes, Change{Member: NewMember(t.Endpoints[i], false)})
	}
	return EmptyPlan(size).With(changes)
}

// EmptyPlan returns a plan without endpoints.
func EmptyPlan(size int) *Plan {
	return &Plan{size: size, layout: &layout{}}
}

// With returns the plan after some changes, at most one of each endpoint of a pool
// and region. It takes time for the changed cells alone unless the number of cells
// of a pool changes. Then a share of about one in that number of the pool's
// endpoints moves to another cell. It sorts the changes.
func (p *Plan) With(changes []Change) *Plan {
	if len(changes) == 0 {
		return p
	}
	next := &Plan{size: p.size, groups: slices.Clone(p.groups), layout: p.layout}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Region, b.Region))
	})
	changed := false
	for len(changes) > 0 {
		s := changes[0].scope()
		n := slices.IndexFunc(changes, func(c Change) bool { return c.scope() != s })
		if n < 0 {
			n = len(changes)
		}
		changed = next.apply(s, changes[:n]) || changed
		changes = changes[n:]
	}
	if changed {
		next.layout = next.newLayout()
	}
	return next
}

func (c *Change) scope() scope { return scope{c.Pool, c.Region} }

// apply applies the changes of one scope. It reports whether the layout changes.
func (p *Plan) apply(s scope, changes []Change) bool {
	i := slices.IndexFunc(p.groups, func(g group) bool { return g.scope == s })
	if i < 0 {
		i = len(p.groups)
		p.groups = append(p.groups, group{scope: s})
	}
	before := p.groups[i]
	p.groups[i] = before.with(changes, p.size)
	return !sameCells(before, p.groups[i])
}

// with returns the group after changes of its members.
func (g group) with(changes []Change, size int) group {
	total := g.total
	for i := range changes {
		c := &changes[i]
		known := g.member(c.Name) != nil
		switch {
		case known && c.Removed:
			total--
		case !known && !c.Removed:
			total++
		}
	}
	count := (total + size - 1) / size
	next := group{scope: g.scope, total: total, cells: slices.Clone(g.cells)}
	if count == len(g.cells) {
		next.replace(changes)
	} else {
		next.redistribute(changes, count)
	}
	return next
}

// redistribute applies changes and divides the members among a number of cells.
func (g *group) redistribute(changes []Change, count int) {
	changed := make(map[table.EndpointName]bool, len(changes))
	moved := make([]members, count)
	for i := range changes {
		c := &changes[i]
		changed[c.Name] = true
		if !c.Removed {
			n := jumpHash(c.hash, count)
			moved[n] = append(moved[n], c.Member)
		}
	}
	before := g.cells
	g.cells = make([]*members, count)
	for n, cell := range before {
		own := make(members, 0, len(*cell))
		for _, m := range *cell {
			to := jumpHash(m.hash, count)
			switch {
			case changed[m.Name]:
			case to == n:
				own = append(own, m)
			default:
				moved[to] = append(moved[to], m)
			}
		}
		if n < count {
			g.cells[n] = &own
		}
	}
	for n, ms := range moved {
		g.cells[n] = g.cells[n].merge(ms)
	}
}

// merge returns the members with others added.
func (ms *members) merge(others members) *members {
	if ms == nil {
		ms = &members{}
	}
	if len(others) == 0 {
		return ms
	}
	all := append(*ms, others...)
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return &all
}

// replace applies changes to the cells. A cell that is shared with another plan is
// copied first.
func (g *group) replace(changes []Change) {
	copied := map[int]bool{}
	for i := range changes {
		c := &changes[i]
		n := g.cellOf(c.Name)
		if !copied[n] {
			copied[n] = true
			own := append(make(members, 0, len(*g.cells[n])+1), *g.cells[n]...)
			g.cells[n] = &own
		}
		g.cells[n].apply(c)
	}
}

func (ms *members) apply(c *Change) {
	i, known := ms.search(c.Name)
	switch {
	case known && c.Removed:
		*ms = slices.Delete(*ms, i, i+1)
	case known:
		(*ms)[i] = c.Member
	case !c.Removed:
		*ms = slices.Insert(*ms, i, c.Member)
	}
}

func idHash(name table.EndpointName) uint64 { return xxhash.Sum64String(endpointname.ID(name)) }

func (ms *members) search(name table.EndpointName) (int, bool) {
	return slices.BinarySearchFunc(*ms, name, func(m *Member, name table.EndpointName) int { return cmp.Compare(m.Name, name) })
}

func (g *group) cellOf(name table.EndpointName) int {
	return jumpHash(idHash(name), len(g.cells))
}

// member returns a member by name, or nil.
func (g *group) member(name table.EndpointName) *Member {
	if len(g.cells) == 0 {
		return nil
	}
	cell := g.cells[g.cellOf(name)]
	if i, ok := cell.search(name); ok {
		return (*cell)[i]
	}
	return nil
}

// sameCells reports whether the same cells of two groups are not empty.
func sameCells(a, b group) bool {
	return slices.EqualFunc(a.cells, b.cells, func(x, y *members) bool { return len(*x) == 0 == (len(*y) == 0) })
}

func (p *Plan) newLayout() *layout {
	l := &layout{pools: map[table.Pool][]ID{}, cells: map[ID]position{}}
	for i, g := range p.groups {
		prefix := string(g.pool) + "@" + g.region + "/"
		for n, cell := range g.cells {
			if len(*cell) == 0 {
				continue
			}
			id := ID(prefix + strconv.Itoa(n))
			l.cells[id] = position{i, n}
			l.pools[g.pool] = append(l.pools[g.pool], id)
		}
	}
	for _, ids := range l.pools {
		slices.Sort(ids)
	}
	l.ids = slices.Sorted(maps.Keys(l.cells))
	return l
}

// Cells returns the cells of a pool, sorted by id.
func (p *Plan) Cells(pool table.Pool) []ID { return p.layout.pools[pool] }

// All returns every cell, sorted by id.
func (p *Plan) All() []ID { return p.layout.ids }

// Members returns the endpoints of a cell, sorted by name. The caller must not
// change them.
func (p *Plan) Members(id ID) []*Member {
	at, ok := p.layout.cells[id]
	if !ok {
		return nil
	}
	return *p.groups[at.group].cells[at.cell]
}

// CellsWith returns those of some cells that have an endpoint of a software version
// which takes new requests.
func (p *Plan) CellsWith(cells []ID, version table.SoftwareVersion) (matching []ID) {
	for _, id := range cells {
		if slices.ContainsFunc(p.Members(id), func(m *Member) bool { return !m.Draining && m.SoftwareVersion == version }) {
			matching = append(matching, id)
		}
	}
	return matching
}

// Region returns the region of a cell, or "" if the cell is unknown.
func (p *Plan) Region(id ID) string {
	at, ok := p.layout.cells[id]
	if !ok {
		return ""
	}
	return p.groups[at.group].region
}

// Endpoint returns an endpoint of the pool and region of a cell, or nil. The
// endpoint may have moved to another cell of these since.
func (p *Plan) Endpoint(id ID, name table.EndpointName) *table.Endpoint {
	at, ok := p.layout.cells[id]
	if !ok {
		return nil
	}
	if m := p.groups[at.group].member(name); m != nil {
		return &m.Endpoint
	}
	return nil
}

// SameCells reports whether two plans have the same cells, whatever endpoints
// these have.
func (p *Plan) SameCells(other *Plan) bool { return p.layout == other.layout }

// sameMembers reports whether a cell has the same members in two plans of which
// one was derived from the other.
func (p *Plan) sameMembers(other *Plan, id ID) bool {
	a, b := p.Members(id), other.Members(id)
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
