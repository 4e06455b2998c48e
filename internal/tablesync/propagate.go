package tablesync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/pkg/table"
)

// hopMargin is the time by which a daemon responds before the daemon that
// notified it times out.
const hopMargin = 100 * time.Millisecond

// Propagator propagates versions among the daemons. Each daemon notifies its
// partners once of a version, those that lack it fetch it from the notifying
// daemon, and the responses report which hosts have it. All fields must be set
// before it is used. It is safe for concurrent use.
type Propagator struct {
	Replica *Replica
	// Host is the id of this host.
	Host string
	// Partners returns the peer addresses to notify.
	Partners func() []string
	// Notify notifies a daemon of a version and returns the hosts on which it
	// is active, as far as that daemon knows.
	Notify func(ctx context.Context, address string, v table.Version) (hosts []string, err error)
	// Fetch returns the version of a daemon if it is newer than the given one;
	// if whole is set, as a whole table and not as patches.
	Fetch func(ctx context.Context, address string, newerThan table.Version, whole bool) (Update, error)
	// Count increments the counter of that name.
	Count func(name string)

	// fetchMu is held during a fetch, so that a version is fetched only once
	// even if several daemons notify this one of it.
	fetchMu sync.Mutex

	mu sync.Mutex
	// notified is the newest version that the partners were notified of.
	notified table.Version
}

// Propagate notifies the partners of a version that is active here, unless they
// were notified already. It returns the hosts on which the version is active.
func (s *Propagator) Propagate(ctx context.Context, v table.Version) (hosts []string) {
	hosts = []string{s.Host}
	if !s.markNotified(v) {
		return hosts
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range s.Partners() {
		wg.Go(func() {
			reached, err := s.Notify(ctx, address, v)
			if err != nil {
				s.Count("table.tellFailed")
			}
			mu.Lock()
			defer mu.Unlock()
			hosts = append(hosts, reached...)
		})
	}
	wg.Wait()
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// markNotified records that the partners are being notified of a version. It
// returns false if they were notified of it already.
func (s *Propagator) markNotified(v table.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v <= s.notified {
		return false
	}
	s.notified = v
	return true
}

// HandleNotification handles the notification that a version is active on a
// daemon: it fetches the version from there and propagates it. It returns the
// hosts on which the version is active.
func (s *Propagator) HandleNotification(ctx context.Context, address string, v table.Version) []string {
	ctx, cancel := withEarlierDeadline(ctx, hopMargin)
	defer cancel()
	if err := s.FetchFrom(ctx, address); err != nil {
		s.Count("table.fetchFailed")
	}
	if s.Replica.Version() < v {
		return nil
	}
	return s.Propagate(ctx, v)
}

// withEarlierDeadline returns a context whose deadline is before that of ctx by
// a margin.
func withEarlierDeadline(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-margin))
}

// FetchFrom fetches the table of a daemon and activates it if it is newer.
func (s *Propagator) FetchFrom(ctx context.Context, address string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "fetch table from %s", address)
		}
	}()
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	base := s.Replica.Version()
	f, err := s.Fetch(ctx, address, base, false)
	if err != nil {
		return err
	}
	if err := s.Replica.AdoptUpdate(base, f); err == nil || len(f.Patches) == 0 {
		return err
	}
	s.Count("table.patchFailed")
	f, err = s.Fetch(ctx, address, s.Replica.Version(), true)
	if err != nil {
		return err
	}
	return s.Replica.AdoptUpdate(base, f)
}
