// Package strictjson decodes JSON documents that people write. Unlike
// encoding/json it reports every fault at once, with its path and what is
// allowed there, and it takes neither unknown nor repeated fields.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// Fault is one thing in a document that can't be decoded.
type Fault struct {
	// Path is where it stands, such as "classes[2].target.firstToken".
	Path string
	// Value is the value found, shortened.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// maxShown bounds the part of a value that a fault shows.
const maxShown = 80

// maxDepth bounds the nesting of a document.
const maxDepth = 32

// Decode decodes a document into out, which must be a pointer to a struct. It
// returns every fault; fields without one are set all the same.
func Decode(data []byte, out any) []Fault {
	d := &decoder{}
	if err := syntax(data); err != nil {
		d.fault("", nil, "a JSON document; "+err.Error())
		return d.faults
	}
	d.value("", data, reflect.ValueOf(out).Elem(), 0)
	return d.faults
}

// syntax returns the first error of syntax with its line.
func syntax(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var doc json.RawMessage
	err := dec.Decode(&doc)
	if err == nil {
		if _, more := dec.Token(); more != io.EOF {
			return fmt.Errorf("line %d: something follows the document", line(data, dec.InputOffset()))
		}
		return nil
	}
	offset := int64(len(data))
	var bad *json.SyntaxError
	if errors.As(err, &bad) {
		offset = bad.Offset
	}
	return fmt.Errorf("line %d: %w", line(data, offset), err)
}

func line(data []byte, offset int64) int {
	return bytes.Count(data[:min(int(offset), len(data))], []byte("\n")) + 1
}

type decoder struct {
	faults []Fault
}

func (d *decoder) fault(path string, raw []byte, allowed string) {
	shown := string(bytes.TrimSpace(raw))
	if len(shown) > maxShown {
		shown = strings.ToValidUTF8(shown[:maxShown], "") + "…"
	}
	d.faults = append(d.faults, Fault{Path: path, Value: shown, Allowed: allowed})
}

// value decodes one value.
func (d *decoder) value(path string, raw json.RawMessage, v reflect.Value, depth int) {
	switch {
	case depth > maxDepth:
		d.fault(path, raw, "less nesting")
	case isText(v):
		d.text(path, raw, v)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, raw, v.Elem(), depth+1)
	case v.Kind() == reflect.Struct:
		d.object(path, raw, v, depth)
	case v.Kind() == reflect.Slice:
		d.list(path, raw, v, depth)
	case isNull(raw) || json.Unmarshal(raw, v.Addr().Interface()) != nil:
		d.fault(path, raw, allowed(v.Kind()))
	}
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

// text decodes a value whose type reads itself from text.
func (d *decoder) text(path string, raw json.RawMessage, v reflect.Value) {
	var text string
	if isNull(raw) || json.Unmarshal(raw, &text) != nil {
		d.fault(path, raw, "text in quotes")
		return
	}
	u, _ := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.fault(path, raw, err.Error())
	}
}

func (d *decoder) list(path string, raw json.RawMessage, v reflect.Value, depth int) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.fault(path, raw, "a list in brackets")
		return
	}
	if items == nil {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i), depth+1)
	}
}

func (d *decoder) object(path string, raw json.RawMessage, v reflect.Value, depth int) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		d.fault(path, raw, "an object in braces")
		return
	}
	fields := fieldsOf(v)
	seen := map[string]bool{}
	for dec.More() {
		var item json.RawMessage
		token, err := dec.Token()
		name, _ := token.(string)
		if err != nil || dec.Decode(&item) != nil {
			return
		}
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.fault(at, item, "no such field; the fields are "+strings.Join(names(fields), ", "))
		case seen[name]:
			d.fault(at, item, "one field of this name")
		default:
			d.value(at, item, field, depth+1)
		}
		seen[name] = true
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf returns the fields of a struct by their JSON names.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func names(fields map[string]reflect.Value) []string {
	all := make([]string, 0, len(fields))
	for name := range fields {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

func allowed(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text in quotes"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
