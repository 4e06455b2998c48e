package logline

import (
	"context"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"
)

// Bounds of the volume, per second and daemon.
const (
	// routineRequests is how many requests have their routine decisions
	// logged. All lines of a request are logged or none.
	routineRequests = 3
	// linesOfAKind bounds the lines with the same message.
	linesOfAKind = 40
)

// Sampler picks the requests whose routine decisions are logged. It is safe
// for concurrent use.
type Sampler struct {
	clock clockwork.Clock

	mu      sync.Mutex
	second  int64
	picked  int
	leftOut int64
}

// NewSampler returns a sampler.
func NewSampler(clock clockwork.Clock) *Sampler { return &Sampler{clock: clock} }

// Pick tells whether a new request's routine decisions are to be logged.
func (s *Sampler) Pick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now().Unix(); now != s.second {
		s.second, s.picked = now, 0
	}
	if s.picked >= routineRequests {
		s.leftOut++
		return false
	}
	s.picked++
	return true
}

// LeftOut returns how many requests were not picked.
func (s *Sampler) LeftOut() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leftOut
}

// Limiter passes on records to a handler, but no more than linesOfAKind with
// the same message in a second. The first line of a later second says how many
// were left out.
type Limiter struct {
	slog.Handler
	kinds *kinds
}

// kinds counts lines by message. It is safe for concurrent use.
type kinds struct {
	clock clockwork.Clock

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	second  int64
	written int
	leftOut int64
}

// NewLimiter returns a limiter in front of a handler.
func NewLimiter(clock clockwork.Clock, next slog.Handler) *Limiter {
	return &Limiter{Handler: next, kinds: &kinds{clock: clock, kinds: map[string]*kind{}}}
}

// Handle passes a record on unless there were too many of its kind.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	leftOut, ok := l.kinds.take(r.Message)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int64("leftOutBefore", leftOut))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a limiter that shares the counts.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{Handler: l.Handler.WithAttrs(attrs), kinds: l.kinds}
}

// WithGroup returns a limiter that shares the counts.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{Handler: l.Handler.WithGroup(name), kinds: l.kinds}
}

// take counts a line. It returns whether it may be written and how many of its
// kind were left out since the last one that was.
func (k *kinds) take(message string) (leftOut int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	one := k.kinds[message]
	if one == nil {
		one = &kind{}
		k.kinds[message] = one
	}
	if now := k.clock.Now().Unix(); now != one.second {
		one.second, one.written = now, 0
	}
	if one.written >= linesOfAKind {
		one.leftOut++
		return 0, false
	}
	one.written++
	leftOut, one.leftOut = one.leftOut, 0
	return leftOut, true
}
