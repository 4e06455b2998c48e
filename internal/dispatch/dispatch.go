// Package dispatch runs a request: it admits it by its limits, reserves a
// place, sends it to the endpoint, and retries, hedges or resumes where that
// is allowed. The rules are weighed in docs/design/retries.md.
package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/limit"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	clock    clockwork.Clock
	limits   *limit.Keeper
	placer   *placement.Placer
	engines  *engine.Client
	services *service.Client
	metrics  *metric.Registry
	budgets  *budgets
	suspects *quarantine.List
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(clock clockwork.Clock, limits *limit.Keeper, placer *placement.Placer, engines *engine.Client, services *service.Client, suspects *quarantine.List, metrics *metric.Registry) *Dispatcher {
	return &Dispatcher{
		clock:    clock,
		limits:   limits,
		placer:   placer,
		engines:  engines,
		services: services,
		metrics:  metrics,
		budgets:  newBudgets(clock),
		suspects: suspects,
	}
}

// Chat is one chat request.
type Chat struct {
	ID string
	// Fingerprint is the same for all attempts of a caller at one request.
	Fingerprint quarantine.Fingerprint

	Account table.AccountName
	Class   *table.Class
	Pool    table.Pool
	// Fields are the members of the caller's JSON body.
	Fields map[string]json.RawMessage
	// PromptTokens is an estimate.
	PromptTokens int
	// Prefix is a hash of the start of the prompt.
	Prefix uint64
}

// Sink takes one event of the answer and what was read of it, both valid
// during the call only. An error means that the caller is gone.
type Sink func(data []byte, chunk *engine.Chunk) error

// Chat runs a chat request and gives its answer to the sink. The error is a
// refusal.
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
		return run.refusal(outcome.ReasonCallerGone, "the caller is gone")
	}
	return err
}

// Progress deadlines. A late answer is worth more than one that is begun
// anew, so they exceed the latency targets by far.
const (
	firstTokenSlack    = 6
	minFirstToken      = 5 * time.Second
	defaultFirstToken  = 30 * time.Second
	betweenTokensSlack = 10
	minBetweenTokens   = 2 * time.Second
	defaultBetween     = 10 * time.Second
	wholeAnswerSlack   = 10
	// defaultCall bounds a call to a plain service without a target.
	defaultCall = time.Minute
)

// firstTokenDeadline is how long an engine may take to begin an answer.
func firstTokenDeadline(t table.Target) time.Duration {
	return progress(t.FirstToken, firstTokenSlack, minFirstToken, defaultFirstToken)
}

// betweenDeadline is how long an engine may pause within an answer.
func betweenDeadline(t table.Target) time.Duration {
	return progress(t.BetweenTokens, betweenTokensSlack, minBetweenTokens, defaultBetween)
}

// callDeadline bounds a call of a plain service.
func callDeadline(t table.Target) time.Duration {
	return progress(t.WholeAnswer, wholeAnswerSlack, 0, defaultCall)
}

func progress(target table.Duration, slack int, least, otherwise time.Duration) time.Duration {
	if target == 0 {
		return otherwise
	}
	return max(time.Duration(slack)*target.Std(), least)
}
