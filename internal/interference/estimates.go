package interference

import (
	"math"

	"github.com/beechhead/beechhead/internal/stat"
)

const (
	// maxAdoptedTime is the longest time of an event, and the most prefill in one, that
	// is adopted, in seconds.
	maxAdoptedTime = 60
	// maxAdoptedSamples limits the samples for which an adopted quantile counts.
	maxAdoptedSamples = 100
	// rounding is the relative error of sums.
	rounding = 1e-6
)

// Estimates are the estimates of a model, to be adopted by another one.
type Estimates struct {
	// Event are the weighted sums of the regression of the time of an event: of the
	// weights, the running requests and their squares, the seconds, and the products
	// of running requests and seconds.
	Event [5]float64
	// MaxPrefill is the most prefill time that fits into an event, in seconds.
	MaxPrefill        float64
	MaxPrefillSamples int
}

// Estimates returns the estimates.
func (m *Model) Estimates() Estimates {
	c := &m.eventTime
	return Estimates{
		Event:             [5]float64{c.w, c.n, c.nn, c.t, c.nt},
		MaxPrefill:        m.maxPrefill.value,
		MaxPrefillSamples: m.maxPrefill.n,
	}
}

// Adopt replaces the estimates that have fewer samples than those of another model,
// unless the latter can't be estimates. The weight, at most 1, is by how much those
// samples count; they never count more than a model's own.
func (m *Model) Adopt(e Estimates, weight float64) {
	if validEvent(e.Event) {
		weight := weight * min(1, 1/(1-sampleDecay)/e.Event[0])
		if w := weight * e.Event[0]; w > m.eventTime.w {
			m.eventTime = eventTimeFit{w: w, n: weight * e.Event[1], nn: weight * e.Event[2], t: weight * e.Event[3], nt: weight * e.Event[4]}
		}
	}
	n := int(weight * float64(min(e.MaxPrefillSamples, maxAdoptedSamples)))
	if n > m.maxPrefill.n && e.MaxPrefill > 0 && e.MaxPrefill <= maxAdoptedTime {
		m.maxPrefill = quantile{value: e.MaxPrefill, n: n}
	}
}

// validEvent reports whether samples can have such sums.
func validEvent(sums [5]float64) bool {
	for _, v := range sums {
		if !stat.InRange(v, 0, math.MaxFloat64) {
			return false
		}
	}
	w, n, nn, t := sums[0], sums[1], sums[2], sums[3]
	return w > 0 && t > 0 && t <= maxAdoptedTime*w && n*n <= (1+rounding)*w*nn
}
