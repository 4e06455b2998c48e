// Package batching chooses among engines that batch their requests. Such an
// engine interleaves prefill, the processing of prompts, with decoding, the
// generation of tokens for the requests that run: the first token of a request
// waits for all prefill queued before it, and each prefill slows down the
// requests that are decoded beside it. Engines are therefore chosen by their
// queued prefill, and long prefills are kept away from the streams whose gap
// limit they would exceed. Package schedule decides which request comes next.
//
// The package performs no I/O and starts no goroutines; callers pass the time.
package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/completion"
)

// Mechanism is a part of the decisions that can be disabled, to measure its
// effect.
type Mechanism string

// The mechanisms of this package.
const (
	// DecodeEngines reserves engines for streams that long prefills would delay.
	DecodeEngines Mechanism = "decodeEngines"
	// Spacing limits the prefill of a decode engine within the time of an event.
	Spacing Mechanism = "spacing"
	// Disturbance adds the interference between prefills and streams on one
	// engine to the cost of the engine.
	Disturbance Mechanism = "disturbance"
	// Headroom keeps engines free for more urgent classes.
	Headroom Mechanism = "headroom"
	// Fetch lets engines fetch cached parts of prompts from each other.
	Fetch Mechanism = "fetch"
	// ReadAgain avoids the prefill of parts that another engine has processed
	// recently.
	ReadAgain Mechanism = "readAgain"
	// Home sends the parts that no engine has cached to one engine for prefill.
	Home Mechanism = "home"
	// ZoneWeight prefers engines in the caller's availability zone.
	ZoneWeight Mechanism = "zoneWeight"
	// TransferCost weighs a transfer between availability zones by its bytes.
	TransferCost Mechanism = "transferCost"
	// ZoneHome gives parts that are requested often in a zone an engine for prefill
	// in that zone.
	ZoneHome Mechanism = "zoneHome"
	// WaitPatience lowers the backlog limit of a request by the time it has waited.
	WaitPatience Mechanism = "waitPatience"
	// DecodeSlowdown expects slower prefill on engines that run many requests.
	DecodeSlowdown Mechanism = "decodeSlowdown"
	// Completion begins no stream that would end after its caller has left, or make
	// another one do so.
	Completion Mechanism = "completion"
	// EngineSpeed measures the speed of each engine by the work of its streams, and
	// uses it for the gaps that prefill causes and for the choice of decode engines.
	EngineSpeed Mechanism = "engineSpeed"
	// InitialDecode reserves decode engines by the gap targets of the classes until
	// streams have shown what prefills do to them.
	InitialDecode Mechanism = "initialDecode"
	// HandedEstimates hands what was measured on to the next coordinator.
	HandedEstimates Mechanism = "handedEstimates"
)

// Part is a part of a prompt. Engines cache parts by ID, and skip the prefill
// of a part while it and all parts before it are in their prefix cache.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt describes the work that a request puts on an engine.
type Prompt struct {
	// Tokens is the length of the prompt, ResponseTokens the expected length of the
	// response, in tokens.
	Tokens, ResponseTokens int
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Zone is the availability zone of the host that sends the request.
	Zone string
	// BodyBytes is the length of the request's body.
	BodyBytes int
}

// RequestState is the state of a request that waits for an engine or runs on one.
type RequestState struct {
	Prompt Prompt
	Class  *Class
	// WaitingSince is when it began to wait, Granted when it was given a slot.
	WaitingSince, Granted time.Duration
	// Deadline is when the whole response must have reached the caller; zero means
	// unknown. MustRun means that the request can't be refused any more.
	Deadline time.Duration
	MustRun  bool
	// Late means that its first token is expected after the target.
	Late bool
	// FetchedTokens is the number of prompt tokens that the engine fetches from the
	// KV cache of another one.
	FetchedTokens int
	// PrefillTime is the expected prefill time after all cached parts are fetched.
	PrefillTime time.Duration
	// LongPrefill means that its prefill exceeded the gap limit of protected
	// streams when it was last checked.
	LongPrefill bool
	// Begun means that its first token had been received before it was given to the
	// engine here, so that the engine has no prefill of it to do.
	Begun bool

	// prefillCost is the cost of the prefill on the engine, in tokens at the
	// start of a prompt. reservedMemory is the KV cache reserved for the
	// request itself, in tokens.
	prefillCost    float64
	reservedMemory int
	// engineIdle means that the engine had no other prefill at the grant.
	engineIdle bool
	// sensitivity is how strongly prefill delays the stream, from 0 to 1.
	sensitivity float64
	// protected means that the stream is counted as one that long prefills
	// delay too much, longRunning that the request is counted as long-running.
	protected, longRunning bool
	// firstTokenDue is when the first token was expected at the grant,
	// correctionAtGrant the correction of the engine at that time.
	firstTokenDue, correctionAtGrant time.Duration
	// stream is its progress, if its deadline is known.
	stream completion.Stream
	// mark is where the period of the stream that is measured next begins.
	mark streamMark
}
