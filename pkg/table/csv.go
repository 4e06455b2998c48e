package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Row kinds in the CSV form. Endpoints have the kinds engine and service.
const (
	csvVersion = "version"
	csvClass   = "class"
	csvAccount = "account"
)

const allowedCSVKind = "class, engine, service, account or version"

// csvHeader returns the column names: kind and name, followed by the fields of
// all row types in a fixed order.
func csvHeader() []string {
	header := []string{"kind", "name"}
	for _, columns := range [][]column{classColumns, endpointColumns, accountColumns} {
		for _, c := range columns {
			if !slices.Contains(header, c.name) {
				header = append(header, c.name)
			}
		}
	}
	return header
}

// WriteCSV writes a table as one sheet: a row with the version, followed by one
// row per class, endpoint and account. A list is written into one cell, with
// spaces between its items.
func WriteCSV(w io.Writer, v *Versioned) error {
	out := csv.NewWriter(w)
	header := csvHeader()
	rows := [][]string{header, versionRow(len(header), v.Version)}
	t := v.Table
	for i := range t.Classes {
		rows = append(rows, csvRow(header, csvClass, &t.Classes[i]))
	}
	for i := range t.Endpoints {
		rows = append(rows, csvRow(header, string(t.Endpoints[i].Kind), &t.Endpoints[i]))
	}
	for i := range t.Accounts {
		rows = append(rows, csvRow(header, csvAccount, &t.Accounts[i]))
	}
	return out.WriteAll(rows)
}

func versionRow(width int, v Version) []string {
	row := make([]string, width)
	row[0] = csvVersion
	row[1] = strconv.FormatUint(uint64(v), 10)
	return row
}

func csvRow(header []string, kind string, row any) []string {
	cells := make([]string, len(header))
	columns := rowColumns(row)
	for i, name := range header {
		if c, ok := findColumn(columns, name); ok {
			cells[i] = cellText(c.value(row))
		}
	}
	cells[0] = kind
	return cells
}

var (
	byteOrderMark   = []byte("\ufeff")
	semicolonHeader = []byte("kind;name")
)

// ReadCSV reads the form that WriteCSV writes, including the variants that
// spreadsheet programs produce: with a byte-order mark, with semicolons as
// separators and with empty rows. It returns all syntax and validation errors.
func ReadCSV(data []byte) (*Versioned, Faults) {
	r := &csvReader{v: &Versioned{Table: &Table{}}, known: csvHeader()}
	data = bytes.TrimPrefix(data, byteOrderMark)
	in := csv.NewReader(bytes.NewReader(data))
	in.FieldsPerRecord = -1
	if bytes.HasPrefix(data, semicolonHeader) {
		in.Comma = ';'
	}
	rows, err := in.ReadAll()
	if err != nil {
		r.fault("(table)", "", "", "a CSV sheet; "+err.Error())
		return r.v, r.faults
	}
	if r.header(rows) {
		for i, cells := range rows[1:] {
			r.row(i+2, cells)
		}
	}
	r.v.Table.normalize()
	return r.v, append(r.faults, withoutReported(r.v.Table.Check(), r.faults)...)
}

// csvReader collects the rows and faults of a sheet.
type csvReader struct {
	v *Versioned
	// known lists all valid column names.
	known []string
	// columns lists the column names of this sheet.
	columns []string
	// versionRead is set once the version row has been read.
	versionRead bool
	faults      Faults
}

func (r *csvReader) fault(row, field, value, allowed string) {
	r.faults = append(r.faults, Fault{Row: row, Field: field, Value: value, Allowed: allowed})
}

// header reads the header row. It returns false if the remaining rows can't be
// read.
func (r *csvReader) header(rows [][]string) bool {
	if len(rows) == 0 || len(rows[0]) < 2 || rows[0][0] != "kind" || rows[0][1] != "name" {
		r.fault("(header)", "", "", "a first row that begins with kind,name")
		return false
	}
	r.columns = rows[0]
	for i, name := range r.columns {
		if name != "" && !slices.Contains(r.known, name) {
			r.fault("(header)", name, name, "no such column; the columns are "+strings.Join(r.known, ", "))
		}
		if name != "" && slices.Contains(r.columns[:i], name) {
			r.fault("(header)", name, name, "one column of this name")
		}
	}
	return true
}

// row reads one row.
func (r *csvReader) row(line int, cells []string) {
	if !slices.ContainsFunc(cells, func(c string) bool { return c != "" }) {
		return
	}
	cells = append(cells, make([]string, max(0, len(r.columns)-len(cells)))...)
	t, kind, name := r.v.Table, cells[0], cells[1]
	switch kind {
	case csvVersion:
		r.version(line, cells)
	case csvClass:
		cl := Class{}
		r.cells(rowName(line, rowClass, name), &cl, cells)
		t.Classes = append(t.Classes, cl)
	case string(KindEngine), string(KindService):
		e := Endpoint{}
		r.cells(rowName(line, rowEndpoint, name), &e, cells)
		t.Endpoints = append(t.Endpoints, e)
	case csvAccount:
		a := Account{}
		r.cells(rowName(line, rowAccount, name), &a, cells)
		t.Accounts = append(t.Accounts, a)
	default:
		r.fault(rowName(line, kind, name), "kind", kind, allowedCSVKind)
	}
}

func rowName(line int, kind, name string) string {
	if name == "" {
		return fmt.Sprintf("(line %d)", line)
	}
	return kind + "/" + name
}

func (r *csvReader) version(line int, cells []string) {
	row := fmt.Sprintf("(line %d)", line)
	version, err := strconv.ParseUint(cells[1], 10, 64)
	if err != nil {
		r.fault(row, csvVersion, cells[1], "a whole number from zero")
	}
	if r.versionRead {
		r.fault(row, csvVersion, cells[1], "one version row")
	}
	for i, cell := range cells[2:] {
		r.require(cell == "", row, r.columnAt(i+2), cell, "nothing in a version row")
	}
	r.versionRead = true
	r.v.Version = Version(version)
}

func (r *csvReader) require(ok bool, row, field, value, allowed string) {
	if !ok {
		r.fault(row, field, value, allowed)
	}
}

func (r *csvReader) columnAt(i int) string {
	if i < len(r.columns) && r.columns[i] != "" {
		return r.columns[i]
	}
	return fmt.Sprintf("(column %d)", i+1)
}

// cells sets the fields of a row from its cells.
func (r *csvReader) cells(id string, row any, cells []string) {
	columns := rowColumns(row)
	for i, cell := range cells {
		name := r.columnAt(i)
		c, ok := findColumn(columns, name)
		switch {
		case !ok && name == "kind":
		case !ok:
			reported := i < len(r.columns) && r.columns[i] != "" && !slices.Contains(r.known, name)
			r.require(cell == "" || reported, id, name, cell, "nothing; rows of this kind have "+columnNames(columns))
		default:
			r.cell(id, name, c.value(row), cell)
		}
	}
}

func (r *csvReader) cell(id, name string, v reflect.Value, cell string) {
	if allowed := setCell(v, cell); allowed != "" {
		r.fault(id, name, cell, allowed)
	}
}
