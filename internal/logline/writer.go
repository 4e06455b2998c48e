// Package logline writes log lines without ever making a request wait: they
// pass through a bounded queue, and what does not fit is counted and left out.
// It also decides which requests have their routine decisions logged.
package logline

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait to be written. At a few hundred bytes
// a line it holds less than half a megabyte.
const queueLines = 1024

// Writer queues lines for a goroutine that writes them. It is safe for
// concurrent use.
//
// Failure: whatever reads the log stops reading, the pipe fills, and a write
// blocks for good; a daemon that logs as it answers stands still. The guard:
// only the goroutine ever waits for the pipe.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// An error means that nobody reads the log any longer.
		_, _ = w.out.Write(line)
	}
}

// Close writes what is queued, for at most that long. The writer must not be
// used afterwards.
func (w *Writer) Close(most time.Duration) {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(most):
	}
}
