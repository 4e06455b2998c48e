package schedule

import (
	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/stat"
)

// maxLogLength limits the logarithm of the length of a response: it is e to the 20.
const maxLogLength = 20

// Measured is what a cell has measured of its engines and classes. It is handed on to
// the next coordinator.
type Measured struct {
	batching.Estimates
	Classes []MeasuredClass
}

// MeasuredClass is what a cell has measured of a class.
type MeasuredClass struct {
	Class Class
	batching.ClassEstimate
	// LengthMean and LengthVariance are those of the logarithm of the length of
	// responses.
	LengthMean, LengthVariance float64
	Lengths                    int
}

// Measured returns what the cell has measured; false if that is nothing.
func (c *Cell) Measured() (m Measured, ok bool) {
	m.Estimates, ok = c.pool.Estimates(c.now())
	if !ok {
		return Measured{}, false
	}
	for _, q := range c.classOrder {
		class := MeasuredClass{Class: q.policy.Name, ClassEstimate: q.Estimate()}
		if h := c.estimates.classes[q.policy.Name]; h != nil {
			class.LengthMean, class.LengthVariance, class.Lengths = h.mean, h.variance, h.n
		}
		m.Classes = append(m.Classes, class)
	}
	return m, true
}

// AdoptMeasured adopts what another coordinator has measured. It reports whether that is
// recent enough.
func (c *Cell) AdoptMeasured(m *Measured) bool {
	if !c.pool.Adopt(&m.Estimates, c.now()) {
		return false
	}
	for i := range m.Classes {
		class := &m.Classes[i]
		q := c.classes[class.Class]
		if q == nil {
			continue
		}
		c.pool.AdoptClass(&q.Class, class.ClassEstimate, m.Age)
		if h := c.estimates.classes[class.Class]; class.hasLengths() && (h == nil || h.n < class.Lengths) {
			c.estimates.classes[class.Class] = &history{mean: class.LengthMean, variance: class.LengthVariance, n: class.Lengths}
		}
	}
	return true
}

// hasLengths reports whether lengths of responses can have such a mean and variance.
func (m *MeasuredClass) hasLengths() bool {
	return m.Lengths > 0 && stat.InRange(m.LengthMean, 0, maxLogLength) && stat.InRange(m.LengthVariance, 0, maxLogLength*maxLogLength)
}
