package report

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Comparison is the first run against the best of the others.
type Comparison struct {
	Lines []Line `json:"lines"`
}

// Line compares one figure.
type Line struct {
	Figure string  `json:"figure"`
	First  float64 `json:"first"`
	// Best is the best of the other runs, and BestPolicy whose it is.
	Best       float64 `json:"best"`
	BestPolicy string  `json:"bestPolicy"`
	// Ratio is First over Best; zero if Best is zero.
	Ratio float64 `json:"ratio"`
}

// Compare compares the first run with the others, figure by figure. It needs
// at least two runs of the same classes.
func Compare(runs []*Run) Comparison {
	var c Comparison
	add := func(figure string, higherIsBetter bool, of func(*Run) float64) {
		c.Lines = append(c.Lines, compareFigure(runs, figure, higherIsBetter, of))
	}
	for i, class := range runs[0].Classes {
		add(string(class.Class)+" attainment", true, func(r *Run) float64 { return r.Classes[i].Attainment })
		add(string(class.Class)+" first token p99 ms", false, func(r *Run) float64 { return r.Classes[i].FirstToken.P99 })
		add(string(class.Class)+" longest wait ms", false, func(r *Run) float64 { return r.Classes[i].LongestWaitMs })
	}
	add("goodput tokens/s", true, func(r *Run) float64 { return r.Goodput })
	add("wasted tokens", false, func(r *Run) float64 { return float64(r.Wasted()) })
	add("engine requests per chat", false, func(r *Run) float64 { return r.Amplification })
	return c
}

func compareFigure(runs []*Run, figure string, higherIsBetter bool, of func(*Run) float64) Line {
	l := Line{Figure: figure, First: of(runs[0]), Best: of(runs[1]), BestPolicy: runs[1].Policy}
	for _, r := range runs[2:] {
		if v := of(r); v > l.Best == higherIsBetter && v != l.Best {
			l.Best, l.BestPolicy = v, r.Policy
		}
	}
	if l.Best != 0 {
		l.Ratio = l.First / l.Best
	}
	return l
}

// Print writes the comparison as a table.
func (c Comparison) Print(w io.Writer, first string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "figure\t%s\tbest baseline\t\tratio\t\n", first)
	for _, l := range c.Lines {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%s\t%.3f\t\n", l.Figure, l.First, l.Best, l.BestPolicy, l.Ratio)
	}
	_ = t.Flush()
}
