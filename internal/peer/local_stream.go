package peer

import (
	"context"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// LocalStream carries the reservations of a daemon at itself, as a Stream carries
// those at another daemon.
type LocalStream struct {
	box    *outbox[*peerv1.ReservationsRequest]
	cancel context.CancelFunc
	done   chan struct{}
}

// NewLocalStream returns a stream that passes its batches to handle and calls
// closed when it has ended.
func NewLocalStream(handle func(*peerv1.ReservationsRequest), closed func()) *LocalStream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &LocalStream{box: newOutbox[*peerv1.ReservationsRequest](), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer closed()
		_ = s.box.drain(ctx, mergeRequests, func(req *peerv1.ReservationsRequest) error {
			handle(req)
			return nil
		})
	}()
	return s
}

// Send queues a batch without blocking.
func (s *LocalStream) Send(req *peerv1.ReservationsRequest) { s.box.put(req) }

// Done returns a channel that is closed when the stream has ended.
func (s *LocalStream) Done() <-chan struct{} { return s.done }

// Close ends the stream.
func (s *LocalStream) Close() { s.cancel() }
