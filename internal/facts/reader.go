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
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

const (
	// configWait is how long the store holds back an answer without news of
	// the configuration. It bounds how old the freshest knowledge is, and
	// costs a call each time; revoked keys bind within seconds.
	configWait = 700 * time.Millisecond
	// endpointsPause is the time between two reads of the endpoints' feed.
	// Endpoints rewrite their entries all the time, so that each read finds
	// something; waiting in between gathers it.
	endpointsPause = 450 * time.Millisecond
	// endpointsWait is how long the store holds back an answer without news.
	endpointsWait = 400 * time.Millisecond
	// idlePause is how often a daemon that does not read looks whether it
	// should, startPause the same for one that knows nothing yet.
	idlePause  = 100 * time.Millisecond
	startPause = 20 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed read.
	firstRetry = 150 * time.Millisecond
	maxRetry   = 1200 * time.Millisecond
)

// Feed is one table of the store as the reader needs it.
type Feed struct {
	// Snapshot returns all rows.
	Snapshot func(ctx context.Context) (platform.Rows, error)
	// Changes returns what has changed since a version, waiting for news up
	// to a time. ErrHistoryGone says that the store no longer knows.
	Changes func(ctx context.Context, since uint64, wait time.Duration) (platform.Rows, error)
}

// Reader reads the store and tells what it finds. Fields must be set before it
// runs.
type Reader struct {
	Clock   clockwork.Clock
	Boot    boottime.Clock
	Store   *storetime.Clock
	Holder  *Holder
	Logger  *slog.Logger
	Metrics *metric.Registry
	// Config is the feed of the operators' document, Endpoints that of the
	// registrations.
	Config, Endpoints Feed
	// DecodeConfig finds the operators' document among rows; false if it is
	// not there or can't be read.
	DecodeConfig func(rows []platform.FeedRow) (Config, bool)
	// DecodeEndpoint reads a registration; false if it names no endpoint.
	DecodeEndpoint func(row platform.FeedRow) (Endpoint, bool)
	// OnDuty tells whether this daemon is to read.
	OnDuty func() bool
	// Told is called after each successful read.
	Told func()

	// newest is the greatest position that the store has answered with.
	newest atomic.Uint64
	// oddEra says that the store has answered with an era that can't be.
	oddEra atomic.Bool
}

// errPast says that the store answered with a state that is older than one
// which it had shown before the call.
var errPast = errors.Wrap(platform.ErrUnavailable, "the answer is older than an earlier one")

// errOtherEra says that the store has come back from a copy.
var errOtherEra = errors.Wrap(platform.ErrHistoryGone, "the store has come back from a copy")

// topic is one feed with what the reader does with its rows.
type topic struct {
	name  string
	feed  Feed
	wait  time.Duration
	pause time.Duration
	// apply takes an answer in.
	apply func(news)
	// resume returns the position up to which the rows are known from other
	// daemons; zero is none.
	resume func() Position
	// since is the position up to which the feed was read, if synced is set. An
	// empty store's version is zero.
	since  Position
	synced bool
	// forgotten says that the store no longer tells what came after since.
	forgotten bool
	fails     int
	// invalid says that the newest document could not be taken in, so that the
	// one in force must not count as the newest.
	invalid bool
}

// news is an answer of the store.
type news struct {
	rows platform.Rows
	// upTo is the position up to which all rows of the topic have been told.
	upTo Position
	// whole says that rows are all rows that there are.
	whole bool
	// failed says that the reads before this one have failed.
	failed bool
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	config := &topic{name: "config", feed: r.Config, wait: configWait}
	config.apply = func(n news) { r.applyConfig(config, n) }
	go r.follow(ctx, config)
	r.follow(ctx, &topic{
		name: "endpoints", feed: r.Endpoints, wait: endpointsWait, pause: endpointsPause,
		apply:  r.applyEndpoints,
		resume: func() Position { return r.Holder.Summary().Position },
	})
}

// follow keeps up with one feed while the daemon is on duty.
func (r *Reader) follow(ctx context.Context, t *topic) {
	for ctx.Err() == nil {
		if !r.OnDuty() {
			t.synced, t.forgotten, t.fails = false, false, 0
			r.sleep(ctx, r.idlePause())
			continue
		}
		if err := r.read(ctx, t); err != nil {
			r.failed(ctx, t, err)
			continue
		}
		if t.fails > 0 {
			r.Logger.Info("store regained", "feed", t.name)
		}
		t.fails = 0
		r.Told()
		r.sleep(ctx, t.pause)
	}
}

func (r *Reader) idlePause() time.Duration {
	if known := r.Holder.Summary(); known.Config == 0 || known.Position == 0 {
		return startPause
	}
	return idlePause
}

