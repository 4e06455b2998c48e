package logline

import (
	"context"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"
)

// Limits of the log volume, per second and daemon.
const (
	// sampledPerSecond is the number of requests whose routine decisions are
	// logged. Either all lines of a request are logged or none.
	sampledPerSecond = 3
	// maxLinesPerMessage bounds the number of lines with the same message.
	maxLinesPerMessage = 40
	// maxEvidenceLines bounds it for messages that show why an outcome was believed.
	maxEvidenceLines = 400
)

// evidence are the messages that show why the outcome of a request was believed.
var evidence = map[string]bool{
	"attempts": true, "unexpected data on an idle connection": true, "refused as not run": true,
	"request id repeated": true,
}

// maxLines returns the bound on the lines with a message, per second.
func maxLines(message string) int {
	if evidence[message] {
		return maxEvidenceLines
	}
	return maxLinesPerMessage
}

// Sampler selects the requests whose routine decisions are logged. It is safe
// for concurrent use.
type Sampler struct {
	clock clockwork.Clock

	mu      sync.Mutex
	second  int64
	sampled int
	leftOut int64
}

// NewSampler returns a sampler.
func NewSampler(clock clockwork.Clock) *Sampler { return &Sampler{clock: clock} }

// Sample reports whether the routine decisions of a new request are to be
// logged.
func (s *Sampler) Sample() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now().Unix(); now != s.second {
		s.second, s.sampled = now, 0
	}
	if s.sampled >= sampledPerSecond {
		s.leftOut++
		return false
	}
	s.sampled++
	return true
}

// LeftOut returns the number of requests that were not selected.
func (s *Sampler) LeftOut() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leftOut
}

// Limiter passes records to the next handler, but at most maxLines per second
// with the same message. The first line with that message in a later
// second holds the number of suppressed lines in the attribute leftOutBefore.
type Limiter struct {
	slog.Handler
	counts *messageCounts
}

// messageCounts counts lines by message. It is safe for concurrent use.
type messageCounts struct {
	clock clockwork.Clock

	mu        sync.Mutex
	byMessage map[string]*messageCount
}

type messageCount struct {
	second  int64
	written int
	leftOut int64
}

// NewLimiter returns a limiter in front of the handler next.
func NewLimiter(clock clockwork.Clock, next slog.Handler) *Limiter {
	return &Limiter{Handler: next, counts: &messageCounts{clock: clock, byMessage: map[string]*messageCount{}}}
}

// Handle passes a record to the next handler unless the limit for its message
// is reached.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	leftOut, ok := l.counts.allow(r.Message)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int64("leftOutBefore", leftOut))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a limiter that shares the line counts.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{Handler: l.Handler.WithAttrs(attrs), counts: l.counts}
}

// WithGroup returns a limiter that shares the line counts.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{Handler: l.Handler.WithGroup(name), counts: l.counts}
}

// allow counts a line. It returns whether the line may be written and how many
// lines with the same message were suppressed since the last one written.
func (k *messageCounts) allow(message string) (leftOut int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := k.byMessage[message]
	if count == nil {
		count = &messageCount{}
		k.byMessage[message] = count
	}
	if now := k.clock.Now().Unix(); now != count.second {
		count.second, count.written = now, 0
	}
	if count.written >= maxLines(message) {
		count.leftOut++
		return 0, false
	}
	count.written++
	leftOut, count.leftOut = count.leftOut, 0
	return leftOut, true
}
