package facts

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/internal/tick"
)

const (
	// configPollTimeout is how long the store delays its response while the
	// configuration has not changed. It bounds the age of the most recent facts
	// and costs one call each time; revoked keys must take effect within seconds.
	configPollTimeout = 700 * time.Millisecond
	// endpointsPollInterval is the time between two reads of the endpoint feed.
	// Endpoints rewrite their rows all the time, so that every read finds
	// changes; the interval collects several of them in one read.
	endpointsPollInterval = 450 * time.Millisecond
	// endpointsPollTimeout is how long the store delays its response while no
	// endpoint has changed.
	endpointsPollTimeout = 400 * time.Millisecond
	// idleCheckInterval is how often a daemon that does not read the store checks
	// whether it should, startupCheckInterval the same for one that has no facts
	// yet.
	idleCheckInterval    = 100 * time.Millisecond
	startupCheckInterval = 20 * time.Millisecond
	// initialRetryDelay and maxRetryDelay are the upper bounds of the delay after
	// the first failed read and after many.
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 1200 * time.Millisecond
)

// Feed reads one table of the store.
type Feed struct {
	// Snapshot returns all rows.
	Snapshot func(ctx context.Context) (platform.Rows, error)
	// Changes returns the rows changed after a version, waiting for a change up
	// to the given time. ErrHistoryGone means that the store no longer has these
	// changes.
	Changes func(ctx context.Context, since uint64, wait time.Duration) (platform.Rows, error)
}

// Reader reads the store and passes what it finds to Holder. Fields must be
// set before it runs.
type Reader struct {
	Clock clockwork.Clock
	// Checks holds the times at which ShouldRead is called while it reports false.
	Checks     *tick.Grid
	Boot       boottime.Clock
	StoreClock *storetime.Clock
	Holder     *Holder
	Logger     *slog.Logger
	Metrics    *metric.Registry
	// Config is the feed of the operators' configuration, Endpoints that of the
	// registrations.
	Config, Endpoints Feed
	// DecodeConfig finds the operators' configuration among rows; false if it is
	// missing or can't be decoded.
	DecodeConfig func(rows []platform.FeedRow) (Config, bool)
	// DecodeEndpoint decodes a registration; false if the row is not one of an
	// endpoint.
	DecodeEndpoint func(row platform.FeedRow) (Endpoint, bool)
	// BeforeEndpoints and BeforeConfig are called, if set, with registrations and with a
	// configuration that are about to count.
	BeforeEndpoints func(endpoints []Endpoint)
	BeforeConfig    func(c *catalog.Catalog)
	// ShouldRead reports whether this daemon is to read the store.
	ShouldRead func() bool
	// OnRead is called after each successful read, but between partial responses
	// only once in the feed's interval.
	OnRead func()

	// newest is the greatest position in any response of the store.
	newest atomic.Uint64
	// invalidEra is set once the store has responded with an invalid era.
	invalidEra atomic.Bool
}

// errStaleResponse means that the store responded with a state older than one
// that it had returned before the call.
var errStaleResponse = errors.Wrap(platform.ErrUnavailable, "store response is older than an earlier one")

// errEraChanged means that the store has been restored from a backup.
var errEraChanged = errors.Wrap(platform.ErrHistoryGone, "store was restored from a backup")

// feedState is one feed, how its rows are processed and how far it has been
// read.
type feedState struct {
	name        string
	feed        Feed
	pollTimeout time.Duration
	interval    time.Duration
	// apply processes a response.
	apply func(feedResponse)
	// knownPosition returns the position up to which the rows are known from
	// other daemons; zero if none are. It is nil for a feed that always starts
	// with a snapshot.
	knownPosition func() Position
	// since is the position up to which the feed has been read, if synced is set.
	// The version of an empty store is zero.
	since  Position
	synced bool
	// historyGone is set if the store no longer has the changes after since.
	historyGone bool
	failures    int
	// partial is set if the last response may not have had all changes.
	partial bool
	// announced is when OnRead was last called.
	announced time.Duration
	// invalid is set if the newest document could not be applied, so that the one
	// in force must not count as current.
	invalid bool
}

