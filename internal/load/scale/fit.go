// Package scale turns measurements at several sizes into slopes, tables and
// plots.
package scale

import "slices"

// Point is a figure measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a linear fit: Base + Slope × size.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the line of least squares. With fewer than two sizes the slope
// is zero.
func Fit(points []Point) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	if n == 0 {
		return Line{}
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Line{Base: sy / n}
	}
	slope := (n*sxy - sx*sy) / spread
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

// Series is one figure over all measured sizes.
type Series struct {
	// Name is the name of the figure and its unit.
	Name   string  `json:"name"`
	Points []Point `json:"points"`
	Fit    Line    `json:"fit"`
}

// Axis is the parameter that was varied, with the figures that depend on it.
type Axis struct {
	Name string `json:"name"`
	// Full is the size to design for.
	Full   float64  `json:"full"`
	Series []Series `json:"series"`
}

// Add adds a point to the series of that name.
func (a *Axis) Add(name string, p Point) {
	for i := range a.Series {
		if a.Series[i].Name == name {
			a.Series[i].Points = append(a.Series[i].Points, p)
			a.Series[i].Fit = Fit(a.Series[i].Points)
			return
		}
	}
	a.Series = append(a.Series, Series{Name: name, Points: []Point{p}, Fit: Fit([]Point{p})})
}

// DropZeros drops the series that are zero at every size.
func (a *Axis) DropZeros() {
	a.Series = slices.DeleteFunc(a.Series, func(s Series) bool {
		return !slices.ContainsFunc(s.Points, func(p Point) bool { return p.Value != 0 })
	})
}
