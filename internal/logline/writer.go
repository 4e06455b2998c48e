// Package logline writes log lines without blocking requests: lines pass
// through a bounded queue, and lines that do not fit are dropped and counted.
// It also limits the log volume, and collects the lines of one request from
// logs.
package logline

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the lines that wait to be written, maxQueued their bytes.
	queueCapacity = 1024
	maxQueued     = 1 << 20
)

// Writer queues lines for a goroutine that writes them. It is safe for
// concurrent use.
//
// If the process that reads the log stops reading, the pipe fills and writes to
// it block indefinitely. Only the writing goroutine waits for the pipe, so that
// the daemon goes on answering requests.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueued {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop(size)
	}
	return len(line), nil
}

func (w *Writer) drop(size int64) {
	w.queued.Add(-size)
	w.dropped.Add(1)
}

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// Errors are ignored: the process that reads the log is gone.
		_, _ = w.out.Write(line)
		w.queued.Add(-int64(len(line)))
	}
}

// Close writes the queued lines, for at most timeout. The writer must not be
// used afterwards.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
