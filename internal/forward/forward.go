// Package forward proxies requests without interpreting their bodies. It reserves
// a slot for each request, sends it to the endpoint, forwards responses and event
// streams unchanged, and decides which requests may be retried.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/graceperiod"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/responseroom"
	"github.com/beechhead/beechhead/internal/responsetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// Request is one request of a caller.
type Request struct {
	// ID is the request id of the caller, which differs for each repetition of
	// a request.
	ID string
	// Fingerprint is the same for all repetitions of a request by a caller.
	Fingerprint quarantine.Fingerprint
	// Method, Target, Host and Body are sent to the endpoint unchanged. Header
	// holds the caller's headers without the hop-by-hop ones.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte

	Class   table.ClassName
	Pool    table.Pool
	Account table.AccountName
	Rank    catalog.Rank
	Kind    catalog.Kind
	// Resumable streams can be continued at another endpoint.
	Resumable bool
	// Attempts is the maximum number of endpoints that may run the request.
	Attempts int
	// PromptTokens and OutputTokens are the numbers given by the caller; zero if
	// none.
	PromptTokens, OutputTokens int
	Parts                      []placement.Part
	// StartTarget is the target time to the response or its first event,
	// GapTarget the target gap between two events; zero means no target.
	StartTarget, GapTarget time.Duration
	// StartTimeout is how long the caller waits for the response to begin; zero
	// means until Deadline.
	StartTimeout time.Duration
	// LastEvent is the id of the last event that the caller has received, if it
	// resumes a stream.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of that stream,
	// as the caller states it; it may be empty.
	Resumes string
	// ReceivedAt is when the request arrived, Deadline when it must have ended,
	// set by the caller or by the route's timeout. Both are times since the
	// machine was booted.
	ReceivedAt, Deadline time.Duration
	// Logged enables logging of routine decisions for this request.
	Logged bool
	// MaySend is called right before each attempt. If it returns a refusal, the
	// request ends with it.
	MaySend func() *outcome.Refusal
}

// Repeatable reports whether the request may be sent again although an endpoint
// may have run it.
func (r *Request) Repeatable() bool { return r.Kind == catalog.Safe || r.Resumable }

// callerFingerprint returns the fingerprint if it tells callers apart. All requests of an
// account without a body to one target have the same one.
func (r *Request) callerFingerprint() uint64 {
	if len(r.Body) == 0 {
		return 0
	}
	return uint64(r.Fingerprint)
}

// Sink receives the response for the caller.
type Sink struct {
	// Head is called once, before the first call of Body. The length is negative
	// if it is unknown.
	Head func(status int, header http.Header, length int64)
	// Body sends a part of the body to the caller without buffering it.
	Body func(p []byte) error
}

// Attempt describes one attempt to send a request to an endpoint.
type Attempt struct {
	Request  *Request
	Endpoint *table.Endpoint
	// TimeRemaining is the time until the deadline of the request.
	TimeRemaining time.Duration
	// LastEvent is the id of the last event that the caller has received, or "".
	LastEvent string
	// FetchFrom is the address of an engine that has parts of the prompt in its
	// KV cache, or "".
	FetchFrom string
}

// ResponseInfo holds what the head of an endpoint's response says.
type ResponseInfo struct {
	// NotRun reports whether the endpoint guarantees that it has not run the
	// request and will not run it.
	NotRun bool
	// OtherProcess reports whether another process than the expected one has responded.
	OtherProcess bool
	// Signed reports whether the response carries the endpoint's signature.
	Signed bool
	// Announcement holds the endpoint's statements about its use.
	Announcement placement.Announcement
}

