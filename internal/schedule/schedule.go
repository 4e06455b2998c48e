// Package schedule makes the decisions of one cell: which waiting request
// takes the next free place and on which endpoint. It is pure: it does no
// input or output, starts no goroutines and is handed its clock.
package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Names and numbers that the decisions work with.
type (
	// Class names a class of requests.
	Class string
	// Account names a client account.
	Account string
	// Endpoint names an endpoint of the cell.
	Endpoint string
	// Tier orders classes; zero is served first.
	Tier int
	// Host names an entry daemon.
	Host string
)

// RequestID identifies a reservation.
type RequestID struct {
	Host        Host
	Incarnation uint64
	// Sequence is unique within the incarnation.
	Sequence uint64
}

// ClassPolicy is what the table says of a class.
type ClassPolicy struct {
	Name   Class
	Tier   Tier
	Weight int
	// MaxWait is the wait after which ageing lets the class take a place.
	MaxWait time.Duration
	// MaxQueue bounds the waiting requests; zero is unlimited.
	MaxQueue    int
	Preemptible bool
	// Target is the promised time to the first token, Pause that between two
	// events; zero promises nothing.
	Target, Pause time.Duration
}

// EndpointPolicy is what the table says of an endpoint.
type EndpointPolicy struct {
	Name Endpoint
	// Concurrency is how many grants it takes at once.
	Concurrency int
	// Draining endpoints get no new grants.
	Draining bool
	// CanPreempt says that a running request can be cancelled there and
	// resumed elsewhere.
	CanPreempt bool
	// Memory is what an engine keeps, in tokens. If it is positive, the engine
	// batches its requests and is chosen by what it has to read; see package batching.
	Memory int
	// Zone is the availability zone.
	Zone string
}

// Discipline is the order of the queue and the choice of endpoints.
type Discipline int

// The disciplines. All but ByTier are baselines for measurements: one queue
// in order of arrival, without shedding by tier, ageing, preemption and
// ejection.
const (
	// ByTier is the order that the package is about.
	ByTier Discipline = iota
	// RoundRobin takes the endpoints in turn.
	RoundRobin
	// LeastOutstanding takes the endpoint with the fewest grants.
	LeastOutstanding
)

// Config is all that the table says of a cell.
type Config struct {
	Classes   []ClassPolicy
	Endpoints []EndpointPolicy
	// MaxWaiting bounds the cell's whole queue; zero is unlimited.
	MaxWaiting int
	Discipline Discipline
	// Disabled mechanisms take no part.
	Disabled []Mechanism
	// Share is how many hosts may decide alone for the same endpoints; what
	// these take is divided by it. Zero is one.
	Share int
}

// Request asks for a place.
type Request struct {
	ID           RequestID
	Class        Class
	Account      Account
	PromptTokens int
	// EstimatedTokens is the expected length of the answer; zero lets the
	// cell estimate it from history.
	EstimatedTokens int
	// Prefix is a hash of the start of the prompt; zero is none.
	Prefix uint64
	// Parts are the parts of the prompt in order.
	Parts []Part
	// Zone is the availability zone from which the request is sent.
	Zone string
	// Waited is how long the request has waited elsewhere.
	Waited time.Duration
	// Useful is for how long after the request came an answer that begins is of
	// use to the caller; zero is not known.
	Useful time.Duration
	// Excluded lists endpoints that failed this request.
	Excluded []Endpoint
}

// Part is a part of a prompt.
type Part = batching.Part

// Holding is a grant in use that another coordinator gave.
type Holding struct {
	ID              RequestID
	Class           Class
	Account         Account
	Endpoint        Endpoint
	EstimatedTokens int
	PromptTokens    int
	Parts           []Part
	// Begun says that the first token has come.
	Begun bool
}

// Report tells how a grant ended.
type Report struct {
	// FirstToken and Duration are counted from the grant.
	FirstToken time.Duration
	Duration   time.Duration
	// Longest is the longest pause between two tokens.
	Longest time.Duration
	Tokens  int
	// Done says that the answer is whole.
	Done bool
	// Failed says that the endpoint failed the request.
	Failed bool
	// Unlimited says that an answer came that named no limit.
	Unlimited bool
}

// Progress is what is known of a grant while it runs.
type Progress struct {
	// FirstToken is the time from the grant to the first token.
	FirstToken time.Duration
	// Tokens came within Elapsed, counted from the grant.
	Tokens  int
	Elapsed time.Duration
}

// Load is what an engine says of itself. It lags.
type Load struct {
	Running int
	Waiting int
}

// Refusal is why a request got no place.
type Refusal string

// The refusals of a cell.
const (
	RefusedShed       Refusal = "shed"
	RefusedQueueFull  Refusal = "queueFull"
	RefusedTooLate    Refusal = "tooLate"
	RefusedNoEndpoint Refusal = "noEndpoint"
	RefusedClass      Refusal = "unknownClass"
)

// Decision is what became of a request: a grant of an endpoint, a refusal, or
// an order to give the grant back.
type Decision struct {
	ID RequestID
	// Endpoint is set for a grant.
	Endpoint Endpoint
	// FetchFrom names an engine that keeps parts of the prompt which the
	// endpoint should fetch; it may be empty.
	FetchFrom Endpoint
	// Backlog and Unread are what the choice went by: how long the endpoint had
	// to read, and how long it will read this prompt. Decode says that it is
	// kept for streams that long reads break.
	Backlog, Unread time.Duration
	Decode          bool
	// Refusal is set for a refusal.
	Refusal    Refusal
	RetryAfter time.Duration
	// Preempt is set when a grant must be given back.
	Preempt bool
}
