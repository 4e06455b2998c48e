package schedule

import (
	"slices"

	"github.com/beechhead/beechhead/internal/batching"
)

// Mechanism is a part of the decisions that can be switched off, to measure
// what it is worth.
type Mechanism = batching.Mechanism

// The mechanisms of the choice among engines.
const (
	DecodeEngines  = batching.DecodeEngines
	Spacing        = batching.Spacing
	Disturbance    = batching.Disturbance
	Headroom       = batching.Headroom
	Fetch          = batching.Fetch
	ReadAgain      = batching.ReadAgain
	Home           = batching.Home
	ZoneWeight     = batching.ZoneWeight
	WaitPatience   = batching.WaitPatience
	DecodeSlowdown = batching.DecodeSlowdown
)

// The mechanisms of the queue and of endpoints' health.
const (
	// SlowEjection gives stragglers no requests for a while, FailedEjection
	// endpoints that fail.
	SlowEjection   Mechanism = "slowEjection"
	FailedEjection Mechanism = "failedEjection"
	// Ageing gives places to requests that have waited past their bound.
	Ageing Mechanism = "ageing"
	// Shedding refuses requests of the lowest tier whose turn will not come in
	// time.
	Shedding Mechanism = "shedding"
	// TooLate refuses requests whose callers leave before an answer begins.
	TooLate Mechanism = "tooLate"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		DecodeEngines, Spacing, Disturbance, Headroom, Fetch, ReadAgain, Home, ZoneWeight, WaitPatience, DecodeSlowdown,
		SlowEjection, FailedEjection, Ageing, Shedding, TooLate,
	}
}

// off tells whether a mechanism is switched off.
func (c *Cell) off(m Mechanism) bool { return len(c.disabled) > 0 && slices.Contains(c.disabled, m) }
