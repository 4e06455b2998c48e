package tablesync

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/beechhead/beechhead/pkg/table"
)

// Conflict is the error for an edit of rows that another edit has changed since
// the version that this edit is based on. It shows both sides.
type Conflict struct {
	// Base is the version that the edit is based on.
	Base table.Version `json:"base"`
	// Current is the newest version at the time of the edit.
	Current table.Version `json:"current"`
	// Rows lists the rows that both sides changed. It is empty if the base
	// version is no longer stored.
	Rows []RowConflict `json:"rows"`
}

// RowConflict is a row that both sides changed.
type RowConflict struct {
	Row    string          `json:"row"`
	Fields []FieldConflict `json:"fields"`
}

// FieldConflict is a field that at least one side changed. The values are JSON;
// the value is empty for a side that has no such row.
type FieldConflict struct {
	Field  string `json:"field"`
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Mine   string `json:"mine"`
}

// Error returns a message that lists the conflicting rows.
func (c *Conflict) Error() string {
	if len(c.Rows) == 0 {
		return fmt.Sprintf("version %d is too old to edit; version %d is in force", c.Base, c.Current)
	}
	names := make([]string, 0, len(c.Rows))
	for _, r := range c.Rows {
		names = append(names, r.Row)
	}
	return fmt.Sprintf("changed by another edit between versions %d and %d: %s", c.Base, c.Current, strings.Join(names, ", "))
}

// merge applies the changes from base to mine to theirs, row by row. Rows that
// both sides changed are conflicts.
func merge(base, theirs, mine *table.Table) (merged *table.Table, conflicts []RowConflict) {
	var classes, endpoints, accounts []RowConflict
	merged = &table.Table{}
	merged.Classes, classes = mergeRows("class/", base.Classes, theirs.Classes, mine.Classes, func(c *table.Class) string { return string(c.Name) })
	merged.Endpoints, endpoints = mergeRows("endpoint/", base.Endpoints, theirs.Endpoints, mine.Endpoints, func(e *table.Endpoint) string { return string(e.Name) })
	merged.Accounts, accounts = mergeRows("account/", base.Accounts, theirs.Accounts, mine.Accounts, func(a *table.Account) string { return string(a.Name) })
	return merged, slices.Concat(classes, endpoints, accounts)
}

// mergeRows merges the rows of one kind.
func mergeRows[R any](kind string, base, theirs, mine []R, name func(*R) string) (merged []R, conflicts []RowConflict) {
	baseRows, theirRows, myRows := encodeRows(base, name), encodeRows(theirs, name), encodeRows(mine, name)
	changedByMe := func(id string) bool { return baseRows[id] != myRows[id] }
	for i := range theirs {
		if id := name(&theirs[i]); !changedByMe(id) {
			merged = append(merged, theirs[i])
			continue
		}
		if j := slices.IndexFunc(mine, func(r R) bool { return name(&r) == name(&theirs[i]) }); j >= 0 {
			merged = append(merged, mine[j])
		}
	}
	for i := range mine {
		if id := name(&mine[i]); changedByMe(id) && theirRows[id] == "" {
			merged = append(merged, mine[i])
		}
	}
	for _, id := range sortedKeys(baseRows, theirRows, myRows) {
		if changedByMe(id) && baseRows[id] != theirRows[id] {
			conflicts = append(conflicts, RowConflict{Row: kind + id, Fields: compareFields(baseRows[id], theirRows[id], myRows[id])})
		}
	}
	return merged, conflicts
}

// encodeRows returns the JSON form of each row, by name.
func encodeRows[R any](rows []R, name func(*R) string) map[string]string {
	encoded := make(map[string]string, len(rows))
	for i := range rows {
		encoded[name(&rows[i])] = string(mustJSON(rows[i]))
	}
	return encoded
}

func sortedKeys(maps ...map[string]string) []string {
	var keys []string
	for _, m := range maps {
		for k := range m {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// compareFields returns the fields in which the three forms of a row differ.
func compareFields(base, theirs, mine string) []FieldConflict {
	baseFields, theirFields, myFields := flatten(base), flatten(theirs), flatten(mine)
	var fields []FieldConflict
	for _, f := range sortedKeys(baseFields, theirFields, myFields) {
		if baseFields[f] != theirFields[f] || baseFields[f] != myFields[f] {
			fields = append(fields, FieldConflict{Field: f, Base: baseFields[f], Theirs: theirFields[f], Mine: myFields[f]})
		}
	}
	return fields
}

// flatten maps the dotted names of a JSON object's leaf fields to their JSON
// values.
func flatten(object string) map[string]string {
	fields := map[string]string{}
	if object != "" {
		flattenInto(fields, "", json.RawMessage(object))
	}
	return fields
}

func flattenInto(fields map[string]string, name string, value json.RawMessage) {
	var nested map[string]json.RawMessage
	if json.Unmarshal(value, &nested) != nil || nested == nil {
		fields[name] = string(value)
		return
	}
	for key, v := range nested {
		flattenInto(fields, strings.TrimPrefix(name+"."+key, "."), v)
	}
}
