package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the points and the fits as a table.
func (a *Axis) Print(w io.Writer) {
	if len(a.Series) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\t", a.Name)
	for _, p := range a.Series[0].Points {
		fmt.Fprintf(t, "%g\t", p.Size)
	}
	fmt.Fprintf(t, "base\tslope\textrapolated to %g\t\n", a.Full)
	for _, s := range a.Series {
		fmt.Fprintf(t, "%s\t", s.Name)
		for _, p := range s.Points {
			fmt.Fprintf(t, "%.4g\t", p.Value)
		}
		fmt.Fprintf(t, "%.4g\t%.4g\t%.4g\t\n", s.Fit.Base, s.Fit.Slope, s.Fit.At(a.Full))
	}
	_ = t.Flush()
}

// Measures of a plot, in pixels.
const (
	plotWidth  = 300
	plotHeight = 180
	plotMargin = 30
)

// SVG writes one small plot a series, with the measured points and the fit.
func (a *Axis) SVG(w io.Writer) {
	fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n",
		plotWidth, plotHeight*len(a.Series))
	for i, s := range a.Series {
		fmt.Fprintf(w, `<g transform="translate(0,%d)">`+"\n", i*plotHeight)
		s.plot(w, a.Name)
		fmt.Fprintln(w, "</g>")
	}
	fmt.Fprintln(w, "</svg>")
}

func (s *Series) plot(w io.Writer, axis string) {
	maxSize, maxValue := 0.0, 0.0
	for _, p := range s.Points {
		maxSize = max(maxSize, p.Size)
		maxValue = max(maxValue, p.Value, s.Fit.At(p.Size))
	}
	if maxSize == 0 || maxValue == 0 {
		maxSize, maxValue = max(maxSize, 1), max(maxValue, 1)
	}
	x := func(size float64) float64 { return plotMargin + size/maxSize*(plotWidth-2*plotMargin) }
	y := func(value float64) float64 { return plotHeight - plotMargin - value/maxValue*(plotHeight-2*plotMargin) }
	fmt.Fprintf(w, `<text x="%d" y="14">%s (largest %.4g) over %s (to %g)</text>`+"\n", plotMargin, s.Name, maxValue, axis, maxSize)
	fmt.Fprintf(w, `<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`+"\n", plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
	fmt.Fprintf(w, `<path d="M%.1f %.1f L%.1f %.1f" stroke="gray" stroke-dasharray="4"/>`+"\n", x(0), y(max(s.Fit.Base, 0)), x(maxSize), y(s.Fit.At(maxSize)))
	for _, p := range s.Points {
		fmt.Fprintf(w, `<circle cx="%.1f" cy="%.1f" r="3"/>`+"\n", x(p.Size), y(p.Value))
	}
}
