// Package forward runs requests that the product does not look into: it has
// them placed, sends them to endpoints, passes whole answers and streams of
// events on unchanged, and decides what may be sent once more.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's; each of its attempts has another.
	ID string
	// Fingerprint is the same for all attempts of a caller at one request.
	Fingerprint quarantine.Fingerprint
	// Method, Target, Host and Body reach the endpoint unchanged. Header has
	// what the caller sent, without what concerns one connection only.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte

	Class   table.ClassName
	Pool    table.Pool
	Account table.AccountName
	Tier    table.Tier
	Kind    catalog.Kind
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Attempts bounds the endpoints that may run the request.
	Attempts int
	// PromptTokens and OutputTokens are the caller's figures; zero if none.
	PromptTokens, OutputTokens int
	Parts                      []placement.Part
	// Objective is the promised time to the answer or its first event, Pause
	// that between events; zero promises nothing.
	Objective, Pause time.Duration
	// Leaves is how long the caller waits for the answer to begin; zero is
	// until End.
	Leaves time.Duration
	// LastEvent is the id of the last event that the caller has, if it resumes
	// a stream.
	LastEvent string
	// Began is when the request came, End when the caller or the route's
	// timeout ends it; both on the clock of the machine's start.
	Began, End time.Duration
	// Logged requests have their routine decisions logged.
	Logged bool
	// MaySend is asked right before each send; a refusal ends the request.
	MaySend func() *outcome.Refusal
}

// repeatable tells whether a request may be sent again that may have run.
func (r *Request) repeatable() bool { return r.Kind == catalog.Safe || r.Resumable }

// Sink takes an answer.
type Sink struct {
	// Head is called once, before any Body. The length is negative if it is
	// unknown.
	Head func(status int, header http.Header, length int64)
	// Body passes bytes on at once.
	Body func(p []byte) error
}

// Send is one send of a request.
type Send struct {
	Request  *Request
	Endpoint *table.Endpoint
	// Left is what is left of the caller's time.
	Left time.Duration
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
	// FetchFrom is the address of an engine that keeps parts of the prompt, or
	// empty.
	FetchFrom string
}

// Verdict is what an endpoint's answer says of itself.
type Verdict struct {
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// Limit is how many requests the endpoint says that it takes.
	Limit placement.Limit
}

// Wire has the names of the protocol towards endpoints.
type Wire struct {
	// Header returns the headers for one send.
	Header func(s Send) http.Header
	// Read tells what an answer's head says.
	Read func(status int, h http.Header) Verdict
	// Mine tells whether an answer belongs to the request.
	Mine func(r *Request, h http.Header) bool
	// Promises tells whether a status says that a request was not run.
	Promises func(status int) bool
}

// Budget bounds what is sent beyond the first time to a pool.
type Budget interface {
	Add()
	Take() bool
}

// Forwarder runs requests. Fields must be set before it is used. It is safe
// for concurrent use.
type Forwarder struct {
	Clock   clockwork.Clock
	Boot    boottime.Clock
	Logger  *slog.Logger
	Metrics *metric.Registry
	Pool    *http1.Pool
	Wire    Wire
	// Reserve asks for a place.
	Reserve func(ctx context.Context, r placement.Request) (*placement.Grant, error)
	// Usable tells whether an endpoint still takes work, as this daemon knows.
	Usable func(e *table.Endpoint) bool
	// Suspects has the requests under which endpoints have ended.
	Suspects *quarantine.List
	// Budget returns the budget of a pool.
	Budget func(pool table.Pool) Budget
}

// ErrBroken says that an answer broke off after its head was passed on. The
// caller's connection must end so that the answer does not look complete.
var ErrBroken = errors.New("the answer broke off")

// Do runs a request and passes its answer to the sink. The error is ErrBroken
// or a refusal, which was not passed on yet.
func (f *Forwarder) Do(ctx context.Context, r *Request, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, r.End-f.Boot.Now())
	defer cancel()
	run := &run{f: f, began: f.Clock.Now(), r: r, sink: sink, budget: f.Budget(r.Pool), lastEvent: r.LastEvent}
	run.budget.Add()
	return run.do(ctx)
}
