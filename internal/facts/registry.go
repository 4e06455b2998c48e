package facts

import (
	"maps"
	"slices"
)

// registry is what is known of the endpoints' registrations: of each endpoint
// the newest row of the store that was heard of, removals included. Rows alone
// decide, and never what a daemon makes of them: daemons at one position know
// the same, so that one may take the other's word for it.
type registry struct {
	rows map[EndpointID]Endpoint
	// position is the version of the store as of which all rows are known; a
	// row may be newer.
	position Position
	// base is the newest position of a whole list. An endpoint without a row
	// here was not registered at that position.
	base Position
	// changed is the newest version of a row, or that of the list in which a
	// row was first missing.
	changed Position
}

// merge takes in news and returns the rows that changed.
func (r *registry) merge(n News) (changed []Endpoint) {
	whole := n.Whole && n.Position >= r.position
	for _, e := range n.Endpoints {
		if e, ok := r.put(e, whole); ok {
			changed = append(changed, e)
		}
	}
	if whole {
		changed = append(changed, r.dropMissing(n.Endpoints, n.Position)...)
		r.base = max(r.base, n.Position)
	}
	r.position = max(r.position, n.Position)
	return changed
}

// put takes in a row unless a newer one is known. One that is no newer than the
// last whole list tells nothing that the list did not, unless it stands in a
// whole list itself.
func (r *registry) put(e Endpoint, listed bool) (Endpoint, bool) {
	known, ok := r.rows[e.ID]
	if ok && known.Changed >= e.Changed || !listed && e.Changed <= r.base {
		return e, false
	}
	if e.Gone && ok && e.Address == "" {
		at := e.Changed
		e = known
		e.Gone, e.Changed = true, at
	}
	r.changed = max(r.changed, e.Changed)
	r.rows[e.ID] = e
	return e, !ok || !known.same(e)
}

// dropMissing marks as gone what a whole list does not have, and returns it.
func (r *registry) dropMissing(all []Endpoint, position Position) (gone []Endpoint) {
	listed := make(map[EndpointID]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		e := r.rows[id]
		if listed[id] || e.Gone || e.Changed > position {
			continue
		}
		e.Gone, e.Changed = true, position
		r.rows[id] = e
		r.changed = max(r.changed, position)
		gone = append(gone, e)
	}
	return gone
}

// since returns the rows that changed after a position, or all that are there
// if what was removed since then is not known.
func (r *registry) since(position Position) (rows []Endpoint, whole bool) {
	whole = position < r.base || position == 0
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		e := r.rows[id]
		if whole && !e.Gone || !whole && e.Changed > position {
			rows = append(rows, e)
		}
	}
	return rows, whole
}
