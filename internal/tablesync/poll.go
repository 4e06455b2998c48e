package tablesync

import (
	"context"
	"math/rand/v2"
	"time"
)

// PollInterval is the mean interval between reads of the head version.
const PollInterval = 2 * time.Second

// pollMessages is the metric that counts reads of the head and the responses to
// them, as a flow of control traffic.
const pollMessages = "control.tablePoll.messages"

// Poll reads the head version until ctx is done. The jitter prevents daemons
// that start at the same time from reading at the same time.
func (k *Replica) Poll(ctx context.Context, s *Store) {
	for {
		if err := k.Refresh(ctx, s); err != nil {
			k.metrics.Inc("table.pollFailed")
		}
		jitter := time.Duration((0.75 + rand.Float64()/2) * float64(PollInterval))
		select {
		case <-ctx.Done():
			return
		case <-k.clock.After(jitter):
		}
	}
}

// Refresh reads the head version once and adopts the table if it is newer.
func (k *Replica) Refresh(ctx context.Context, s *Store) error {
	sent := k.clock.Now()
	k.metrics.Inc(pollMessages)
	version, object, err := s.Head(ctx)
	if err != nil {
		return err
	}
	k.metrics.Inc(pollMessages)
	if version < k.Version() {
		k.metrics.Inc("table.storeOlder")
	}
	if version > k.Version() && !k.FetchFromPeers(ctx, version) {
		data, err := s.Load(ctx, object)
		if err != nil {
			return err
		}
		if err := k.Adopt(version, data); err != nil {
			return err
		}
	}
	// A store that has lost versions does not show whether there are versions
	// newer than the active one.
	if version >= k.Version() {
		k.RecordStoreContact(sent)
	}
	return nil
}
