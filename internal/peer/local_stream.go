package peer

import (
	"context"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// Queue carries the reservations of a daemon at itself, as a Stream carries those
// at another daemon.
type Queue struct {
	box    *outbox[*peerv1.ReservationsRequest]
	cancel context.CancelFunc
	done   chan struct{}
}

// NewQueue returns a queue that passes its batches to handle and calls closed when
// it has ended.
func NewQueue(handle func(*peerv1.ReservationsRequest), closed func()) *Queue {
	ctx, cancel := context.WithCancel(context.Background())
	q := &Queue{box: newOutbox[*peerv1.ReservationsRequest](), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(q.done)
		defer closed()
		_ = q.box.drain(ctx, mergeRequests, func(req *peerv1.ReservationsRequest) error {
			handle(req)
			return nil
		})
	}()
	return q
}

// Send queues a batch without blocking.
func (q *Queue) Send(req *peerv1.ReservationsRequest) { q.box.put(req) }

// Done returns a channel that is closed when the queue has ended.
func (q *Queue) Done() <-chan struct{} { return q.done }

// Close ends the queue.
func (q *Queue) Close() { q.cancel() }
