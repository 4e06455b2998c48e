package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// output is how a command prints.
type output struct {
	out  io.Writer
	JSON bool `long:"json" description:"Print JSON, for programs"`
}

func (o *output) setOutput(w io.Writer) { o.out = w }

// print prints v as JSON on request, and else as the people's form.
func (o *output) print(v any, people func()) error {
	if !o.JSON {
		people()
		return nil
	}
	return o.printJSON(v)
}

func (o *output) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// grid prints rows in aligned columns.
type grid struct {
	w *tabwriter.Writer
}

const columnGap = 2

func newGrid(out io.Writer, header ...string) *grid {
	g := &grid{w: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	fmt.Fprintln(g.w, strings.Join(header, "\t"))
	return g
}

func (g *grid) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		text := fmt.Sprint(c)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(g.w, strings.Join(texts, "\t"))
}

func (g *grid) flush() { _ = g.w.Flush() }
