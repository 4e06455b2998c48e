// Package schedule implements the scheduling decisions of one cell: which
// queued request gets the next free slot, and on which endpoint. A cell is a
// bounded set of endpoints with one queue; a slot is one unit of an endpoint's
// concurrency. The package performs no I/O, starts no goroutines, and takes its
// clock as a parameter.
package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// Clock is the source of the current time.
type Clock interface {
	Now() time.Time
}

// Identifiers used in scheduling decisions.
type (
	// Class is the name of a request class.
	Class string
	// Account is the name of a client account.
	Account string
	// Endpoint is the name of an endpoint in the cell.
	Endpoint string
	// Version is the software version of an endpoint.
	Version string
	// Tier is the priority of a class; tier 0 is served first.
	Tier int
	// Host is the name of an entry daemon.
	Host string
)

// RequestID identifies a reservation.
type RequestID struct {
	Host        Host
	Incarnation uint64
	// Sequence is unique within the incarnation.
	Sequence uint64
}

// ClassPolicy is the configuration of a class.
type ClassPolicy struct {
	Name   Class
	Tier   Tier
	Weight int
	// MaxWait is the wait after which ageing may grant the class a slot ahead of
	// higher tiers.
	MaxWait time.Duration
	// MaxQueue limits the number of waiting requests; zero means unlimited.
	MaxQueue    int
	Preemptible bool
	// FirstTokenTarget is the target time to first token, GapTarget the target
	// gap between two events of the stream. Zero means no target.
	FirstTokenTarget, GapTarget time.Duration
}

// EndpointPolicy is the configuration of an endpoint.
type EndpointPolicy struct {
	Name Endpoint
	// ID is the ID under which the endpoint has registered; "" if it has none. An
	// endpoint that starts again may register under the same ID and another name.
	ID string
	// Concurrency is the maximum number of concurrent grants.
	Concurrency int
	// Draining endpoints get no new grants.
	Draining bool
	// CanPreempt reports whether a running request can be cancelled on this
	// endpoint and resumed on another one.
	CanPreempt bool
	// CacheTokens is the size of the engine's KV cache, in tokens. If it is
	// positive, the engine batches its requests and is chosen by its prefill
	// load; see package batching.
	CacheTokens int
	// Zone is the availability zone of the endpoint.
	Zone string
	// Version is the version of the endpoint's software.
	Version Version
}

// Discipline is the queueing discipline and endpoint selection policy.
type Discipline int

// The disciplines. All but ByTier are baselines for measurements: a single
// first-in, first-out queue without shedding by tier, ageing, preemption or
// ejection.
const (
	// ByTier is the default: priority by tier, and fair queueing by weight and
	// account within a tier.
	ByTier Discipline = iota
	// RoundRobin cycles through the endpoints.
	RoundRobin
	// LeastOutstanding picks the endpoint with the fewest running grants.
	LeastOutstanding
)

// Config is the configuration of a cell.
type Config struct {
	Classes   []ClassPolicy
	Endpoints []EndpointPolicy
	// MaxWaiting limits the queue of the whole cell; zero means unlimited.
	MaxWaiting int
	Discipline Discipline
	// Disabled lists the mechanisms that are switched off.
	Disabled []Mechanism
	// IndependentHosts is the number of hosts that may schedule requests on the
	// same endpoints independently; the rate limits reported by the endpoints
	// are divided by it. Zero means one.
	IndependentHosts int
}

