package facts

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	configWait = 1000 * time.Millisecond
	// endpointsPause is the time between two reads of the endpoints' feed.
	// Endpoints rewrite their entries all the time, so that each read finds
	// something; waiting in between gathers it.
	endpointsPause = 450 * time.Millisecond
	// endpointsWait is how long the store holds back an answer without news.
	endpointsWait = 400 * time.Millisecond
	// idlePause is how often a daemon that does not read looks whether it
	// should.
	idlePause = 100 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed read.
	firstRetry = 150 * time.Millisecond
	maxRetry   = 1200 * time.Millisecond
	// outage is how old the knowledge must be for the next read to count as
	// the store's return, and returnGrace how long after it an entry that is
	// missing may still come back: endpoints register again within about 2 s.
	outage      = 1500 * time.Millisecond
	returnGrace = 2200 * time.Millisecond
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
}

// topic is one feed with what the reader does with its rows.
type topic struct {
	name  string
	feed  Feed
	wait  time.Duration
	pause time.Duration
	// apply takes rows in; whole says that they are all rows.
	apply func(rows platform.Rows, whole bool)
	// since is the version up to which the feed was read, if synced is set. An
	// empty store's version is zero.
	since  uint64
	synced bool
	fails  int
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	go r.follow(ctx, &topic{name: "config", feed: r.Config, wait: configWait, apply: r.applyConfig})
	regs := &registrations{reader: r, held: map[EndpointID]bool{}}
	r.follow(ctx, &topic{name: "endpoints", feed: r.Endpoints, wait: endpointsWait, pause: endpointsPause, apply: regs.apply})
}

// follow keeps up with one feed while the daemon is on duty.
func (r *Reader) follow(ctx context.Context, t *topic) {
	for ctx.Err() == nil {
		known := r.Holder.Summary()
		if known.Config > 0 && known.Position > 0 && !r.OnDuty() {
			t.synced = false
			r.sleep(ctx, idlePause)
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

// read asks once for what is new.
func (r *Reader) read(ctx context.Context, t *topic) error {
	sent := r.Boot.Now()
	var rows platform.Rows
	var err error
	whole := !t.synced
	if whole {
		rows, err = t.feed.Snapshot(ctx)
	} else {
		rows, err = t.feed.Changes(ctx, t.since, t.wait)
	}
	if err != nil {
		return err
	}
	r.Store.Observe(sent, storetime.Instant(rows.NowMs))
	t.apply(rows, whole)
	t.since, t.synced = rows.Version, true
	return nil
}

func (r *Reader) failed(ctx context.Context, t *topic, err error) {
	if errors.Is(err, platform.ErrHistoryGone) {
		r.Metrics.Inc("facts.historyGone")
		t.synced = false
		return
	}
	if t.fails == 0 && ctx.Err() == nil {
		r.Logger.Warn("store lost", "feed", t.name, "error", err)
	}
	r.Metrics.Inc("facts.readFailed")
	t.fails++
	bound := min(firstRetry<<min(t.fails-1, 4), maxRetry)
	r.sleep(ctx, bound/2+rand.N(bound/2)) //nolint:gosec // jitter
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

// applyConfig takes in rows of the operators' table.
func (r *Reader) applyConfig(rows platform.Rows, _ bool) {
	asOf := storetime.Instant(rows.NowMs)
	c, ok := r.DecodeConfig(rows.Rows)
	if !ok {
		r.Holder.ConfirmConfig(r.Holder.Summary().Config, asOf)
		return
	}
	if err := r.Holder.SetConfig(c, asOf); err != nil {
		r.Metrics.Inc("facts.configInvalid")
		r.Logger.Error("configuration not taken", "version", c.Version, "error", err)
	}
}
