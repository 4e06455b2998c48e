package cli

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

// tableCommand groups the commands about the table.
type tableCommand struct {
	Get     tableGet     `command:"get" description:"Print the table in force" long-description:"Prints the table in force with its version, as JSON or as one CSV sheet that opens in a spreadsheet. Both can be changed and given to \"table put\"."`
	Put     tablePut     `command:"put" description:"Replace the table" long-description:"Replaces the whole table by a file that \"table get\" printed and you changed. Rows that others changed since the version in the file, and that you did not, keep their changes; a row that both changed is a conflict, which shows both sides and changes nothing."`
	Edit    tableEdit    `command:"edit" description:"Change, add or delete one row" long-description:"Changes fields of one row: beechhead table edit class/counter weight=5 target.firstToken=900ms. Rows are class/NAME, endpoint/NAME and account/NAME; fields have the names that \"table get\" shows. Lists are written with spaces or as JSON: pools='assistant booking'."`
	Check   tableCheck   `command:"check" description:"Check a table file" long-description:"Prints every fault of a file (.json or .csv), and warnings on what is allowed but seldom meant. Exit code 2 if there are faults. Needs no daemon."`
	History tableHistory `command:"history" description:"List the accepted edits"`
}

type tableGet struct {
	remote
	Format string `long:"format" choice:"json" choice:"csv" default:"json" description:"Form of the table"`
}

// Execute prints the table.
func (c *tableGet) Execute([]string) error {
	var v table.Versioned
	if err := c.call(http.MethodGet, "/v1/table", nil, &v); err != nil {
		return err
	}
	if c.Format == "csv" {
		return table.WriteCSV(c.out, &v)
	}
	return c.printJSON(v)
}

// fileArgument is a table file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"Table file, .json or .csv" required:"true"`
}

// read reads a table by the file's extension.
func (f fileArgument) read() (v *table.Versioned, faults table.Faults, err error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, nil, errors.Wrap(errUsage, err.Error())
	}
	switch strings.ToLower(filepath.Ext(f.File)) {
	case ".json":
		v, faults = table.ReadJSON(data)
	case ".csv":
		v, faults = table.ReadCSV(data)
	default:
		return nil, nil, errors.Wrapf(errUsage, "%s ends neither in .json nor in .csv", f.File)
	}
	return v, faults, nil
}

type tablePut struct {
	remote
	Base table.Version `long:"version" value-name:"N" description:"Version that the file is based on, if it has none itself"`
	Args fileArgument  `positional-args:"true"`
}

// Execute replaces the table by the file.
func (c *tablePut) Execute([]string) error {
	v, faults, err := c.Args.read()
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return faults
	}
	if v.Version == 0 {
		v.Version = c.Base
	}
	return c.change(http.MethodPut, "/v1/table", v)
}

// change sends a change and prints where it is in force.
func (r *remote) change(method, path string, in any) error {
	var a tablesync.EditResult
	if err := r.call(method, path, in, &a); err != nil {
		return err
	}
	return r.print(a, func() {
		fmt.Fprintf(r.out, "version %d is in force on %s\n", a.Version, strings.Join(a.InForce, ", "))
		if len(a.Pending) > 0 {
			fmt.Fprintf(r.out, "not confirmed yet by %s; \"beechhead hosts\" shows when it is\n", strings.Join(a.Pending, ", "))
		}
	})
}

type tableEdit struct {
	remote
	Add    bool `long:"add" description:"Add the row, which must not exist"`
	Delete bool `long:"delete" description:"Delete the row"`
	// Base is zero for the newest version.
	Base table.Version `long:"base" value-name:"N" description:"Version that you looked at; the edit is a conflict if the row was changed since"`
	Args struct {
		Row    string   `positional-arg-name:"ROW" description:"such as class/counter" required:"true"`
		Fields []string `positional-arg-name:"FIELD=VALUE" description:"such as weight=5"`
	} `positional-args:"true"`
}

// Execute changes, adds or deletes one row.
func (c *tableEdit) Execute([]string) error {
	edit := tablesync.RowEdit{ID: rand.Text(), Base: c.Base, Row: c.Args.Row, Fields: map[string]string{}}
	switch {
	case c.Add && c.Delete:
		return errors.Wrap(errUsage, "--add and --delete exclude each other")
	case c.Add:
		edit.Action = table.ActionAdd
	case c.Delete:
		edit.Action = table.ActionDelete
	case len(c.Args.Fields) == 0:
		return errors.Wrap(errUsage, "there is no FIELD=VALUE")
	}
	for _, f := range c.Args.Fields {
		name, value, ok := strings.Cut(f, "=")
		if _, twice := edit.Fields[name]; !ok || twice {
			return errors.Wrapf(errUsage, "%q is not FIELD=VALUE, or the field comes twice", f)
		}
		edit.Fields[name] = value
	}
	return c.send(edit)
}

const (
	// editAttempts bounds how often an edit is sent.
	editAttempts = 3
	editPause    = 500 * time.Millisecond
)

// send sends the edit. If the answer is lost or does not tell whether the edit
// was accepted, it is sent again: by its id it takes effect at most once.
func (c *tableEdit) send(edit tablesync.RowEdit) (err error) {
	for attempt := range editAttempts {
		if attempt > 0 {
			time.Sleep(editPause)
		}
		err = c.change(http.MethodPost, "/v1/table/edits", edit)
		if _, again := errors.Into[unavailable](err); !again {
			return err
		}
	}
	return err
}

type tableCheck struct {
	output
	Args fileArgument `positional-args:"true"`
}

// checked is the JSON form of a check.
type checked struct {
	Faults   table.Faults `json:"faults"`
	Warnings table.Faults `json:"warnings"`
}

// Execute prints every fault and warning of a table file.
func (c *tableCheck) Execute([]string) error {
	v, faults, err := c.Args.read()
	if err != nil {
		return err
	}
	result := checked{Faults: faults, Warnings: v.Table.Warnings()}
	err = c.print(result, func() {
		for _, w := range result.Warnings {
			fmt.Fprintln(c.out, "warning:", table.Faults{w})
		}
		if len(faults) == 0 {
			fmt.Fprintf(c.out, "the table is valid; %d warnings\n", len(result.Warnings))
		}
	})
	if err == nil && len(faults) > 0 {
		return faults
	}
	return err
}

type tableHistory struct{ remote }

// Execute prints the accepted edits.
func (c *tableHistory) Execute([]string) error {
	var entries []tablesync.HistoryEntry
	if err := c.call(http.MethodGet, "/v1/table/history", nil, &entries); err != nil {
		return err
	}
	return c.print(entries, func() {
		g := newGrid(c.out, "VERSION", "TIME", "OPERATOR", "CHANGE")
		defer g.flush()
		for _, e := range entries {
			g.row(e.Version, e.At.UTC().Format(time.RFC3339), e.Operator, e.Summary)
		}
	})
}