// feedResponse is a response of the store.
type feedResponse struct {
	rows platform.Rows
	// upTo is the position up to which all rows of the feed have been received.
	upTo Position
	// whole is set if rows are all existing rows.
	whole bool
	// afterFailure is set if the reads before this one have failed.
	afterFailure bool
	// partial is set if the store may have changes after the last row.
	partial bool
}

// asOf returns the time as of which the response is complete; zero if it is not.
func (n feedResponse) asOf() storetime.Instant {
	if n.partial {
		return 0
	}
	return storetime.Instant(n.rows.NowMs)
}

// Run reads until ctx is cancelled.
func (r *Reader) Run(ctx context.Context) {
	config := &feedState{name: "config", feed: r.Config, pollTimeout: configPollTimeout}
	config.apply = func(n feedResponse) { r.applyConfig(config, n) }
	go r.follow(ctx, config)
	r.follow(ctx, &feedState{
		name: "endpoints", feed: r.Endpoints, pollTimeout: endpointsPollTimeout, interval: endpointsPollInterval,
		apply:         r.applyEndpoints,
		knownPosition: func() Position { return r.Holder.Summary().Position },
	})
}

// follow keeps up with one feed while ShouldRead reports true.
func (r *Reader) follow(ctx context.Context, t *feedState) {
	for ctx.Err() == nil {
		if !r.ShouldRead() {
			t.synced, t.historyGone, t.failures = false, false, 0
			r.awaitCheck(ctx)
			continue
		}
		if err := r.read(ctx, t); err != nil {
			r.handleFailure(ctx, t, err)
			continue
		}
		if t.failures > 0 {
			r.Logger.Info("store regained", "feed", t.name)
		}
		t.failures = 0
		if now := r.Boot.Now(); !t.partial || now-t.announced >= t.interval {
			t.announced = now
			r.OnRead()
		}
		if !t.partial {
			r.sleep(ctx, t.interval)
		}
	}
}

// awaitCheck waits until the next check of ShouldRead.
func (r *Reader) awaitCheck(ctx context.Context) {
	interval := idleCheckInterval
	if known := r.Holder.Summary(); known.Config == 0 || known.Position == 0 {
		interval = startupCheckInterval
	}
	select {
	case <-ctx.Done():
	case <-r.Checks.After(interval):
	}
}

// read sends one request for what has changed.
func (r *Reader) read(ctx context.Context, t *feedState) error {
	seen := r.newestKnown()
	t.resume(seen.Era())
	sent := r.Boot.Now()
	n := feedResponse{whole: !t.synced, afterFailure: t.failures > 0}
	var err error
	if n.whole {
		n.rows, err = t.feed.Snapshot(ctx)
	} else {
		n.rows, err = t.feed.Changes(ctx, t.since.Version(), t.pollTimeout)
	}
	if err != nil {
		return err
	}
	at := PositionOf(r.responseEra(&n.rows, seen.Era()), n.rows.Version)
	if at < seen {
		// An old state would count as the current one: a configuration that has been
		// replaced, an endpoint that has left.
		return errStaleResponse
	}
	r.recordPosition(at)
	if !n.whole && at.Era() != t.since.Era() {
		// The versions of another era don't show what has changed since.
		return errEraChanged
	}
	r.StoreClock.Observe(sent, storetime.Instant(n.rows.NowMs))
	n.upTo = at
	if !n.whole {
		n.rows.Rows = newestRows(n.rows.Rows)
		n.upTo = max(t.since, PositionOf(at.Era(), newestVersion(n.rows.Rows)))
		n.partial = n.rows.More
	}
	t.apply(n)
	t.since, t.synced, t.historyGone, t.partial = n.upTo, true, false, n.partial
	return nil
}

// resume continues from the position that other daemons have reported, unless
// the store no longer has the changes since. Reading a snapshot instead would
// cause a complete list to be sent to all daemons. A position of an earlier
// era can't be continued from.
func (t *feedState) resume(era platform.Era) {
	if t.synced && t.since.Era() < era {
		t.synced, t.historyGone = false, t.knownPosition == nil
	}
	if t.synced || t.historyGone || t.knownPosition == nil {
		return
	}
	if since := t.knownPosition(); since > 0 {
		t.since, t.synced = since, true
	}
}

