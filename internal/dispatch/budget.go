package dispatch

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/retrybudget"
	"github.com/beechhead/beechhead/pkg/table"
)

// classBudget limits the retries, hedges and resumes of a class to less than a
// tenth of its requests, plus a small reserve that is always available to a
// class with little traffic.
var classBudget = retrybudget.Config{RetryRatio: 0.09, MaxEarned: 100, Reserve: 4, RefillPerSecond: 0.2}

// budgets holds the retry budget of each class. It is safe for concurrent use.
type budgets struct {
	clock clockwork.Clock

	mu      sync.Mutex
	byClass map[table.ClassName]*retrybudget.Budget
}

func newBudgets(clock clockwork.Clock) *budgets {
	return &budgets{clock: clock, byClass: map[table.ClassName]*retrybudget.Budget{}}
}

// forRequest credits the budget of a class with the share of one request and
// returns it.
func (b *budgets) forRequest(name table.ClassName) *retrybudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byClass[name]
	if budget == nil {
		budget = retrybudget.New(b.clock, classBudget)
		b.byClass[name] = budget
	}
	budget.Add()
	return budget
}

// exemptFromBudget reports whether a resume for this reason does not use the
// budget. Preemptions are decided by the scheduler, which limits their rate
// itself.
func exemptFromBudget(reason outcome.Reason) bool { return reason == outcome.ReasonPreempted }

// mayRepeat reports whether a request may be sent again over a new connection
// because a reused one was lost or stalled. It uses the retry budget like any
// retry, because an endpoint that drops all its connections causes a repeat of
// every request in flight on them.
func (d *Dispatcher) mayRepeat(b *retrybudget.Budget) bool {
	if !b.Take() {
		d.metrics.Inc("retryBudget.exhausted")
		return false
	}
	d.metrics.CountRetry(outcome.ReasonConnectionLost)
	return true
}
