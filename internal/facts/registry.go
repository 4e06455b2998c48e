package facts

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beechhead/beechhead/pkg/table"
)

// registry holds the known registrations: for each endpoint the newest row of
// the store that was received, including removals. It depends on rows alone,
// never on what a daemon derives from them: daemons at the same position have
// the same rows, so that one can accept the other's confirmation.
type registry struct {
	rows map[EndpointID]Endpoint
	// log holds the rows by position, so that those after a position are found
	// without looking at the others. An entry counts while the row has its
	// position. It is sorted unless unsorted is set.
	log      []logEntry
	unsorted bool
	// texts holds the names of pools, zones and versions, so that rows share them.
	texts map[string]string
	// position is the position as of which all rows are known; a row may be
	// newer.
	position Position
	// base is the newest position of a complete list. An endpoint without a row
	// here was not registered at that position.
	base Position
	// changed is the newest position of a row, or of the list in which a row was
	// first missing.
	changed Position
}

type logEntry struct {
	position Position
	id       EndpointID
}

// minLogEntries is the length of the log up to which outdated entries are kept.
const minLogEntries = 64

// merge applies an update and returns the rows that changed.
func (r *registry) merge(n EndpointUpdate) (changed []Endpoint) {
	whole := n.Whole && n.Position >= r.position
	for _, e := range n.Endpoints {
		if e, ok := r.put(e, whole); ok {
			changed = append(changed, e)
		}
	}
	if whole {
		changed = append(changed, r.markMissingGone(n.Endpoints, n.Position)...)
		r.base = max(r.base, n.Position)
	}
	r.position = max(r.position, n.Position)
	return changed
}

// put stores a row unless a newer one is known. A row that is no newer than
// the last complete list adds nothing to it, unless the row is part of a
// complete list itself.
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
	r.store(e)
	return e, !ok || !known.sameRegistration(e)
}

// markMissingGone marks the endpoints that a complete list lacks as gone, and
// returns them.
func (r *registry) markMissingGone(all []Endpoint, position Position) (gone []Endpoint) {
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
		r.store(e)
		gone = append(gone, e)
	}
	return gone
}

// since returns the rows that changed after a position, or all existing ones
// if the removals since then are not known.
func (r *registry) since(position Position) (rows []Endpoint, whole bool) {
	whole = position < r.base || position == 0
	entries := r.sortedLog()
	if whole {
		rows = make([]Endpoint, 0, len(r.rows))
	} else {
		first, _ := slices.BinarySearchFunc(entries, position+1, func(l logEntry, p Position) int { return cmp.Compare(l.position, p) })
		entries = entries[first:]
	}
	for _, l := range entries {
		if e := r.rows[l.id]; e.Changed == l.position && (!whole || !e.Gone) {
			rows = append(rows, e)
		}
	}
	return rows, whole
}

// store sets a row.
func (r *registry) store(e Endpoint) {
	e.Pool, e.Zone = table.Pool(r.shared(string(e.Pool))), r.shared(e.Zone)
	e.Version = table.SoftwareVersion(r.shared(string(e.Version)))
	r.changed = max(r.changed, e.Changed)
	r.rows[e.ID] = e
	r.unsorted = r.unsorted || len(r.log) > 0 && r.log[len(r.log)-1].position > e.Changed
	r.log = append(r.log, logEntry{e.Changed, e.ID})
	if len(r.log) > 2*len(r.rows)+minLogEntries {
		r.log = slices.DeleteFunc(r.log, func(l logEntry) bool { return r.rows[l.id].Changed != l.position })
	}
}

// shared returns the text in the memory that other rows use for it.
func (r *registry) shared(text string) string {
	if known, ok := r.texts[text]; ok {
		return known
	}
	if r.texts == nil {
		r.texts = map[string]string{}
	}
	r.texts[text] = text
	return text
}

// sortedLog returns the log sorted by position.
func (r *registry) sortedLog() []logEntry {
	if r.unsorted {
		slices.SortFunc(r.log, func(a, b logEntry) int {
			return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.id, b.id))
		})
		r.unsorted = false
	}
	return r.log
}
