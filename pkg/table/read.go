package table

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/strictjson"
)

// ReadJSON reads a table with its version, or a bare table, whose version is
// then zero. It returns all syntax and validation errors.
func ReadJSON(data []byte) (*Versioned, Faults) {
	v := &Versioned{Table: &Table{}}
	var found []strictjson.Fault
	if isBare(data) {
		found = strictjson.Decode(data, v.Table)
	} else {
		found = strictjson.Decode(data, v)
	}
	if v.Table == nil {
		v.Table = &Table{}
	}
	v.Table.normalize()
	faults := make(Faults, 0, len(found))
	for _, f := range found {
		faults = append(faults, v.Table.locate(f))
	}
	return v, append(faults, withoutReported(v.Table.Check(), faults)...)
}

// isBare reports whether a document is a table without a version.
func isBare(data []byte) bool {
	var doc map[string]json.RawMessage
	if json.Unmarshal(data, &doc) != nil {
		return false
	}
	_, versioned := doc["table"]
	return !versioned
}

var rowPath = regexp.MustCompile(`^(?:table\.)?(classes|endpoints|accounts)\[(\d+)\]\.?(.*)$`)

// locate converts a decoding fault to a Fault that names the row and field.
func (t *Table) locate(f strictjson.Fault) Fault {
	m := rowPath.FindStringSubmatch(f.Path)
	if m == nil {
		return Fault{Row: "(table)", Field: f.Path, Value: f.Value, Allowed: f.Allowed}
	}
	i, err := strconv.Atoi(m[2])
	if err != nil {
		i = -1
	}
	return Fault{Row: t.rowAt(m[1], i), Field: m[3], Value: f.Value, Allowed: f.Allowed}
}

// rowAt returns the id of a row, or its list and position if it has no name.
func (t *Table) rowAt(list string, i int) string {
	name := ""
	switch list {
	case "classes":
		if i < len(t.Classes) {
			name = rowID(rowClass, t.Classes[i].Name)
		}
	case "endpoints":
		if i < len(t.Endpoints) {
			name = rowID(rowEndpoint, t.Endpoints[i].Name)
		}
	case "accounts":
		if i < len(t.Accounts) {
			name = rowID(rowAccount, t.Accounts[i].Name)
		}
	}
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return name
}

// rowID returns the id of a row, or an empty string if the name is empty.
func rowID[Name ~string](kind string, name Name) string {
	if name == "" {
		return ""
	}
	return kind + "/" + string(name)
}

// withoutReported removes the faults whose row and field have a fault in
// reported.
func withoutReported(faults, reported Faults) Faults {
	return slices.DeleteFunc(faults, func(f Fault) bool {
		return slices.ContainsFunc(reported, func(o Fault) bool { return o.Row == f.Row && o.Field == f.Field })
	})
}

// UnmarshalJSON decodes a table that a program has written and, unlike
// ReadJSON, ignores unknown fields. It normalizes the table, so that rows with
// the same meaning are equal and an edit of one does not conflict with the
// other.
func (t *Table) UnmarshalJSON(data []byte) error {
	// An object that was damaged in the store must not be read as a table
	// without rows.
	if string(data) == "null" {
		return errors.New("null is no table")
	}
	// plain has no methods, so decoding into it does not call this method
	// again.
	type plain Table
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	*t = Table(p)
	t.normalize()
	return nil
}

// normalize replaces absent lists with empty ones, so that equal tables have
// the same representation.
func (t *Table) normalize() {
	t.Classes = orEmpty(t.Classes)
	t.Endpoints = orEmpty(t.Endpoints)
	t.Accounts = orEmpty(t.Accounts)
	for i := range t.Classes {
		t.Classes[i].Pools = orEmpty(t.Classes[i].Pools)
	}
	for i := range t.Endpoints {
		t.Endpoints[i].Adapters = orEmpty(t.Endpoints[i].Adapters)
	}
	for i := range t.Accounts {
		t.Accounts[i].KeyHashes = orEmpty(t.Accounts[i].KeyHashes)
		t.Accounts[i].Classes = orEmpty(t.Accounts[i].Classes)
	}
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
