package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// suspect holds what is known of a key under which endpoints have terminated.
type suspect interface {
	// terminations returns the number of recorded terminations.
	terminations() int
	// expiresAt returns when the suspect is forgotten.
	expiresAt() time.Time
	// hash returns a hash of a key and what daemons exchange about it.
	hash(key uint64) uint64
}

// tracker holds a bounded number of suspects and which of them are to be told to other
// daemons. It is not safe for concurrent use.
type tracker[K ~uint64, S suspect] struct {
	clock clockwork.Clock
	wake  chan struct{}

	suspects map[K]S
	// pending holds how many more times the update about a suspect is to be sent;
	// always positive.
	pending map[K]int
	// digest is the digest of the suspects, valid unless digestStale is set.
	digest      uint64
	digestStale bool
	// sweepAt is not later than the earliest expiry of a suspect; zero if there are no
	// suspects.
	sweepAt time.Time
}

func newTracker[K ~uint64, S suspect](clock clockwork.Clock) tracker[K, S] {
	return tracker[K, S]{clock: clock, wake: make(chan struct{}, 1), suspects: map[K]S{}, pending: map[K]int{}}
}

// Wake returns a channel that receives a value when there are updates to be sent
// immediately.
func (t *tracker[K, S]) Wake() <-chan struct{} { return t.wake }

// changed records that a suspect has changed.
func (t *tracker[K, S]) changed(k K, s S) {
	t.pending[k] = sendsPerChange
	t.digestStale = true
	t.evictExcess()
	t.scheduleSweep(s)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// evictExcess evicts the suspect with the fewest terminations if there are too many.
// The choice does not depend on the order of updates, so that daemons that have
// received the same updates track the same suspects.
func (t *tracker[K, S]) evictExcess() {
	if len(t.suspects) <= maxSuspects {
		return
	}
	var least K
	fewest := -1
	for k, s := range t.suspects {
		if n := s.terminations(); fewest < 0 || n < fewest || n == fewest && k < least {
			least, fewest = k, n
		}
	}
	t.remove(least)
}

func (t *tracker[K, S]) remove(k K) {
	delete(t.suspects, k)
	delete(t.pending, k)
	t.digestStale = true
}

// scheduleSweep makes the next sweep happen no later than the suspect expires.
func (t *tracker[K, S]) scheduleSweep(s S) {
	if at := s.expiresAt(); t.sweepAt.IsZero() || at.Before(t.sweepAt) {
		t.sweepAt = at
	}
}

// sweep removes the expired suspects.
func (t *tracker[K, S]) sweep() {
	now := t.clock.Now()
	if t.sweepAt.IsZero() || now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = time.Time{}
	for k, s := range t.suspects {
		if now.Before(s.expiresAt()) {
			t.scheduleSweep(s)
			continue
		}
		t.remove(k)
	}
}

// take returns up to n suspects to tell in one message. Those with the most
// terminations come first, then those told the fewest times.
func (t *tracker[K, S]) take(n int) []K {
	t.sweep()
	pending := make([]K, 0, len(t.pending))
	for k := range t.pending {
		pending = append(pending, k)
	}
	slices.SortFunc(pending, func(a, b K) int {
		return cmp.Or(
			cmp.Compare(t.suspects[b].terminations(), t.suspects[a].terminations()),
			cmp.Compare(t.pending[b], t.pending[a]),
			cmp.Compare(a, b))
	})
	pending = pending[:min(n, len(pending))]
	for _, k := range pending {
		if t.pending[k]--; t.pending[k] == 0 {
			delete(t.pending, k)
		}
	}
	return pending
}

// digestOfAll returns a hash of all suspects, or zero if there are none.
func (t *tracker[K, S]) digestOfAll() uint64 {
	t.sweep()
	if !t.digestStale {
		return t.digest
	}
	t.digestStale, t.digest = false, 0
	for k, s := range t.suspects {
		t.digest ^= s.hash(uint64(k))
	}
	return t.digest
}