// Protocol implements the headers and status codes of the protocol that endpoints
// use.
type Protocol struct {
	// Header returns the request headers for one attempt.
	Header func(s Attempt) http.Header
	// ReadHead interprets the head of a response.
	ReadHead func(status int, h http.Header) ResponseInfo
	// NamedID returns the id of the request that a response names; empty if it names
	// none. If nil, every response answers the request that was sent last.
	NamedID func(h http.Header) string
	// ImpliesNotRun reports whether callers conclude from a status code that the
	// request was not run.
	ImpliesNotRun func(status int) bool
	// ReportTarget is the target at which an endpoint reports about itself; empty if it
	// does not. ReadReport reports whether the response comes from the process that has
	// registered as the endpoint, and whether it shows that.
	ReportTarget string
	ReadReport   func(e *table.Endpoint, status int, h http.Header, body []byte) (same, known bool)
}

// Budget limits the retries to a pool. Add is called once for each request, Take
// for each retry; a retry is allowed if Take returns true. Return gives back one that was
// not sent.
type Budget interface {
	Add()
	Take() bool
	Return()
}

// Forwarder forwards requests to endpoints. All fields must be set before use. It
// is safe for concurrent use.
type Forwarder struct {
	Clock     clockwork.Clock
	BootClock boottime.Clock
	Logger    *slog.Logger
	Metrics   *metric.Registry
	Pool      *http1.Pool
	Protocol  Protocol
	// Reserve reserves a slot on an endpoint.
	Reserve func(ctx context.Context, r placement.Request) (*placement.Grant, error)
	// Usable reports whether, as far as this daemon knows, an endpoint still
	// accepts work.
	Usable func(e *table.Endpoint) bool
	// Notices has what endpoints have told this daemon.
	Notices *Notices
	// PathLost reports whether an endpoint's address is reached only through other
	// daemons, so that a failure there says nothing about the endpoint.
	PathLost func(address string) bool
	// Quarantine lists the requests during which endpoints have terminated, Parts the
	// parts of prompts. MayTry reports whether this daemon is the one that tries
	// requests to a pool with quarantined parts when that is due.
	Quarantine *quarantine.List
	Parts      *quarantine.Parts
	MayTry     func(pool table.Pool) bool
	// Budget returns the retry budget of a pool.
	Budget func(pool table.Pool) Budget
	// BeginStream records the software version at which a stream has begun that may be
	// continued elsewhere. The function that it returns is called when this daemon
	// serves the stream no longer.
	BeginStream func(r *Request, version table.SoftwareVersion) (end func())
	// LookupVersion returns the software version at which the stream began that a
	// request resumes, or a refusal.
	LookupVersion func(ctx context.Context, r *Request) (table.SoftwareVersion, *outcome.Refusal)
	// Grace is the time that is left after the signal to stop; nil if the process is never
	// killed.
	Grace *graceperiod.Period
	// Wholes bounds what whole responses hold before they are forwarded, Events what events
	// do; nil means no bound.
	Wholes, Events *responseroom.Room
	// OnBegun is called, if set, when an endpoint has begun to run a request; for
	// each endpoint if there are several.
	OnBegun func(r *Request)

	activities activity.Tracker
	refusals   endpoint.Refusals
	// firstEvents has how soon the first events of streams come, durations how long
	// responses take.
	firstEvents responsetime.Floor
	durations   responsetime.Durations
}

// ErrTruncated reports that a response was truncated after its head was forwarded.
// The caller's connection must be aborted, so that the response does not look
// complete.
var ErrTruncated = errors.New("response truncated after its head was forwarded")

// Do runs a request and writes the response to the sink. The error is
// ErrTruncated or a refusal, for which nothing has been written to the sink.
func (f *Forwarder) Do(ctx context.Context, r *Request, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline-f.BootClock.Now())
	defer cancel()
	run := &run{
		f: f, req: r, sink: sink, budget: f.Budget(r.Pool), began: f.Clock.Now(),
		partKeys: r.partKeys(), lastEvent: r.LastEvent, ended: make(chan *call, max(1, r.Attempts)),
	}
	run.budget.Add()
	defer run.endStreamRecord()
	defer run.endTrial()
	defer run.closeHoldings()
	defer run.dropCalls()
	err := run.do(ctx)
	run.recordAttempts(err)
	run.countSent(err)
	return err
}
