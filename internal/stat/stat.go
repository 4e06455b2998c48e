// Package stat provides small running statistics.
package stat

import "time"

// minMeanWeight is the lowest weight of a new sample. The first few samples
// weigh more, so that a mean starts as the plain average.
const minMeanWeight = 0.25

// Mean is an exponentially weighted mean. The zero value has no samples.
type Mean struct {
	Value float64
	// N is the number of samples.
	N int
}

// Add adds a sample to the mean.
func (m *Mean) Add(v float64) {
	m.N++
	weight := max(minMeanWeight, 1/float64(m.N))
	m.Value += weight * (v - m.Value)
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
