package interference

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

// Adopt replaces the estimates that have fewer samples than those of another model.
// The weight, at most 1, is by how much those samples count.
func (m *Model) Adopt(e Estimates, weight float64) {
	if w := weight * e.Event[0]; w > m.eventTime.w {
		m.eventTime = eventTimeFit{w: w, n: weight * e.Event[1], nn: weight * e.Event[2], t: weight * e.Event[3], nt: weight * e.Event[4]}
	}
	if n := int(weight * float64(e.MaxPrefillSamples)); n > m.maxPrefill.n {
		m.maxPrefill = quantile{value: e.MaxPrefill, n: n}
	}
}
