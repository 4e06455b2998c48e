package table

import (
	"reflect"
	"slices"
)

// Patch is the difference between two tables in terms of rows.
type Patch struct {
	Classes   RowPatch[Class]    `json:"classes,omitzero"`
	Endpoints RowPatch[Endpoint] `json:"endpoints,omitzero"`
	Accounts  RowPatch[Account]  `json:"accounts,omitzero"`
}

// RowPatch is the difference between two lists of rows.
type RowPatch[R any] struct {
	// Set lists the changed and the added rows, in the order of the new table.
	Set []R `json:"set,omitempty"`
	// Removed lists the names of the deleted rows.
	Removed []string `json:"removed,omitempty"`
}

func className(c *Class) string       { return string(c.Name) }
func endpointName(e *Endpoint) string { return string(e.Name) }
func accountName(a *Account) string   { return string(a.Name) }

// Diff returns the patch that turns from into to, except for the order of rows.
func Diff(from, to *Table) *Patch {
	return &Patch{
		Classes:   diffRows(from.Classes, to.Classes, className),
		Endpoints: diffRows(from.Endpoints, to.Endpoints, endpointName),
		Accounts:  diffRows(from.Accounts, to.Accounts, accountName),
	}
}

// Apply returns the table with the patch applied. Rows that the patch does not
// change are shared with t.
func (t *Table) Apply(p *Patch) *Table {
	return &Table{
		Classes:   p.Classes.apply(t.Classes, className),
		Endpoints: p.Endpoints.apply(t.Endpoints, endpointName),
		Accounts:  p.Accounts.apply(t.Accounts, accountName),
	}
}

func diffRows[R any](from, to []R, name func(*R) string) (p RowPatch[R]) {
	old := indexRows(from, name)
	for i := range to {
		j, known := old[name(&to[i])]
		delete(old, name(&to[i]))
		if !known || !reflect.DeepEqual(from[j], to[i]) {
			p.Set = append(p.Set, to[i])
		}
	}
	for removed := range old {
		p.Removed = append(p.Removed, removed)
	}
	slices.Sort(p.Removed)
	return p
}

func (p *RowPatch[R]) apply(rows []R, name func(*R) string) []R {
	out := make([]R, 0, len(rows)+len(p.Set))
	for i := range rows {
		if !slices.Contains(p.Removed, name(&rows[i])) {
			out = append(out, rows[i])
		}
	}
	at := indexRows(out, name)
	for i := range p.Set {
		if j, known := at[name(&p.Set[i])]; known {
			out[j] = p.Set[i]
			continue
		}
		out = append(out, p.Set[i])
	}
	return out
}

func indexRows[R any](rows []R, name func(*R) string) map[string]int {
	index := make(map[string]int, len(rows))
	for i := range rows {
		index[name(&rows[i])] = i
	}
	return index
}
