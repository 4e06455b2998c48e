package completion

const (
	// lengthDecay is the factor by which the weight of a response falls with each later
	// one.
	lengthDecay = 0.99
	// minLengthSamples is the number of responses below which the ratio is unknown.
	minLengthSamples = 5
)

// LengthRatio estimates how many events a response has for each token that was expected
// of it. The zero value has no samples.
type LengthRatio struct {
	n                int
	events, expected float64
}

// Observe records the events of a complete response and its expected tokens.
func (r *LengthRatio) Observe(events, expected int) {
	if events <= 0 || expected <= 0 {
		return
	}
	r.n++
	r.events = r.events*lengthDecay + float64(events)
	r.expected = r.expected*lengthDecay + float64(expected)
}

// Length is the expected length of a response.
type Length struct {
	// Tokens is the expected number of tokens.
	Tokens int
	// Class and Pool are the ratios of its class and of the whole pool, which is used
	// while that of the class is unknown.
	Class, Pool *LengthRatio
}

// Events returns the expected number of events; ok is false if it is unknown.
func (l Length) Events() (n float64, ok bool) {
	ratio, ok := l.Class.Ratio()
	if !ok {
		ratio, ok = l.Pool.Ratio()
	}
	return ratio * float64(l.Tokens), ok
}

// Ratio returns the ratio; ok is false if it is unknown.
func (r *LengthRatio) Ratio() (ratio float64, ok bool) {
	if r.n < minLengthSamples {
		return 0, false
	}
	return r.events / r.expected, true
}
