package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// recently is the age up to which a sign of an endpoint shows that it is not silent.
	recently = minSilence / 2
	// minShared is the number of silent endpoints from which on a silence may be shared,
	// sharedRatio how many times the number of the others they must exceed.
	minShared   = 2
	sharedRatio = 2
)

// silences knows which endpoints are silent at the moment. Its zero value is ready for
// use. It is safe for concurrent use.
type silences struct {
	mu        sync.Mutex
	endpoints map[table.EndpointName]*heard
	pools     map[table.Pool]*poolHeard
}

// poolHeard is what was heard from the endpoints of a pool, in nanoseconds since 1970.
type poolHeard struct {
	// at is when one of them has last sent something, wentOn when one has last done so after
	// it was quiet.
	at, wentOn atomic.Int64
}

// heard is what was heard from an endpoint of which responses are awaited.
type heard struct {
	silences *silences
	name     table.EndpointName
	pool     table.Pool
	// at is when the endpoint has last sent something, in nanoseconds since 1970.
	at     atomic.Int64
	ofPool *poolHeard
	// calls counts the responses that are awaited, quiet those that are late. Both are
	// guarded by silences.mu.
	calls, quiet int
}

// begin records that a response of an endpoint is awaited.
func (s *silences) begin(e *table.Endpoint) *heard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints == nil {
		s.endpoints, s.pools = map[table.EndpointName]*heard{}, map[table.Pool]*poolHeard{}
	}
	if s.pools[e.Pool] == nil {
		s.pools[e.Pool] = new(poolHeard)
	}
	h := s.endpoints[e.Name]
	if h == nil {
		h = &heard{silences: s, name: e.Name, pool: e.Pool, ofPool: s.pools[e.Pool]}
		s.endpoints[e.Name] = h
	}
	h.calls++
	return h
}

// end records that a response is no longer awaited.
func (h *heard) end() {
	h.silences.mu.Lock()
	defer h.silences.mu.Unlock()
	if h.calls--; h.calls == 0 {
		delete(h.silences.endpoints, h.name)
	}
}

// record records that the endpoint has sent something; wentOn reports whether it was quiet
// before.
func (h *heard) record(now time.Time, wentOn bool) {
	h.at.Store(now.UnixNano())
	h.ofPool.at.Store(now.UnixNano())
	if wentOn {
		h.ofPool.wentOn.Store(now.UnixNano())
	}
}

func (h *heard) addQuiet(n int) {
	h.silences.mu.Lock()
	defer h.silences.mu.Unlock()
	h.quiet += n
}

// silent returns the endpoints of a pool from which a response is late and nothing was
// heard recently.
func (s *silences) silent(pool table.Pool, now time.Time) (names []table.EndpointName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.endpoints {
		if h.pool == pool && h.isSilent(now) {
			names = append(names, name)
		}
	}
	return names
}

// isShared reports whether most endpoints of a pool are silent that this daemon knows
// about, or whether one that was silent as well has just gone on.
func (s *silences) isShared(pool table.Pool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[pool]
	if p == nil {
		return false
	}
	silent, active := 0, 0
	for _, h := range s.endpoints {
		switch {
		case h.pool != pool:
		case h.isSilent(now):
			silent++
		case isWithin(&h.at, now, recently):
			active++
		}
	}
	if active == 0 && isWithin(&p.at, now, recently) {
		active = 1
	}
	return isWithin(&p.wentOn, now, hedgeInterval) || silent >= minShared && silent > sharedRatio*active
}

// isSilent requires silences.mu.
func (h *heard) isSilent(now time.Time) bool {
	return h.quiet > 0 && !isWithin(&h.at, now, recently)
}

// isWithin reports whether a time in nanoseconds since 1970 is at most d ago.
func isWithin(at *atomic.Int64, now time.Time, d time.Duration) bool {
	return now.UnixNano()-at.Load() <= int64(d)
}
