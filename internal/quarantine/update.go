package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/stat"
	"github.com/beechhead/beechhead/pkg/table"
)

// EndpointID is a hash of an endpoint's name that represents it in updates.
type EndpointID uint32

// EndpointIDOf returns the id of an endpoint.
func EndpointIDOf(name table.EndpointName) EndpointID {
	return EndpointID(xxhash.Sum64String(string(name)))
}

// Update is a message between daemons about one request.
type Update struct {
	Fingerprint Fingerprint
	// Terminated lists the endpoints that terminated during the request, in
	// ascending order.
	Terminated []EndpointID
	// Completed is set if an endpoint has completed the request.
	Completed bool
	// Age is the time since the last endpoint terminated.
	Age time.Duration
}

// sendsPerChange is how many times a daemon sends a change: about once to each
// of its partners, with some margin. Missed updates are still found by
// comparing digests.
const sendsPerChange = 10

// TakeUpdates returns up to n updates to send in one message.
func (l *List) TakeUpdates(n int) []Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.take(n)
	updates := make([]Update, 0, len(taken))
	for _, f := range taken {
		updates = append(updates, l.updateOf(f))
	}
	return updates
}

// All returns an update about every tracked request.
func (l *List) All() []Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	updates := make([]Update, 0, len(l.suspects))
	for f := range l.suspects {
		updates = append(updates, l.updateOf(f))
	}
	return updates
}

func (l *List) updateOf(f Fingerprint) Update {
	s := l.suspects[f]
	return Update{Fingerprint: f, Terminated: slices.Clone(s.endpoints), Completed: s.completed, Age: l.clock.Since(s.lastTermination)}
}

// Digest returns a hash of all tracked requests, or zero if there are none.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digestOfAll()
}

func (s *suspectRequest) hash(key uint64) uint64 {
	h := stat.Mix(key)
	for _, e := range s.endpoints {
		h = stat.Mix(h + uint64(e))
	}
	if s.completed {
		h++
	}
	return stat.Mix(h)
}
