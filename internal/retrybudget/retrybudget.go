// Package retrybudget bounds what is sent beyond the first time.
//
// Failure: when endpoints fail, each request is sent several times, and the
// load that this adds keeps the endpoints from recovering. The guard: what is
// sent beyond the first time is at most a share of the requests, plus a few
// that a quiet daemon may always use.
package retrybudget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Terms are the size of a budget.
type Terms struct {
	// Share is what each request adds; Most is the most that can be saved up.
	Share, Most float64
	// Spare is what there is at first; Refill of it comes back per second.
	Spare, Refill float64
}

// Budget is what may still be sent beyond the first time. It is safe for
// concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu    sync.Mutex
	terms Terms
	// earned is between 0 and Most, spare between 0 and Spare.
	earned, spare float64
	refilled      time.Time
}

// New returns a budget with its spare.
func New(clock clockwork.Clock, t Terms) *Budget {
	return &Budget{clock: clock, terms: t, spare: t.Spare, refilled: clock.Now()}
}

// Change sets other terms. What was saved up beyond them is lost.
func (b *Budget) Change(t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = t
	b.earned = min(b.earned, t.Most)
	b.spare = min(b.spare, t.Spare)
}

// Add adds one request's share.
func (b *Budget) Add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+b.terms.Share, b.terms.Most)
}

// Take uses one unit, if there is one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.spare = min(b.spare+b.terms.Refill*now.Sub(b.refilled).Seconds(), b.terms.Spare)
	b.refilled = now
	switch {
	case b.earned >= 1:
		b.earned--
	case b.spare >= 1:
		b.spare--
	default:
		return false
	}
	return true
}
