// Package stat has small running figures.
package stat

import "time"

// meanShare is the weight of a new sample of a mean once a few have come.
const meanShare = 0.25

// Mean is an exponentially weighted mean. The zero value has no samples.
type Mean struct {
	Value float64
	// N counts the samples.
	N int
}

// Add takes in a sample.
func (m *Mean) Add(v float64) {
	m.N++
	share := max(meanShare, 1/float64(m.N))
	m.Value += share * (v - m.Value)
}

// Seconds converts a number of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
