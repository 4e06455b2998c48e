package table

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// listSeparator separates the items of a list within one cell. Names can't
// contain it.
const listSeparator = " "

// column is one leaf field of a row's struct.
type column struct {
	// name is the JSON name, dotted for nested fields.
	name  string
	index []int
}

// columnsOf returns the leaf fields of a row's type in the order of their
// declaration.
func columnsOf(t reflect.Type, prefix string, index []int) []column {
	var columns []column
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("json")
		at := append(slices.Clone(index), i)
		if f.Type.Kind() == reflect.Struct {
			columns = append(columns, columnsOf(f.Type, name+".", at)...)
			continue
		}
		columns = append(columns, column{name: name, index: at})
	}
	return columns
}

var (
	classColumns    = columnsOf(reflect.TypeFor[Class](), "", nil)
	endpointColumns = columnsOf(reflect.TypeFor[Endpoint](), "", nil)
	accountColumns  = columnsOf(reflect.TypeFor[Account](), "", nil)
)

// rowColumns returns the columns of the row that row points to.
func rowColumns(row any) []column {
	switch row.(type) {
	case *Class:
		return classColumns
	case *Endpoint:
		return endpointColumns
	}
	return accountColumns
}

func findColumn(columns []column, name string) (column, bool) {
	i := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
	if i < 0 {
		return column{}, false
	}
	return columns[i], true
}

func columnNames(columns []column) string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}

func (c column) value(row any) reflect.Value {
	return reflect.ValueOf(row).Elem().FieldByIndex(c.index)
}

// cellText formats a field as the text of a cell.
func cellText(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		items := make([]string, 0, v.Len())
		for i := range v.Len() {
			items = append(items, v.Index(i).String())
		}
		return strings.Join(items, listSeparator)
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err == nil {
			return string(text)
		}
	}
	if v.Kind() == reflect.String {
		return v.String()
	}
	return fmt.Sprint(v.Interface())
}

// setCell parses the text of a cell into a field; an empty text sets the zero
// value. If the text is invalid, it returns a description of the accepted
// values.
func setCell(v reflect.Value, text string) (allowed string) {
	switch {
	case v.Kind() == reflect.Slice:
		setList(v, strings.Fields(text))
		return ""
	case text == "":
		v.SetZero()
		return ""
	case v.Kind() == reflect.String:
		v.SetString(text)
		return ""
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(text)); err != nil {
			return err.Error()
		}
		return ""
	}
	if text == "null" || json.Unmarshal([]byte(text), v.Addr().Interface()) != nil {
		return acceptedValues(v.Kind())
	}
	return ""
}

func setList(v reflect.Value, items []string) {
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		v.Index(i).SetString(item)
	}
}

func acceptedValues(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
