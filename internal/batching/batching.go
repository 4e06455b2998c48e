// Package batching chooses among engines that batch their requests. Such an
// engine reads prompts in turn, between the tokens of the requests that run: a
// request's first token waits for all that is to be read before, and each
// prompt slows down what runs beside it. So engines are chosen by what they
// have to read, and long reads are kept off the streams that they would break.
// Which request comes next is decided in package schedule.
//
// It is pure: no input or output, no goroutines, and the time is handed in.
package batching

import (
	"time"
)

// Mechanism is a part of the decisions that can be switched off, to measure
// what it is worth.
type Mechanism string

// The mechanisms of this package.
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
	// Home has parts that no engine is known to keep read at one engine.
	Home Mechanism = "home"
	// ZoneWeight prefers engines of the caller's availability zone.
	ZoneWeight Mechanism = "zoneWeight"
	// WaitPatience lets a request that has waited find less backlog.
	WaitPatience Mechanism = "waitPatience"
	// DecodeSlowdown expects engines with many requests to read more slowly.
	DecodeSlowdown Mechanism = "decodeSlowdown"
)

// Part is a part of a prompt. Engines keep parts by id and don't read one
// again while they keep it and all parts before it.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what a request asks of an engine.
type Prompt struct {
	// Tokens is the length of the prompt, Answer the expected length of the
	// answer in tokens.
	Tokens, Answer int
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Zone is the availability zone from which the request is sent.
	Zone string
}

// Work is one request while it waits for an engine or runs on one.
type Work struct {
	Prompt Prompt
	Class  *Class
	// Since is when its wait began, Granted when it got its place.
	Since, Granted time.Duration
	// Late says that its target is already missed.
	Late bool
	// Fetched is what the engine fetches from another one, in tokens.
	Fetched int
	// Unread is how long an engine would read that fetches what others keep.
	Unread time.Duration
	// LongRead says that its read was one that breaks protected streams when
	// it was last looked at.
	LongRead bool

	// reads is what the engine had to read of the prompt, held what it keeps
	// for the request; in tokens.
	reads float64
	held  int
	// idle says that the engine had nothing else to read.
	idle bool
	// sensitivity is how much the stream suffers from what is read beside it.
	sensitivity float64
	// protected says that the stream was booked as one that suffers from long
	// reads, long that the request was taken for one that stays long.
	protected, long bool
	// due is when the first token was expected, as booked when the engine's
	// corrections summed up to shift.
	due, shift time.Duration
}
