package dispatch

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/retrybudget"
	"github.com/beechhead/beechhead/pkg/table"
)

// classTerms is the budget of a class for retries, hedges and resumes: under a
// tenth of its requests, and a few that a quiet class may always use.
var classTerms = retrybudget.Terms{Share: 0.09, Most: 100, Spare: 4, Refill: 0.2}

// budgets has the budget of each class. It is safe for concurrent use.
type budgets struct {
	clock clockwork.Clock

	mu      sync.Mutex
	byClass map[table.ClassName]*retrybudget.Budget
}

func newBudgets(clock clockwork.Clock) *budgets {
	return &budgets{clock: clock, byClass: map[table.ClassName]*retrybudget.Budget{}}
}

// of returns the budget of a class and adds one request's share to it.
func (b *budgets) of(name table.ClassName) *retrybudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.byClass[name]
	if one == nil {
		one = retrybudget.New(b.clock, classTerms)
		b.byClass[name] = one
	}
	one.Add()
	return one
}

// free tells whether a resume for this reason draws on no budget: the
// scheduler itself took the place back, and paces what it takes.
func free(reason outcome.Reason) bool { return reason == outcome.ReasonPreempted }

// mayRepeat tells whether a request may be sent once more over a new
// connection, because a reused one died or stayed silent. When an endpoint
// drops all its connections, that happens to every request that is on one, so
// it draws on the budget as a retry does.
func (d *Dispatcher) mayRepeat(b *retrybudget.Budget) bool {
	if !b.Take() {
		d.metrics.Inc("retryBudget.exhausted")
		return false
	}
	d.metrics.Retried(outcome.ReasonConnectionLost)
	return true
}
