package factsync

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/platform"
)

// simStore is the platform's store as the readers see it.
type simStore struct {
	mu      sync.Mutex
	clock   simClock
	version uint64
	// floor is the version from which on the history is available.
	floor uint64
	rows  []platform.FeedRow
	// written holds when each of the rows was written.
	written []time.Duration
	era     platform.Era
	// changed is closed and replaced with each change.
	changed chan struct{}
	// calls counts the calls received.
	calls int
	// unavailable is set while the store rejects all calls, refused holds the
	// hosts whose calls it rejects.
	unavailable bool
	refused     map[membership.HostID]bool
}

// put writes a row and returns its version; an empty value removes the row.
func (s *simStore) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, platform.FeedRow{Key: key, Version: s.version, Value: []byte(value), Removed: value == ""})
	s.written = append(s.written, s.clock.Now())
	s.wake()
	return s.version
}

func (s *simStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore restores the store from a backup of the given age. What was written
// since is lost, and its versions are assigned again.
func (s *simStore) restore(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now() - ago
	for n := len(s.rows); n > 0 && s.written[n-1] > at; n = len(s.rows) {
		s.version = s.rows[n-1].Version - 1
		s.rows, s.written = s.rows[:n-1], s.written[:n-1]
	}
	s.floor = min(s.floor, s.version)
	s.era++
	s.unavailable = false
	s.wake()
}

func (s *simStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
}

func (s *simStore) response(keep func(platform.FeedRow) bool) platform.Rows {
	a := platform.Rows{Version: s.version, NowMs: s.clock.Now().Milliseconds(), Era: s.era, HasEra: true}
	for _, row := range s.rows {
		if keep(row) {
			a.Rows = append(a.Rows, row)
		}
	}
	return a
}

func (s *simStore) snapshot(prefix string) platform.Rows {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	newest := map[string]uint64{}
	for _, row := range s.rows {
		newest[row.Key] = row.Version
	}
	return s.response(func(r platform.FeedRow) bool {
		return strings.HasPrefix(r.Key, prefix) && newest[r.Key] == r.Version && !r.Removed
	})
}

// changes returns the rows after a version, and a channel that is closed with
// the next change.
func (s *simStore) changes(prefix string, since uint64) (platform.Rows, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.floor || since > s.version {
		return platform.Rows{}, nil, platform.ErrHistoryGone
	}
	return s.response(func(r platform.FeedRow) bool { return strings.HasPrefix(r.Key, prefix) && r.Version > since }), s.changed, nil
}

func (s *simStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// setUnavailable makes the store unavailable, or available again.
func (s *simStore) setUnavailable(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = away
}

// refuse makes the store reject the calls of some hosts.
func (s *simStore) refuse(hosts map[membership.HostID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = hosts
}

func (s *simStore) refuses(id membership.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable || s.refused[id]
}

func (s *simStore) feed(d *simDaemon, prefix string) facts.Feed {
	return facts.Feed{
		Snapshot: func(ctx context.Context) (platform.Rows, error) {
			if err := d.deliver(ctx, storeDelay); err != nil {
				return platform.Rows{}, platform.ErrUnavailable
			}
			if s.refuses(d.id) {
				s.count()
				return platform.Rows{}, platform.ErrUnavailable
			}
			return s.snapshot(prefix), nil
		},
		Changes: func(ctx context.Context, since uint64, wait time.Duration) (platform.Rows, error) {
			timeout := bubbleclock.After(wait)
			s.count()
			for {
				if err := d.deliver(ctx, storeDelay); err != nil {
					return platform.Rows{}, platform.ErrUnavailable
				}
				if s.refuses(d.id) {
					return platform.Rows{}, platform.ErrUnavailable
				}
				rows, changed, err := s.changes(prefix, since)
				if err != nil || len(rows.Rows) > 0 {
					return rows, err
				}
				select {
				case <-ctx.Done():
					return rows, ctx.Err()
				case <-timeout:
					rows, _, err = s.changes(prefix, since)
					return rows, err
				case <-changed:
				}
			}
		},
	}
}

func (s *simStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