// read asks once for what is new.
func (r *Reader) read(ctx context.Context, t *topic) error {
	seen := r.seen()
	t.takeUp(seen.Era())
	sent := r.Boot.Now()
	n := news{whole: !t.synced, failed: t.fails > 0}
	var err error
	if n.whole {
		n.rows, err = t.feed.Snapshot(ctx)
	} else {
		n.rows, err = t.feed.Changes(ctx, t.since.Version(), t.wait)
	}
	if err != nil {
		return err
	}
	at := PositionOf(r.era(&n.rows, seen.Era()), n.rows.Version)
	if at < seen {
		// An old state would count as the newest: a configuration that has
		// been replaced, an endpoint that has left.
		return errPast
	}
	r.see(at)
	if !n.whole && at.Era() != t.since.Era() {
		// The versions of another era say nothing of what came since.
		return errOtherEra
	}
	r.Store.Observe(sent, storetime.Instant(n.rows.NowMs))
	n.upTo = at
	if !n.whole {
		n.rows.Rows = newestRows(n.rows.Rows)
		n.upTo = max(t.since, PositionOf(at.Era(), newestVersion(n.rows.Rows)))
	}
	t.apply(n)
	t.since, t.synced, t.forgotten = n.upTo, true, false
	return nil
}

// takeUp goes on from what other daemons have told, unless the store has
// forgotten what came since. To read everything anew would cost all daemons a
// whole list. What was read in an earlier era leads nowhere.
func (t *topic) takeUp(era platform.Era) {
	if t.synced && t.since.Era() < era {
		t.synced, t.forgotten = false, t.resume == nil
	}
	if t.synced || t.forgotten || t.resume == nil {
		return
	}
	if since := t.resume(); since > 0 {
		t.since, t.synced = since, true
	}
}

// newestRows drops the rows of which a later version follows: an entry that
// was removed and written again is there.
func newestRows(rows []platform.FeedRow) []platform.FeedRow {
	newest := map[string]uint64{}
	for _, row := range rows {
		newest[row.Key] = max(newest[row.Key], row.Version)
	}
	return slices.DeleteFunc(rows, func(row platform.FeedRow) bool { return row.Version < newest[row.Key] })
}

// newestVersion returns the greatest version among rows. A feed is followed
// from there and not from the store's own version: if the store keeps quiet
// about a change, answers without it and then forgets its history, the change
// would never be heard of. From the last row that was told, the store either
// tells it later or says that its history is gone, and everything is read anew.
func newestVersion(rows []platform.FeedRow) uint64 {
	newest := uint64(0)
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// seen returns the greatest position of the store that is known to exist.
func (r *Reader) seen() Position {
	s := r.Holder.Summary()
	return max(Position(r.newest.Load()), s.Position, s.Told())
}

// era returns the era of an answer. One that can't be read, or that was over
// when the store was asked, counts as the era before.
func (r *Reader) era(rows *platform.Rows, before platform.Era) platform.Era {
	if rows.HasEra && rows.Era >= before {
		return rows.Era
	}
	if rows.HasEra || rows.OddEra {
		r.Metrics.Inc("facts.eraInvalid")
		if !r.oddEra.Swap(true) {
			r.Logger.Error("the store names an era that can't be", "era", uint64(rows.Era), "known", uint64(before))
		}
	}
	return before
}

// see notes a position of the store.
func (r *Reader) see(p Position) {
	for {
		known := r.newest.Load()
		if uint64(p) <= known || r.newest.CompareAndSwap(known, uint64(p)) {
			return
		}
	}
}

func (r *Reader) failed(ctx context.Context, t *topic, err error) {
	if again := r.note(ctx, t, err); again {
		return
	}
	bound := min(firstRetry<<min(t.fails-1, 4), maxRetry)
	r.sleep(ctx, bound/2+rand.N(bound/2)) //nolint:gosec // jitter
}

// note takes in that a read failed. It returns whether another way of reading
// is to be tried at once.
func (r *Reader) note(ctx context.Context, t *topic, err error) (again bool) {
	if errors.Is(err, platform.ErrHistoryGone) {
		r.Metrics.Inc("facts.historyGone")
		t.synced, t.forgotten = false, true
		return true
	}
	if t.fails == 0 && ctx.Err() == nil {
		r.Logger.Warn("store lost", "feed", t.name, "error", err)
	}
	r.Metrics.Inc("facts.readFailed")
	t.fails++
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

// applyConfig takes in rows of the operators' table. Without any news the
// document in force is the newest. News that can't be read leaves it to age:
// to take it for the newest would keep keys that were taken away.
func (r *Reader) applyConfig(t *topic, n news) {
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
	if err := r.Holder.SetConfig(c, asOf); err != nil {
		t.invalid = true
		r.Metrics.Inc("facts.configInvalid")
		r.Logger.Error("configuration not taken", "version", c.Version, "error", err)
	}
}
