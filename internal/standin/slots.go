package standin

import (
	"context"
	"slices"
	"sync"
	"time"
)

// slots are an engine's places, given to the lowest priority number first.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	waiting []*slotWaiter
	// lag is by how much reports are late; history has what they need.
	lag     time.Duration
	history []slotCounts
}

// slotCounts is the load from a moment on.
type slotCounts struct {
	at               time.Time
	running, waiting int
}

type slotWaiter struct {
	priority int
	ready    chan struct{}
}

func newSlots(n int, lag time.Duration) *slots { return &slots{free: n, lag: lag} }

func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// laggedCounts returns the counts as they were the lag ago.
func (s *slots) laggedCounts(now time.Time) (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lag == 0 {
		return s.running, len(s.waiting)
	}
	s.forget(now)
	if len(s.history) == 0 || s.history[0].at.After(now.Add(-s.lag)) {
		return 0, 0
	}
	return s.history[0].running, s.history[0].waiting
}

// note remembers the counts after a change.
func (s *slots) note() {
	if s.lag == 0 {
		return
	}
	now := time.Now()
	s.history = append(s.history, slotCounts{at: now, running: s.running, waiting: len(s.waiting)})
	s.forget(now)
}

// forget drops all that is older than the lag, but for the newest of it.
func (s *slots) forget(now time.Time) {
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-s.lag)) {
		s.history = s.history[1:]
	}
}

// acquire waits for a place.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.note()
		s.mu.Unlock()
		return nil
	}
	w := &slotWaiter{priority: priority, ready: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	slices.SortStableFunc(s.waiting, func(a, b *slotWaiter) int { return a.priority - b.priority })
	s.note()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.withdraw(w)
		return ctx.Err()
	}
}

// withdraw gives up waiting. A place that came in the meantime is given back.
func (s *slots) withdraw(w *slotWaiter) {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.note()
	}
	s.mu.Unlock()
	if i < 0 {
		s.release()
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.note()
	if len(s.waiting) == 0 {
		s.free++
		s.running--
		return
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(w.ready)
}
