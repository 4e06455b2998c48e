package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of the breaker.
const (
	// tripAfter is how many failures in a row open the breaker.
	tripAfter = 5
	// firstPause and maxPause bound the time for which it stays open. It
	// doubles with each failed probe.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// recovered is how many calls at once end the recovery.
	recovered = 32
)

// breaker keeps calls from a platform that fails, and lets them return step
// by step: when a store comes back, every daemon has work saved up, and all of
// it at once would bring the store down again. After a jittered pause one call
// goes through; each success doubles how many may run at once.
type breaker struct {
	clock clockwork.Clock
	// random is in [0, 1).
	random func() float64

	mu sync.Mutex
	// failures counts failures in a row while closed.
	failures int
	// epoch grows with each trip, so that calls from before don't count.
	epoch int
	// open is true from the trip until the recovery is complete.
	open bool
	// until is the end of the pause.
	until time.Time
	pause time.Duration
	// allowed and running count calls during the recovery.
	allowed int
	running int
}

func newBreaker(clock clockwork.Clock) *breaker {
	return &breaker{clock: clock, random: rand.Float64}
}

// enter asks to make a call. The result is told with the epoch returned.
func (b *breaker) enter() (epoch int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return b.epoch, true
	}
	if b.clock.Now().Before(b.until) || b.running >= b.allowed {
		return b.epoch, false
	}
	b.running++
	return b.epoch, true
}

// result is how a call ended, as far as the breaker is concerned.
type result int

const (
	succeeded result = iota
	failed
	// cancelled says nothing about the platform.
	cancelled
)

// leave ends a call.
func (b *breaker) leave(epoch int, r result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch != b.epoch {
		return
	}
	if b.open {
		b.running--
		b.recover(r)
		return
	}
	switch r {
	case succeeded:
		b.failures = 0
	case failed:
		b.failures++
		if b.failures >= tripAfter {
			b.pause = firstPause
			b.trip()
		}
	}
}

func (b *breaker) recover(r result) {
	switch r {
	case succeeded:
		b.allowed *= 2
		if b.allowed > recovered {
			b.open = false
			b.failures = 0
			b.epoch++
		}
	case failed:
		b.pause = min(2*b.pause, maxPause)
		b.trip()
	}
}

// trip opens the breaker for half to all of the pause.
func (b *breaker) trip() {
	b.epoch++
	b.open = true
	b.running = 0
	b.allowed = 1
	half := b.pause / 2
	b.until = b.clock.Now().Add(half + time.Duration(b.random()*float64(half)))
}