// Request is a request for a slot.
type Request struct {
	ID           RequestID
	Class        Class
	Account      Account
	PromptTokens int
	// EstimatedTokens is the expected length of the response; if it is zero, the
	// cell estimates it from previous responses.
	EstimatedTokens int
	// Prefix is a hash of the start of the prompt; zero means none.
	Prefix uint64
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// Zone is the availability zone from which the request is sent.
	Zone string
	// Waited is the time that the request has already waited elsewhere.
	Waited time.Duration
	// StartTimeout is how long after the arrival of the request its response may
	// begin and still reach a caller who waits; zero means unknown.
	StartTimeout time.Duration
	// EndTimeout is how long after the arrival of the request its response must have
	// ended; zero means unknown.
	EndTimeout time.Duration
	// Fingerprint is the same for all attempts of a caller to send the request; zero
	// means unknown.
	Fingerprint uint64
	// BodyBytes is the length of the request's body.
	BodyBytes int
	// Excluded lists the endpoints that have failed this request.
	Excluded []Endpoint
	// Version is the software version of the endpoints that may continue the
	// stream; nil if the request may go to any.
	Version *Version
}

// Part is a part of a prompt that an engine can cache.
type Part = batching.Part

// Holding is a grant in use that was issued by another coordinator.
type Holding struct {
	ID       RequestID
	Class    Class
	Account  Account
	Endpoint Endpoint
	// EndpointID is the ID under which the endpoint has registered, if any.
	EndpointID      string
	EstimatedTokens int
	PromptTokens    int
	Parts           []Part
	// FirstTokenReceived reports whether the first token has been received.
	FirstTokenReceived bool
	// Elapsed is the time since the grant, Left the time until the whole response must
	// have reached the caller; zero means unknown. Tokens is the number of events
	// received so far.
	Elapsed, Left time.Duration
	Tokens        int
}

// endTimeout returns the time from the grant within which the response must have ended;
// zero means unknown.
func (h *Holding) endTimeout() time.Duration {
	if h.Left == 0 {
		return 0
	}
	return h.Elapsed + h.Left
}

// Report is the outcome of a grant.
type Report struct {
	// FirstToken and Duration are measured from the grant.
	FirstToken time.Duration
	Duration   time.Duration
	// LongestGap is the longest gap between two tokens.
	LongestGap time.Duration
	Tokens     int
	// Done reports whether the response is complete.
	Done bool
	// Failed reports whether the endpoint failed the request.
	Failed bool
	// Refused reports whether the endpoint has turned the request away.
	Refused bool
	// NotBrittle reports whether the endpoint sent a response that does not state
	// that it is brittle.
	NotBrittle bool
	// NoRateLimit reports whether the endpoint sent a response that states no
	// rate limit.
	NoRateLimit bool
}

// Progress is the state of a running grant.
type Progress struct {
	// FirstToken is the time from the grant to the first token.
	FirstToken time.Duration
	// Tokens is the number of tokens received within Elapsed, which is measured
	// from the grant.
	Tokens  int
	Elapsed time.Duration
}

// Load is the load that an engine reports. Reports lag behind its actual load.
type Load struct {
	Running int
	Waiting int
}

// Refusal is the reason why a request was refused.
type Refusal string

// The reasons for which a cell refuses requests.
const (
	RefusedShed         Refusal = "shed"
	RefusedQueueFull    Refusal = "queueFull"
	RefusedTooLate      Refusal = "tooLate"
	RefusedNoEndpoint   Refusal = "noEndpoint"
	RefusedUnknownClass Refusal = "unknownClass"
)

// Decision is a scheduling decision on a request: the grant of a slot on an
// endpoint, a refusal, or the preemption of a grant.
type Decision struct {
	ID RequestID
	// Endpoint is set for a grant.
	Endpoint Endpoint
	// FetchFrom is an engine from whose cache the endpoint should fetch parts of
	// the prompt; it may be empty.
	FetchFrom Endpoint
	// PrefillBacklog and PrefillTime are the estimates on which the choice was
	// based: the prefill time of the prompts granted to the endpoint before, and
	// that of this prompt. Decode reports whether the endpoint is reserved for
	// streams that long prefills would interrupt.
	PrefillBacklog, PrefillTime time.Duration
	Decode                      bool
	// Refusal is set for a refusal.
	Refusal    Refusal
	RetryAfter time.Duration
	// Preempt is set if the host must cancel the request and release the grant.
	Preempt bool
}
