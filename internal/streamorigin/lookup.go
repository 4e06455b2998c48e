package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/platform"
)

// Lookup reads the history for requests that resume streams. Requests that arrive while a
// read is awaited share it. It is safe for concurrent use.
type Lookup struct {
	Clock clockwork.Clock
	// Read returns all rows of the table.
	Read func(ctx context.Context) (platform.Rows, error)
	// Unrecorded returns origins at which streams may have begun and that may not be
	// recorded, as of a moment after the call.
	Unrecorded func(ctx context.Context) ([]Origin, error)
	// Interval returns the minimum time between the starts of two reads.
	Interval func() time.Duration

	mu sync.Mutex
	// next is the read that has not started yet; nil if none is awaited.
	next *read
	// startedAt is when the last read started.
	startedAt time.Time
}

// read is a read of the history. The other fields are set when done is closed.
type read struct {
	done    chan struct{}
	history *History
	err     error
}

// History returns the history as of a moment after the call.
func (l *Lookup) History(ctx context.Context) (*History, error) {
	r := l.join(ctx)
	select {
	case <-r.done:
		return r.history, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns a read that has not started yet. Others may wait for it longer than ctx
// lasts.
func (l *Lookup) join(ctx context.Context) *read {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = &read{done: make(chan struct{})}
		go l.run(context.WithoutCancel(ctx), l.next, l.startedAt.Add(l.Interval()))
	}
	return l.next
}

// run starts a read at a time, or at once if that has passed.
func (l *Lookup) run(ctx context.Context, r *read, at time.Time) {
	defer close(r.done)
	if wait := at.Sub(l.Clock.Now()); wait > 0 {
		<-l.Clock.After(wait)
	}
	l.mu.Lock()
	l.next, l.startedAt = nil, l.Clock.Now()
	l.mu.Unlock()
	unrecorded, err := l.Unrecorded(ctx)
	if err != nil {
		r.err = err
		return
	}
	rows, err := l.Read(ctx)
	if err != nil {
		r.err = err
		return
	}
	r.history = NewHistory(rows)
	r.history.add(unrecorded)
}
