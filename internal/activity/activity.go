// Package activity tracks which endpoints are silent at the moment, and whether most of a
// pool are. Silence that most endpoints share says nothing about one of them, and another
// one would be silent to a second attempt as well.
package activity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// Recently is the age up to which data from an endpoint shows that it is not silent.
	Recently = 600 * time.Millisecond
	// AskInterval is the time after which it is asked again whether a silence is shared. An
	// endpoint that has gone on within it shows that the others may do so as well.
	AskInterval = 250 * time.Millisecond
	// SharedFactor is the multiple of the time after which an endpoint counts as silent for
	// which a silence that others share is waited out.
	SharedFactor = 2
	// minShared is the number of silent endpoints from which on a silence may be shared,
	// sharedRatio how many times the number of the others they must exceed.
	minShared   = 2
	sharedRatio = 2
)

// Tracker tracks which endpoints are silent at the moment. Its zero value is ready for
// use. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[table.EndpointName]*Endpoint
	pools     map[table.Pool]*poolActivity
	// base is the time from which times are counted. It is before all of them, and has a
	// monotonic reading, so that steps of the time of day change nothing.
	base time.Time
}

// longAgo is longer than any time that is compared.
const longAgo = time.Hour

// poolActivity holds when the endpoints of a pool last sent data, in nanoseconds since
// Tracker.base.
type poolActivity struct {
	// at is when one of them has last sent something, wentOn when one has last done so after
	// it was silent.
	at, wentOn atomic.Int64
}

// Endpoint records the activity of an endpoint whose responses are awaited.
type Endpoint struct {
	tracker *Tracker
	name    table.EndpointName
	pool    table.Pool
	// at is when the endpoint has last sent something, in nanoseconds since Tracker.base.
	at     atomic.Int64
	ofPool *poolActivity
	// calls counts the responses that are awaited, late those that are late. Both are
	// guarded by Tracker.mu.
	calls, late int
}

// Begin records that a response of an endpoint is awaited.
func (t *Tracker) Begin(e *table.Endpoint, now time.Time) *Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endpoints == nil {
		t.base = now.Add(-longAgo)
		t.endpoints, t.pools = map[table.EndpointName]*Endpoint{}, map[table.Pool]*poolActivity{}
	}
	if t.pools[e.Pool] == nil {
		t.pools[e.Pool] = new(poolActivity)
	}
	h := t.endpoints[e.Name]
	if h == nil {
		h = &Endpoint{tracker: t, name: e.Name, pool: e.Pool, ofPool: t.pools[e.Pool]}
		t.endpoints[e.Name] = h
	}
	h.calls++
	return h
}

// End records that a response is no longer awaited.
func (h *Endpoint) End() {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	if h.calls--; h.calls == 0 {
		delete(h.tracker.endpoints, h.name)
	}
}

// Record records that the endpoint has sent something; wentOn reports whether it was
// silent before.
func (h *Endpoint) Record(now time.Time, wentOn bool) {
	at := int64(now.Sub(h.tracker.base))
	h.at.Store(at)
	h.ofPool.at.Store(at)
	if wentOn {
		h.ofPool.wentOn.Store(at)
	}
}

// IsAwaited reports whether a response of an endpoint is awaited.
func (t *Tracker) IsAwaited(name table.EndpointName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints[name] != nil
}

// AddLate adds to the number of responses of the endpoint that are late.
func (h *Endpoint) AddLate(n int) {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	h.late += n
}

// Silent returns the endpoints of a pool from which a response is late and nothing was
// heard Recently.
func (t *Tracker) Silent(pool table.Pool, now time.Time) (names []table.EndpointName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, h := range t.endpoints {
		if h.pool == pool && h.isSilent(now) {
			names = append(names, name)
		}
	}
	return names
}

// IsShared reports whether most endpoints of a pool are silent that this daemon knows
// about, or whether one that was silent as well has just gone on.
func (t *Tracker) IsShared(pool table.Pool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return false
	}
	silent, active := 0, 0
	for _, h := range t.endpoints {
		switch {
		case h.pool != pool:
		case h.isSilent(now):
			silent++
		case t.isWithin(&h.at, now, Recently):
			active++
		}
	}
	if active == 0 && t.isWithin(&p.at, now, Recently) {
		active = 1
	}
	return silent >= minShared && (silent > sharedRatio*active || t.isWithin(&p.wentOn, now, AskInterval))
}

// isSilent requires Tracker.mu.
func (h *Endpoint) isSilent(now time.Time) bool {
	return h.late > 0 && !h.tracker.isWithin(&h.at, now, Recently)
}

// isWithin reports whether a time in nanoseconds since base is at most d ago.
func (t *Tracker) isWithin(at *atomic.Int64, now time.Time, d time.Duration) bool {
	return now.Sub(t.base)-time.Duration(at.Load()) <= d
}
