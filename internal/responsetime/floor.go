// Package responsetime tracks how soon the endpoints of a pool respond at the earliest.
// It does no input or output.
package responsetime

import (
	"sync"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// span is the time after which a response is no longer taken into account, at
	// twice of which it surely is not.
	span = 30 * time.Second
	// minSamples is the number of responses from which on the earliest one counts.
	minSamples = 5
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
	if now.Sub(s.began) >= span {
		s.began, s.before, s.current = now, s.current, minimum{}
	}
	s.current.add(took)
}

// IsTooSoon reports whether no endpoint of a pool has lately responded as soon as this.
// It is false while too few responses are known.
func (f *Floor) IsTooSoon(pool table.Pool, after time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.pools[pool]
	if s == nil || s.current.samples+s.before.samples < minSamples {
		return false
	}
	for _, m := range []minimum{s.current, s.before} {
		if m.samples > 0 && m.took <= after {
			return false
		}
	}
	return true
}
