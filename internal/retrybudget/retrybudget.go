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

// Config holds the parameters of a budget.
type Config struct {
	// RetryRatio is the number of retries that each request earns. MaxEarned is
	// the maximum number of earned retries that can accumulate.
	RetryRatio, MaxEarned float64
	// Reserve is the size of the reserve, which is full at first.
	// RefillPerSecond is the number of retries by which it is refilled per
	// second.
	Reserve, RefillPerSecond float64
}

// Budget counts the retries that are still allowed. It is safe for concurrent
// use.
type Budget struct {
	clock clockwork.Clock

	mu     sync.Mutex
	config Config
	// earned holds the retries earned by requests, between 0 and MaxEarned;
	// reserve holds those of the reserve, between 0 and Reserve.
	earned, reserve float64
	refilled        time.Time
}

// New returns a budget with a full reserve.
func New(clock clockwork.Clock, t Config) *Budget {
	return &Budget{clock: clock, config: t, reserve: t.Reserve, refilled: clock.Now()}
}

// SetConfig replaces the parameters. Retries in excess of the new limits are lost.
func (b *Budget) SetConfig(t Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = t
	b.earned = min(b.earned, t.MaxEarned)
	b.reserve = min(b.reserve, t.Reserve)
}

// Add adds the share that one request earns.
func (b *Budget) Add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+b.config.RetryRatio, b.config.MaxEarned)
}

// Return gives back a retry that was taken and not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+1, max(b.config.MaxEarned, 1))
}

// Take takes one retry from the budget, first from the earned ones, then from the
// reserve. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.reserve = min(b.reserve+b.config.RefillPerSecond*now.Sub(b.refilled).Seconds(), b.config.Reserve)
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
