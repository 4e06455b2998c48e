package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Action is the operation that an edit performs on its row.
type Action string

// Actions of an edit. The zero value, ActionSet, changes fields of an existing
// row.
const (
	ActionSet    Action = ""
	ActionAdd    Action = "add"
	ActionDelete Action = "delete"
)

const allowedRow = "class/NAME, endpoint/NAME or account/NAME"

// Change returns a copy of the table with one row changed, added or deleted.
// The row is identified by kind and name, such as "class/counter", and the
// fields by their JSON names, dotted for nested fields. Values are JSON or text
// as in a CSV cell. The error is of type Faults and lists all faults.
func (t *Table) Change(action Action, row string, fields map[string]string) (changed *Table, err error) {
	c := t.Clone()
	var faults Faults
	switch action {
	case ActionSet:
		faults = c.set(row, fields)
	case ActionAdd:
		faults = c.add(row, fields)
	case ActionDelete:
		faults = c.remove(row, fields)
	default:
		faults = Faults{{Row: row, Field: "action", Value: string(action), Allowed: "add, delete or nothing"}}
	}
	faults = append(faults, withoutReported(c.Check(), faults)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// Set returns a copy of the table with fields of one row changed.
func (t *Table) Set(row string, fields map[string]string) (changed *Table, err error) {
	return t.Change(ActionSet, row, fields)
}

func (t *Table) set(row string, fields map[string]string) Faults {
	target := t.row(row)
	if target == nil {
		return Faults{{Row: row, Field: "name", Value: row, Allowed: allowedRow + " of a row that exists"}}
	}
	return setFields(row, target, fields)
}

func (t *Table) add(row string, fields map[string]string) Faults {
	if t.row(row) != nil {
		return Faults{{Row: row, Field: "name", Value: row, Allowed: "a row that doesn't exist yet"}}
	}
	kind, name, _ := strings.Cut(row, "/")
	switch kind {
	case rowClass:
		t.Classes = append(t.Classes, Class{Name: ClassName(name)})
	case rowEndpoint:
		t.Endpoints = append(t.Endpoints, Endpoint{Name: EndpointName(name)})
	case rowAccount:
		t.Accounts = append(t.Accounts, Account{Name: AccountName(name)})
	default:
		return Faults{{Row: row, Field: "name", Value: row, Allowed: allowedRow}}
	}
	t.normalize()
	return setFields(row, t.row(row), fields)
}

func (t *Table) remove(row string, fields map[string]string) Faults {
	if t.row(row) == nil {
		return Faults{{Row: row, Field: "name", Value: row, Allowed: allowedRow + " of a row that exists"}}
	}
	if len(fields) > 0 {
		return Faults{{Row: row, Field: "action", Value: string(ActionDelete), Allowed: "no fields with it"}}
	}
	kind, name, _ := strings.Cut(row, "/")
	switch kind {
	case rowClass:
		t.Classes = slices.DeleteFunc(t.Classes, func(c Class) bool { return c.Name == ClassName(name) })
	case rowEndpoint:
		t.Endpoints = slices.DeleteFunc(t.Endpoints, func(e Endpoint) bool { return e.Name == EndpointName(name) })
	case rowAccount:
		t.Accounts = slices.DeleteFunc(t.Accounts, func(a Account) bool { return a.Name == AccountName(name) })
	}
	return nil
}

// row returns a pointer to the row with the given id, or nil.
func (t *Table) row(id string) any {
	kind, name, _ := strings.Cut(id, "/")
	switch kind {
	case rowClass:
		if cl, ok := t.Class(ClassName(name)); ok {
			return cl
		}
	case rowEndpoint:
		if e, ok := t.Endpoint(EndpointName(name)); ok {
			return e
		}
	case rowAccount:
		if a, ok := t.Account(AccountName(name)); ok {
			return a
		}
	}
	return nil
}

func setFields(row string, target any, fields map[string]string) (faults Faults) {
	columns := rowColumns(target)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		c, ok := findColumn(columns, name)
		var allowed string
		switch {
		case !ok:
			allowed = "no such field; the fields are " + columnNames(columns)
		case name == "name":
			allowed = "a row keeps its name; add another and delete this one"
		default:
			allowed = setValue(c.value(target), value)
		}
		if allowed != "" {
			faults = append(faults, Fault{Row: row, Field: name, Value: value, Allowed: allowed})
		}
	}
	return faults
}

// setValue sets a field from a quoted JSON string, a JSON list or the text of a
// CSV cell.
func setValue(v reflect.Value, value string) (allowed string) {
	if strings.HasPrefix(value, `"`) {
		var text string
		if json.Unmarshal([]byte(value), &text) == nil {
			value = text
		}
	}
	if v.Kind() == reflect.Slice && strings.HasPrefix(value, "[") {
		var items []string
		if err := json.Unmarshal([]byte(value), &items); err != nil {
			return fmt.Sprintf("names with %q between them, or a JSON list of texts", listSeparator)
		}
		setList(v, items)
		return ""
	}
	return setCell(v, value)
}
