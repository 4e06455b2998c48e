package peer

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// outbox collects messages while an earlier one is being sent, so that a busy
// stream carries a few large batches.
type outbox[M proto.Message] struct {
	mu     sync.Mutex
	queue  []M
	closed bool
	// wake is buffered for one signal, so that put never blocks.
	wake chan struct{}
}

func newOutbox[M proto.Message]() *outbox[M] {
	return &outbox[M]{wake: make(chan struct{}, 1)}
}

func (b *outbox[M]) put(m M) {
	b.mu.Lock()
	b.queue = append(b.queue, m)
	b.mu.Unlock()
	b.signal()
}

func (b *outbox[M]) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.signal()
}

func (b *outbox[M]) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *outbox[M]) take() (queue []M, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue, b.queue = b.queue, nil
	return queue, b.closed
}

// drain merges and sends queued messages until the outbox is closed, the context
// is done or a send fails. Closing it sends what is still queued.
func (b *outbox[M]) drain(ctx context.Context, merge func([]M) M, send func(M) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		queue, closed := b.take()
		if len(queue) > 0 {
			if err := send(merge(queue)); err != nil {
				return err
			}
		}
		if closed {
			return nil
		}
	}
}

func mergeResponses(queue []*peerv1.ReservationsResponse) *peerv1.ReservationsResponse {
	first := queue[0]
	for _, m := range queue[1:] {
		first.Grants = append(first.Grants, m.GetGrants()...)
		first.Refusals = append(first.Refusals, m.GetRefusals()...)
		first.Preempts = append(first.Preempts, m.GetPreempts()...)
		first.Pressures = append(first.Pressures, m.GetPressures()...)
		first.Estimates = append(first.Estimates, m.GetEstimates()...)
		first.Acked = max(first.GetAcked(), m.GetAcked())
		first.Reset_ = first.GetReset_() || m.GetReset_()
	}
	return first
}

func mergeRequests(queue []*peerv1.ReservationsRequest) *peerv1.ReservationsRequest {
	first := queue[0]
	for _, m := range queue[1:] {
		first.Reserves = append(first.Reserves, m.GetReserves()...)
		first.Releases = append(first.Releases, m.GetReleases()...)
		first.Cancels = append(first.Cancels, m.GetCancels()...)
		first.Holdings = append(first.Holdings, m.GetHoldings()...)
		first.Progress = append(first.Progress, m.GetProgress()...)
		first.Reported = append(first.Reported, m.GetReported()...)
		first.Limits = append(first.Limits, m.GetLimits()...)
		first.Estimates = append(first.Estimates, m.GetEstimates()...)
		first.HoldingsComplete = first.GetHoldingsComplete() || m.GetHoldingsComplete()
		first.Batch = max(first.GetBatch(), m.GetBatch())
	}
	return first
}
