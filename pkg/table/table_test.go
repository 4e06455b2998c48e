package table_test

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/beechhead/beechhead/pkg/table"
)

// readCase is a document with its expected faults and warnings.
type readCase struct {
	Name string `json:"name"`
	// JSON or CSV is the document, as a list of lines.
	JSON     []string `json:"json"`
	CSV      []string `json:"csv"`
	Faults   []string `json:"faults"`
	Warnings []string `json:"warnings"`
}

func TestReadReportsAllFaults(t *testing.T) {
	for _, c := range load[readCase](t, "testdata/read.json") {
		t.Run(c.Name, func(t *testing.T) {
			var v *table.Versioned
			var faults table.Faults
			if c.CSV != nil {
				v, faults = table.ReadCSV([]byte(strings.Join(c.CSV, "\n")))
			} else {
				v, faults = table.ReadJSON([]byte(strings.Join(c.JSON, "\n")))
			}
			compare(t, "faults", faults.Error(), c.Faults)
			compare(t, "warnings", v.Table.Warnings().Error(), c.Warnings)
		})
	}
}

// changeCase is an edit of the table in offices.csv.
type changeCase struct {
	Name   string            `json:"name"`
	Action table.Action      `json:"action"`
	Row    string            `json:"row"`
	Fields map[string]string `json:"fields"`
	Faults []string          `json:"faults"`
	// Has is a part of the CSV form of the changed table; Lacks must not occur
	// in it.
	Has   string `json:"has"`
	Lacks string `json:"lacks"`
}

func TestChange(t *testing.T) {
	offices := readOffices(t)
	before := csvText(t, offices)
	for _, c := range load[changeCase](t, "testdata/change.json") {
		t.Run(c.Name, func(t *testing.T) {
			changed, err := offices.Table.Change(c.Action, c.Row, c.Fields)
			if csvText(t, offices) != before {
				t.Fatal("the table itself was changed")
			}
			if err != nil {
				compare(t, "faults", err.Error(), c.Faults)
				return
			}
			compare(t, "faults", "", c.Faults)
			after := csvText(t, &table.Versioned{Table: changed})
			if !strings.Contains(after, c.Has) {
				t.Errorf("%q is not in\n%s", c.Has, after)
			}
			if c.Lacks != "" && strings.Contains(after, c.Lacks) {
				t.Errorf("%q is in\n%s", c.Lacks, after)
			}
		})
	}
}

// A spreadsheet program may export the sheet with a byte-order mark,
// semicolons, carriage returns and empty rows at the end. Reading it must give
// the same table.
func TestReadSpreadsheetExport(t *testing.T) {
	want := readOffices(t)
	text := strings.ReplaceAll(csvText(t, want), ",", ";")
	text = "\ufeff" + strings.ReplaceAll(text, "\n", "\r\n") + ";;;\r\n"
	got, faults := table.ReadCSV([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if !reflect.DeepEqual(got, want) {
		t.Error("the table differs")
	}
}

func TestIndexMatchesLinearSearch(t *testing.T) {
	plain, indexed := readOffices(t).Table, readOffices(t).Table
	indexed.BuildIndex()
	for _, name := range []string{"counter", "booking-0", "studio", "none", ""} {
		c1, ok1 := plain.Class(table.ClassName(name))
		c2, ok2 := indexed.Class(table.ClassName(name))
		e1, ok3 := plain.Endpoint(table.EndpointName(name))
		e2, ok4 := indexed.Endpoint(table.EndpointName(name))
		a1, ok5 := plain.Account(table.AccountName(name))
		a2, ok6 := indexed.Account(table.AccountName(name))
		if ok1 != ok2 || ok3 != ok4 || ok5 != ok6 {
			t.Errorf("%q is found either only with or only without the index", name)
		}
		if !reflect.DeepEqual(c1, c2) || !reflect.DeepEqual(e1, e2) || !reflect.DeepEqual(a1, a2) {
			t.Errorf("%q differs with and without the index", name)
		}
	}
}

// One daemon stores a table whose empty lists are null, another stores an edit
// of it whose empty lists are []. The unchanged rows must be equal; otherwise
// an edit based on the first version conflicts with the second.
func TestAbsentAndEmptyListsAreEqual(t *testing.T) {
	var absent, empty table.Table
	if err := json.Unmarshal([]byte(`{"endpoints":[{"name":"e"}],"accounts":[{"name":"a"}]}`), &absent); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(`{"classes":[],"endpoints":[{"name":"e","adapters":[]}],"accounts":[{"name":"a","keyHashes":[],"classes":null}]}`), &empty); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(absent, empty) {
		t.Errorf("%+v is not %+v", absent, empty)
	}
}

func TestNullTableIsRejected(t *testing.T) {
	var tab table.Table
	if err := json.Unmarshal([]byte("null"), &tab); err == nil {
		t.Error("null was read as a table")
	}
}

func load[T any](t *testing.T, file string) (cases []T) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

func compare(t *testing.T, what, got string, want []string) {
	t.Helper()
	if got != strings.Join(want, "\n") {
		t.Errorf("%s:\n%s\nwant:\n%s", what, got, strings.Join(want, "\n"))
	}
}

func readOffices(t *testing.T) *table.Versioned {
	t.Helper()
	data, err := os.ReadFile("testdata/offices.csv")
	if err != nil {
		t.Fatal(err)
	}
	v, faults := table.ReadCSV(data)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return v
}

func csvText(t *testing.T, v *table.Versioned) string {
	t.Helper()
	var b bytes.Buffer
	if err := table.WriteCSV(&b, v); err != nil {
		t.Fatal(err)
	}
	return b.String()
}
