package schedule

import (
	"slices"

	"github.com/beechhead/beechhead/internal/batching"
)

// Mechanism is a part of the scheduling logic that can be switched off to
// measure its effect.
type Mechanism = batching.Mechanism

// The mechanisms of engine selection.
const (
	DecodeEngines  = batching.DecodeEngines
	Spacing        = batching.Spacing
	Disturbance    = batching.Disturbance
	Headroom       = batching.Headroom
	Fetch          = batching.Fetch
	ReadAgain      = batching.ReadAgain
	Home           = batching.Home
	ZoneWeight     = batching.ZoneWeight
	TransferCost   = batching.TransferCost
	ZoneHome       = batching.ZoneHome
	WaitPatience   = batching.WaitPatience
	DecodeSlowdown = batching.DecodeSlowdown
	Completion     = batching.Completion
	EngineSpeed    = batching.EngineSpeed
	InitialDecode  = batching.InitialDecode
	// HandedEstimates hands what a coordinator has measured on to the next one.
	HandedEstimates = batching.HandedEstimates
)

// The mechanisms of the queue and of endpoint health.
const (
	// SlowEjection temporarily ejects stragglers, FailedEjection endpoints that
	// fail requests.
	SlowEjection   Mechanism = "slowEjection"
	FailedEjection Mechanism = "failedEjection"
	// Ageing grants slots to requests that have waited longer than the MaxWait of
	// their class.
	Ageing Mechanism = "ageing"
	// Shedding refuses requests of the lowest tier that would not be granted a
	// slot within the MaxWait of their class.
	Shedding Mechanism = "shedding"
	// TooLate refuses requests whose callers will give up before the response can
	// begin.
	TooLate Mechanism = "tooLate"
	// EarlyRefusal refuses requests on their arrival, or once they are late, that the
	// queue will not serve while their callers wait.
	EarlyRefusal Mechanism = "earlyRefusal"
	// ReturnOrder gives callers that return when they were told the place of their
	// first arrival, and refuses those that return earlier.
	ReturnOrder Mechanism = "returnOrder"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		DecodeEngines, Spacing, Disturbance, Headroom, Fetch, ReadAgain, Home, ZoneWeight, TransferCost, ZoneHome, WaitPatience, DecodeSlowdown,
		EngineSpeed, InitialDecode, HandedEstimates, Completion,
		SlowEjection, FailedEjection, Ageing, Shedding, TooLate,
		EarlyRefusal, ReturnOrder,
	}
}

// isDisabled reports whether a mechanism is switched off.
func (c *Cell) isDisabled(m Mechanism) bool {
	return len(c.disabled) > 0 && slices.Contains(c.disabled, m)
}
