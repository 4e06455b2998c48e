// Package dispatch executes requests: it applies admission limits, reserves a
// slot on an endpoint, sends the request, and retries, hedges or resumes it
// where that is allowed. docs/design/retries.md explains the rules.
package dispatch

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/limit"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

// Dispatcher executes requests. It is safe for concurrent use.
type Dispatcher struct {
	clock    clockwork.Clock
	limits   *limit.Limiter
	placer   *placement.Placer
	engines  *engine.Client
	services *service.Client
	metrics  *metric.Registry
	budgets  *budgets
	suspects *quarantine.List
	// activities knows which endpoints are silent.
	activities activity.Tracker
	refusals   endpoint.Refusals
	// Logger receives a line for each answer that was waited for. It must be set
	// before use, or nothing is logged.
	Logger *slog.Logger
	// OtherEndpoints returns the URLs of some other endpoints, which tell a lost path
	// from an endpoint that has terminated. It must be set before use.
	OtherEndpoints func(e *table.Endpoint) []string
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(clock clockwork.Clock, limits *limit.Limiter, placer *placement.Placer, engines *engine.Client, services *service.Client, suspects *quarantine.List, metrics *metric.Registry) *Dispatcher {
	return &Dispatcher{
		clock:    clock,
		limits:   limits,
		placer:   placer,
		engines:  engines,
		services: services,
		metrics:  metrics,
		budgets:  newBudgets(clock),
		suspects: suspects,

		Logger:         slog.New(slog.DiscardHandler),
		OtherEndpoints: func(*table.Endpoint) []string { return nil },
	}
}

// Chat is one chat request.
type Chat struct {
	ID string
	// Fingerprint identifies the request. It is the same each time a caller
	// repeats the request.
	Fingerprint quarantine.Fingerprint

	Account table.AccountName
	Class   *table.Class
	Pool    table.Pool
	// Fields holds the top-level fields of the caller's JSON body.
	Fields map[string]json.RawMessage
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Prefix is a hash of the start of the prompt.
	Prefix uint64
}

// Sink receives one event of the response, both raw and parsed. They are valid
// only during the call. An error means that the caller has disconnected.
type Sink func(data []byte, chunk *engine.Chunk) error

// Chat executes a chat request and passes the events of its response to sink. A
// returned error is an *outcome.Refusal.
func (d *Dispatcher) Chat(ctx context.Context, chat *Chat, sink Sink) error {
	done, err := d.limits.Admit(ctx, chat.Class, chat.Account)
	if err != nil {
		return err
	}
	defer done()
	run := newChatRun(d, chat, sink)
	err = run.do(ctx)
	if err != nil && ctx.Err() != nil {
		d.metrics.Add("wasted.tokens."+string(outcome.ReasonCallerGone), int64(run.tokens))
	}
	return err
}

// Progress deadlines. They are large multiples of the latency targets, because
// a late response is worth more than one that is started over.
const (
	firstTokenFactor             = 6
	minFirstTokenDeadline        = 5 * time.Second
	defaultFirstTokenDeadline    = 30 * time.Second
	betweenTokensFactor          = 10
	minBetweenTokensDeadline     = 2 * time.Second
	defaultBetweenTokensDeadline = 10 * time.Second
	wholeAnswerFactor            = 10
	// defaultCallDeadline applies to plain services whose class has no target.
	defaultCallDeadline = time.Minute
)

// firstTokenDeadline returns how long an engine may take to start a response.
func firstTokenDeadline(t table.Target) time.Duration {
	return progressDeadline(t.FirstToken, firstTokenFactor, minFirstTokenDeadline, defaultFirstTokenDeadline)
}

// betweenTokensDeadline returns how long an engine may pause within a response.
func betweenTokensDeadline(t table.Target) time.Duration {
	return progressDeadline(t.BetweenTokens, betweenTokensFactor, minBetweenTokensDeadline, defaultBetweenTokensDeadline)
}

// callDeadline returns the timeout of a call to a plain service.
func callDeadline(t table.Target) time.Duration {
	return progressDeadline(t.WholeAnswer, wholeAnswerFactor, 0, defaultCallDeadline)
}

// progressDeadline returns factor times the latency target, but at least
// minimum. Without a target it returns fallback.
func progressDeadline(target table.Duration, factor int, minimum, fallback time.Duration) time.Duration {
	if target == 0 {
		return fallback
	}
	return max(time.Duration(factor)*target.Std(), minimum)
}
