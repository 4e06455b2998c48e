package factsync

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/platform"
)

// simStore is the platform's store as the readers see it.
type simStore struct {
	mu      sync.Mutex
	clock   bubbleClock
	version uint64
	// floor is the version since which the history is known.
	floor uint64
	rows  []platform.FeedRow
	// written has when each of the rows was written.
	written []time.Duration
	era     platform.Era
	// news is closed and replaced with each change.
	news chan struct{}
	// calls counts the calls that have come.
	calls int
	// away says that the store refuses all calls, refused has the hosts whose
	// calls it refuses.
	away    bool
	refused map[membership.HostID]bool
}

// put writes a row; an empty value removes it. It returns the version.
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
	close(s.news)
	s.news = make(chan struct{})
}

// comeBack has the store return from a copy that is some time old. What was
// written since is gone, and its versions are given out again.
func (s *simStore) comeBack(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now() - ago
	for n := len(s.rows); n > 0 && s.written[n-1] > at; n = len(s.rows) {
		s.version = s.rows[n-1].Version - 1
		s.rows, s.written = s.rows[:n-1], s.written[:n-1]
	}
	s.floor = min(s.floor, s.version)
	s.era++
	s.away = false
	s.wake()
}

func (s *simStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
}

func (s *simStore) answer(keep func(platform.FeedRow) bool) platform.Rows {
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
	return s.answer(func(r platform.FeedRow) bool {
		return strings.HasPrefix(r.Key, prefix) && newest[r.Key] == r.Version && !r.Removed
	})
}

// changes returns the rows after a version, or a channel that is closed with
// the next change.
func (s *simStore) changes(prefix string, since uint64) (platform.Rows, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.floor || since > s.version {
		return platform.Rows{}, nil, platform.ErrHistoryGone
	}
	return s.answer(func(r platform.FeedRow) bool { return strings.HasPrefix(r.Key, prefix) && r.Version > since }), s.news, nil
}

func (s *simStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// setAway lets the store go away, or come back.
func (s *simStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// refuse has the store turn some hosts away.
func (s *simStore) refuse(hosts map[membership.HostID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = hosts
}

func (s *simStore) refuses(id membership.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away || s.refused[id]
}

func (s *simStore) feed(d *simDaemon, prefix string) facts.Feed {
	return facts.Feed{
		Snapshot: func(ctx context.Context) (platform.Rows, error) {
			if err := d.pass(ctx, storeDelay); err != nil {
				return platform.Rows{}, platform.ErrUnavailable
			}
			if s.refuses(d.id) {
				s.count()
				return platform.Rows{}, platform.ErrUnavailable
			}
			return s.snapshot(prefix), nil
		},
		Changes: func(ctx context.Context, since uint64, wait time.Duration) (platform.Rows, error) {
			timeout := time.After(wait)
			s.count()
			for {
				if err := d.pass(ctx, storeDelay); err != nil {
					return platform.Rows{}, platform.ErrUnavailable
				}
				if s.refuses(d.id) {
					return platform.Rows{}, platform.ErrUnavailable
				}
				rows, news, err := s.changes(prefix, since)
				if err != nil || len(rows.Rows) > 0 {
					return rows, err
				}
				select {
				case <-ctx.Done():
					return rows, ctx.Err()
				case <-timeout:
					rows, _, err = s.changes(prefix, since)
					return rows, err
				case <-news:
				}
			}
		},
	}
}

func (s *simStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
