// Package retrybudget limits the number of retries.
//
// Without a limit, failing endpoints cause a retry storm: each request is sent
// several times, and the added load keeps the endpoints from recovering. A budget
// limits the retries to a share of the requests, plus a small reserve, so that a
// daemon with few requests can retry too.
package retrybudget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Terms are the parameters of a budget.
type Terms struct {
	// Share is the number of retries that each request earns. Most is the
	// maximum number of earned retries that can accumulate.
	Share, Most float64
	// Spare is the size of the reserve, which is full at first. Refill is the
	// number of retries by which the reserve is refilled per second.
	Spare, Refill float64
}

// Budget counts the retries that are still allowed. It is safe for concurrent
// use.
type Budget struct {
	clock clockwork.Clock

	mu    sync.Mutex
	terms Terms
	// earned holds the retries earned by requests, between 0 and Most; reserve
	// holds those of the reserve, between 0 and Spare.
	earned, reserve float64
	refilled        time.Time
}

// New returns a budget with a full reserve.
func New(clock clockwork.Clock, t Terms) *Budget {
	return &Budget{clock: clock, terms: t, reserve: t.Spare, refilled: clock.Now()}
}

// Change replaces the terms. Retries in excess of the new limits are lost.
func (b *Budget) Change(t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = t
	b.earned = min(b.earned, t.Most)
	b.reserve = min(b.reserve, t.Spare)
}

// Add adds the share that one request earns.
func (b *Budget) Add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+b.terms.Share, b.terms.Most)
}

// Take takes one retry from the budget, first from the earned ones, then from the
// reserve. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.reserve = min(b.reserve+b.terms.Refill*now.Sub(b.refilled).Seconds(), b.terms.Spare)
	b.refilled = now
	switch {
	case b.earned >= 1:
		b.earned--
	case b.reserve >= 1:
		b.reserve--
	default:
		return false
	}
	return true
}
