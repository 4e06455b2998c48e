// Package responsetime tracks how soon the endpoints of a pool respond at the earliest.
// It does no input or output.
package responsetime

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// span is how long a response is taken into account at least; at most twice as long.
	span = 30 * time.Second
	// minSamples is the number of responses from which on the earliest one counts.
	minSamples = 5
	// margin divides the shortest time: a request may be shorter than those before.
	margin = 2
)

// Floor holds the shortest time to a response of each pool. The zero value is empty.
// It is safe for concurrent use.
type Floor struct {
	mu    sync.Mutex
	pools map[table.Pool]*shortest
}

// shortest holds the shortest times of the present span and of the one before.
type shortest struct {
	began           time.Time
	current, before minimum
}

type minimum struct {
	took    time.Duration
	samples int
}

func (m *minimum) add(took time.Duration) {
	if m.samples == 0 || took < m.took {
		m.took = took
	}
	m.samples++
}

// Observe records the time to a response.
func (f *Floor) Observe(pool table.Pool, now time.Time, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pools == nil {
		f.pools = map[table.Pool]*shortest{}
	}
	s := f.pools[pool]
	if s == nil {
		s = &shortest{began: now}
		f.pools[pool] = s
	}
	s.rotate(now)
	s.current.add(took)
}

// rotate begins a new span if the present one has passed.
func (s *shortest) rotate(now time.Time) {
	switch passed := now.Sub(s.began); {
	case passed >= 2*span:
		*s = shortest{began: now}
	case passed >= span:
		s.began, s.before, s.current = now, s.current, minimum{}
	}
}

// IsTooSoon reports whether no endpoint of a pool has lately responded within twice the
// time. It is false while too few responses are known.
func (f *Floor) IsTooSoon(pool table.Pool, now time.Time, after time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.pools[pool]
	if s == nil {
		return false
	}
	s.rotate(now)
	if s.current.samples+s.before.samples < minSamples {
		return false
	}
	for _, m := range []minimum{s.current, s.before} {
		if m.samples > 0 && m.took <= margin*after {
			return false
		}
	}
	return true
}
