package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Use is the purpose of a call of the platform. Each use has its own budget, so
// that none can take the store's whole capacity from the others.
type Use string

// The uses. The empty use has no budget.
const (
	UseClaims Use = "claims"
	UseTable  Use = "table"
	UseLeases Use = "leases"
	UseHosts  Use = "hosts"
)

// Share is a use's part of the store's capacity, per second, over all daemons.
type Share struct {
	// Reads counts rows and pages, Writes rows and objects.
	Reads  float64
	Writes float64
	// Floor is the number that each daemon may always spend, for uses that fall to a few
	// of the daemons and are bounded in sum by other means.
	Floor float64
}

// Shares divides the store's several hundred writes and about two thousand
// reads a second. The sum leaves a part for what is not ours.
var Shares = map[Use]Share{
	UseClaims: {Reads: 300, Writes: 200},
	UseTable:  {Reads: 600, Writes: 20},
	UseLeases: {Reads: 200, Writes: 60, Floor: 2},
	UseHosts:  {Reads: 400},
}

const (
	// skew is by how much a daemon may exceed an even part of a share, since
	// callers spread unevenly. If all did at once, the sum would exceed the
	// share by as much; then the breaker acts.
	skew = 4
	// burstTime is how long a daemon's unused share adds up.
	burstTime = 10 * time.Second
	// minBurst lets a small share still carry one larger call.
	minBurst = 32
)

// budgets limits the calls of each use to this daemon's part of its share.
type budgets struct {
	clock clockwork.Clock

	mu     sync.Mutex
	reads  map[Use]*rate.Limiter
	writes map[Use]*rate.Limiter
}

func newBudgets(clock clockwork.Clock) *budgets {
	b := &budgets{clock: clock, reads: map[Use]*rate.Limiter{}, writes: map[Use]*rate.Limiter{}}
	for use, share := range Shares {
		b.reads[use] = rate.NewLimiter(rate.Limit(share.Reads), burst(share.Reads))
		b.writes[use] = rate.NewLimiter(rate.Limit(share.Writes), burst(share.Writes))
	}
	return b
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond*burstTime.Seconds())) }

// divide sets this daemon's part to that of one of n.
func (b *budgets) divide(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for use, share := range Shares {
		setLimit(b.reads[use], now, share.part(share.Reads, n))
		setLimit(b.writes[use], now, share.part(share.Writes, n))
	}
}

// part is the share of one of n daemons in a whole, per second.
func (s Share) part(whole float64, n int) float64 {
	return min(whole, max(s.Floor, skew*whole/float64(n)))
}

func setLimit(l *rate.Limiter, now time.Time, perSecond float64) {
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(perSecond))
}

var errOverBudget = errors.Wrap(ErrNotAsked, "the use's budget is spent")

// wait waits until the use may spend n, or fails at once if that would take
// longer than the context lasts.
func (b *budgets) wait(ctx context.Context, use Use, write bool, n int) error {
	b.mu.Lock()
	l := b.reads[use]
	if write {
		l = b.writes[use]
	}
	b.mu.Unlock()
	if l == nil {
		return nil
	}
	now := b.clock.Now()
	r := l.ReserveN(now, n)
	if !r.OK() {
		return errOverBudget
	}
	delay := r.DelayFrom(now)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		r.CancelAt(now)
		return errOverBudget
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-b.clock.After(delay):
		return nil
	case <-ctx.Done():
		r.CancelAt(b.clock.Now())
		return errors.Wrap(ErrNotAsked, ctx.Err().Error())
	}
}