// newestRows drops the rows that are followed by a later version: a row that
// was removed and written again exists.
func newestRows(rows []platform.FeedRow) []platform.FeedRow {
	newest := map[string]uint64{}
	for _, row := range rows {
		newest[row.Key] = max(newest[row.Key], row.Version)
	}
	return slices.DeleteFunc(rows, func(row platform.FeedRow) bool { return row.Version < newest[row.Key] })
}

// newestVersion returns the greatest version among rows. A feed is followed
// from there and not from the store's own version: if the store withholds a
// change, responds without it and then drops its history, the change would
// never be received. After the last row received, the store either returns the
// change later or responds that its history is gone, and everything is read
// again.
func newestVersion(rows []platform.FeedRow) uint64 {
	newest := uint64(0)
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// newestKnown returns the greatest position that the store is known to have
// reached.
func (r *Reader) newestKnown() Position {
	s := r.Holder.Summary()
	return max(Position(r.newest.Load()), s.Position, s.RequiredPosition())
}

// responseEra returns the era of a response. An invalid one, or one that had
// already ended when the request was sent, counts as the era before.
func (r *Reader) responseEra(rows *platform.Rows, before platform.Era) platform.Era {
	if rows.HasEra && rows.Era >= before {
		return rows.Era
	}
	if rows.HasEra || rows.OddEra {
		r.Metrics.Inc("facts.eraInvalid")
		if !r.invalidEra.Swap(true) {
			r.Logger.Error("the store names an era that can't be", "era", uint64(rows.Era), "known", uint64(before))
		}
	}
	return before
}

// recordPosition records a position of the store.
func (r *Reader) recordPosition(p Position) {
	for {
		known := r.newest.Load()
		if uint64(p) <= known || r.newest.CompareAndSwap(known, uint64(p)) {
			return
		}
	}
}

func (r *Reader) handleFailure(ctx context.Context, t *feedState, err error) {
	if retryNow := r.recordFailure(ctx, t, err); retryNow {
		return
	}
	bound := min(initialRetryDelay<<min(t.failures-1, 4), maxRetryDelay)
	r.sleep(ctx, bound/2+rand.N(bound/2)) //nolint:gosec // jitter
}

// recordFailure records that a read failed. It reports whether to read again
// at once in another way.
func (r *Reader) recordFailure(ctx context.Context, t *feedState, err error) (retryNow bool) {
	if errors.Is(err, platform.ErrHistoryGone) {
		r.Metrics.Inc("facts.historyGone")
		t.synced, t.historyGone = false, true
		return true
	}
	if t.failures == 0 && ctx.Err() == nil {
		r.Logger.Warn("store lost", "feed", t.name, "error", err)
	}
	r.Metrics.Inc("facts.readFailed")
	t.failures++
	return false
}

func (r *Reader) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-r.Clock.After(d):
	}
}

// applyConfig processes rows of the operators' table. If there are none, the
// document in force is current. If they can't be decoded, the document in
// force is left to age: treating it as current would keep revoked keys valid.
func (r *Reader) applyConfig(t *feedState, n feedResponse) {
	asOf := storetime.Instant(n.rows.NowMs)
	c, ok := r.DecodeConfig(n.rows.Rows)
	switch {
	case ok:
		t.invalid = false
	case n.whole || len(n.rows.Rows) > 0:
		t.invalid = true
		return
	case t.invalid:
		return
	default:
		r.Holder.ConfirmConfig(r.Holder.Summary().Config, asOf)
		return
	}
	before := func(parsed *catalog.Catalog) {
		if r.BeforeConfig != nil {
			r.BeforeConfig(parsed)
		}
	}
	if err := r.Holder.setConfig(c, asOf, before); err != nil {
		t.invalid = true
		r.Metrics.Inc("facts.configInvalid")
		r.Logger.Error("configuration not taken", "version", c.Version, "error", err)
	}
}
