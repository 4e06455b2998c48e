package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
)

const (
	// defaultMaxPendingBytes is the default of Store.MaxPendingBytes.
	defaultMaxPendingBytes = 32 << 20
	// retryInterval is the maximum time between rounds of retries. Jitter
	// shortens it by up to half.
	retryInterval = time.Second
	// retryBatch is the maximum number of writes in one round.
	retryBatch = 16
)

// finalWrite is the last write of a claim.
type finalWrite struct {
	key platform.Key
	// version is the row's version before the write. It is zero if it is not
	// known whether the claim was stored.
	version uint64
	record  Record
}

func (e *finalWrite) size() int {
	if e.record.Response == nil {
		return 0
	}
	return len(e.record.Response.Body)
}

// writeFinal stores a final write now, or queues it if that fails.
func (s *Store) writeFinal(ctx context.Context, e *finalWrite) {
	if err := s.storeFinal(ctx, e); err != nil {
		s.enqueue(e)
	}
}

// storeFinal stores a final write. If it returns nil, the write need not be
// retried.
func (s *Store) storeFinal(ctx context.Context, e *finalWrite) (err error) {
	record := e.record
	if e.size() > maxInlineBytes {
		record.Object = record.objectName()
		record.Response = nil
		// The object name contains the attempt id, so an existing object is
		// from an earlier try of this write.
		if err := s.client.PutObject(ctx, record.Object, encode(e.record.Response)); err != nil && !errors.Is(err, platform.ErrExists) {
			return err
		}
	}
	row, applied, err := s.writeRecord(ctx, e, &record)
	if err != nil {
		return err
	}
	if !applied && e.version == 0 {
		return s.releaseExisting(ctx, e, row)
	}
	if !applied {
		s.metrics.Inc("claim.lost")
		return nil
	}
	s.metrics.Inc("claim.ended." + string(record.State))
	return nil
}

// writeRecord writes the record over the expected version of the row.
func (s *Store) writeRecord(ctx context.Context, e *finalWrite, record *Record) (platform.Row, bool, error) {
	w := platform.Write{Key: e.key, Expect: e.version, Value: encode(record)}
	return s.client.Settle(ctx, w, func(row platform.Row) bool {
		stored, err := decode(row)
		return row.Version != 0 && err == nil && stored.Attempt == record.Attempt && stored.State == record.State
	})
}

// releaseExisting releases a claim when it was not known whether the claim was
// stored and the key already has a row. The row is overwritten in two cases: it
// is the claim itself, or it is a released claim that a delayed write of this
// attempt might still replace. Afterwards no write of this attempt can match
// the version. Over any other row the attempt's writes can't succeed anyway. If
// there was no row, the released record has already been inserted.
func (s *Store) releaseExisting(ctx context.Context, e *finalWrite, row platform.Row) error {
	stored, err := decode(row)
	if err != nil || stored.Attempt != e.record.Attempt && stored.State != Released {
		return nil //nolint:nilerr // an unreadable row was not written by this attempt
	}
	existing := *e
	existing.version = row.Version
	return s.storeFinal(ctx, &existing)
}

// enqueue queues a final write to be stored in the background.
func (s *Store) enqueue(e *finalWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingBytes+e.size() > s.MaxPendingBytes {
		s.metrics.Inc("claim.answerDropped")
		e.record.State = Unknown
		e.record.Response = nil
	}
	s.pendingBytes += e.size()
	s.pending = append(s.pending, e)
	s.metrics.Set("claim.unsettled", int64(len(s.pending)))
}

// PendingCount returns the number of final writes that are not stored yet.
func (s *Store) PendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// Run retries the queued final writes periodically until ctx ends.
func (s *Store) Run(ctx context.Context) {
	for {
		half := retryInterval / 2
		wait := half + time.Duration(rand.Int64N(int64(half))) //nolint:gosec // jitter
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(wait):
			s.RetryPending(ctx)
		}
	}
}

// RetryPending retries up to retryBatch queued final writes, oldest first. It
// stops when the platform is unavailable, since the remaining writes would fail
// as well.
func (s *Store) RetryPending(ctx context.Context) {
	for range retryBatch {
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.mu.Unlock()
			return
		}
		e := s.pending[0]
		s.mu.Unlock()
		if err := s.storeFinal(ctx, e); errors.Is(err, platform.ErrUnavailable) {
			return
		}
		s.dequeue(e)
	}
}

// dequeue removes the oldest final write. Only RetryPending calls it, and only
// one RetryPending runs at a time.
func (s *Store) dequeue(e *finalWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = s.pending[1:]
	s.pendingBytes -= e.size()
	s.metrics.Set("claim.unsettled", int64(len(s.pending)))
}
