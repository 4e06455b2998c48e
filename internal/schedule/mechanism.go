package schedule

import "slices"

// Mechanism is a part of the decisions that can be switched off, to measure
// what it is worth.
type Mechanism string

// The mechanisms.
const (
	// DecodeEngines keeps long reads and the streams that they break apart.
	DecodeEngines Mechanism = "decodeEngines"
	// Spacing bounds what a decode engine reads within the time of an event.
	Spacing Mechanism = "spacing"
	// Disturbance weighs what reads and streams on one engine do to each other.
	Disturbance Mechanism = "disturbance"
	// Headroom keeps engines free for more urgent classes.
	Headroom Mechanism = "headroom"
	// Fetch lets engines fetch parts of prompts from each other.
	Fetch Mechanism = "fetch"
	// ReadAgain avoids to read parts that another engine has read lately.
	ReadAgain Mechanism = "readAgain"
	// ZoneWeight prefers engines of the caller's availability zone.
	ZoneWeight Mechanism = "zoneWeight"
	// WaitPatience lets a request that has waited find less backlog.
	WaitPatience Mechanism = "waitPatience"
	// DecodeSlowdown expects engines with many requests to read more slowly.
	DecodeSlowdown Mechanism = "decodeSlowdown"
	// SlowEjection gives stragglers no requests for a while, FailedEjection
	// endpoints that fail.
	SlowEjection   Mechanism = "slowEjection"
	FailedEjection Mechanism = "failedEjection"
	// Ageing gives places to requests that have waited past their bound.
	Ageing Mechanism = "ageing"
	// Shedding refuses requests of the lowest tier that wait for a turn that will not come.
	Shedding Mechanism = "shedding"
	// TooLate refuses requests whose callers leave before an answer begins.
	TooLate Mechanism = "tooLate"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		DecodeEngines, Spacing, Disturbance, Headroom, Fetch, ReadAgain, ZoneWeight, WaitPatience, DecodeSlowdown,
		SlowEjection, FailedEjection, Ageing, Shedding, TooLate,
	}
}

// off tells whether a mechanism is switched off.
func (c *Cell) off(m Mechanism) bool { return len(c.disabled) > 0 && slices.Contains(c.disabled, m) }
