package facts

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// gapStore is a store whose feeds may withhold changes for a while and whose
// history may be dropped.
type gapStore struct {
	boot    *boottime.Fake
	version uint64
	// floor is the version from which on the history is available.
	floor uint64
	// withholds is set while feeds return nothing newer than withheldFrom.
	withholds    bool
	withheldFrom uint64
	changes      []gapChange
	// withheldUntil is when feeds last began to return everything again.
	withheldUntil storetime.Instant
	// unavailable is set while the store rejects all calls.
	unavailable bool
	// era counts the restores from a backup, restoredAt is when the last one was.
	era        platform.Era
	restoredAt storetime.Instant
}

// restore restores the store from a backup that lacks the last changes. The
// operator writes the configuration again, endpoints don't.
func (s *gapStore) restore(lacks, config int) {
	s.changes = s.changes[:max(0, len(s.changes)-lacks)]
	s.version = 0
	if n := len(s.changes); n > 0 {
		s.version = s.changes[n-1].row.Version
	}
	s.floor = min(s.floor, s.version)
	s.withholds, s.unavailable = false, false
	s.era++
	s.restoredAt = s.now()
	s.put("c", strconv.Itoa(config))
}

func newGapStore() *gapStore { return &gapStore{boot: &boottime.Fake{}} }

// outage makes the store unavailable for d. Meanwhile registrations lapse and
// readers fail to read.
func (s *gapStore) outage(d time.Duration, lapse []string, readers ...*gapDaemon) {
	s.unavailable = true
	s.boot.Advance(d / 2)
	for _, r := range readers {
		r.poll()
	}
	for _, key := range lapse {
		s.put(key, "")
	}
	s.boot.Advance(d / 2)
	for _, r := range readers {
		r.poll()
	}
	s.unavailable = false
}

type gapChange struct {
	row platform.FeedRow
	at  storetime.Instant
}

func (s *gapStore) now() storetime.Instant { return storetime.Instant(s.boot.Now() / time.Millisecond) }

func (s *gapStore) put(key, value string) {
	s.version++
	row := platform.FeedRow{Key: key, Version: s.version, Value: []byte(value), Removed: value == ""}
	s.changes = append(s.changes, gapChange{row: row, at: s.now()})
}

// asOf returns the value of a row at a time.
func (s *gapStore) asOf(key string, at storetime.Instant) string {
	value := ""
	for _, c := range s.changes {
		if c.row.Key == key && c.at <= at {
			value = string(c.row.Value)
		}
	}
	return value
}

func (s *gapStore) response(keep func(platform.FeedRow) bool) platform.Rows {
	a := platform.Rows{Version: s.version, NowMs: int64(s.now()), Era: s.era, HasEra: true}
	for _, c := range s.changes {
		if keep(c.row) {
			a.Rows = append(a.Rows, c.row)
		}
	}
	return a
}

// feed returns the feed of the rows whose keys have a prefix.
func (s *gapStore) feed(prefix string) Feed {
	return Feed{
		Snapshot: func(context.Context) (platform.Rows, error) {
			if s.unavailable {
				return platform.Rows{}, platform.ErrUnavailable
			}
			newest := map[string]uint64{}
			for _, c := range s.changes {
				newest[c.row.Key] = c.row.Version
			}
			return s.response(func(r platform.FeedRow) bool {
				return r.Key[:1] == prefix && newest[r.Key] == r.Version && !r.Removed
			}), nil
		},
		Changes: func(_ context.Context, since uint64, _ time.Duration) (platform.Rows, error) {
			if s.unavailable {
				return platform.Rows{}, platform.ErrUnavailable
			}
			if since < s.floor || since > s.version {
				return platform.Rows{}, platform.ErrHistoryGone
			}
			return s.response(func(r platform.FeedRow) bool {
				return r.Key[:1] == prefix && r.Version > since && (!s.withholds || r.Version <= s.withheldFrom)
			}), nil
		},
	}
}

// gapDaemon is a daemon that reads both feeds.
type gapDaemon struct {
	*Reader
	config, endpoints *feedState
}

func newGapDaemon(s *gapStore) *gapDaemon {
	clock := storetime.NewClock(s.boot)
	r := &Reader{
		Boot:       s.boot,
		StoreClock: clock,
		Logger:     slog.New(slog.DiscardHandler),
		Metrics:    metric.NewRegistry(),
		Holder: NewHolder(clock, func([]byte) (*catalog.Catalog, error) {
			c := &catalog.Catalog{}
			c.Index()
			return c, nil
		}),
		DecodeConfig: func(rows []platform.FeedRow) (c Config, ok bool) {
			for _, row := range rows {
				n, _ := strconv.Atoi(string(row.Value))
				c = Config{Version: catalog.Version(n), Data: row.Value}
			}
			return c, len(rows) > 0
		},
		DecodeEndpoint: func(row platform.FeedRow) (Endpoint, bool) {
			return Endpoint{ID: EndpointID(row.Key), Address: string(row.Value)}, !row.Removed
		},
	}
	d := &gapDaemon{Reader: r, config: &feedState{feed: s.feed("c")}}
	d.config.apply = func(n feedResponse) { r.applyConfig(d.config, n) }
	d.endpoints = &feedState{feed: s.feed("e"), apply: r.applyEndpoints, knownPosition: func() Position { return r.Holder.Summary().Position }}
	return d
}

// poll reads both feeds as follow does.
func (d *gapDaemon) poll() {
	for _, t := range []*feedState{d.config, d.endpoints} {
		if err := d.read(context.Background(), t); err != nil {
			d.recordFailure(context.Background(), t, err)
			continue
		}
		t.failures = 0
	}
}

// receive processes what another daemon reports of its facts.
func (d *gapDaemon) receive(from *gapDaemon) {
	s := from.Holder.Summary()
	d.StoreClock.Observe(d.Boot.Now(), storetime.Instant(d.Boot.Now()/time.Millisecond))
	d.Holder.ConfirmConfig(s.Config, s.ConfigAsOf)
	d.Holder.ConfirmEndpoints(s.RequiredPosition(), s.Position, s.EndpointsAsOf)
	own := d.Holder.Summary()
	switch {
	case s.Config > own.Config || s.RequiredPosition() > own.Position:
		_ = d.Holder.ApplyDelta(from.Holder.DeltaSince(own.Config, own.Position))
	case s.EndpointsAsOf.Sub(own.EndpointsAsOf) > time.Second:
		_ = d.Holder.ApplyDelta(from.Holder.DeltaSince(own.Config, 0))
	}
}

// violation returns how a daemon's facts differ from what the store held at
// the time as of which the daemon considers them current; empty if they don't.
// No daemon can know while the feeds withhold changes.
func (d *gapDaemon) violation(s *gapStore) string {
	sum := d.Holder.Summary()
	known := max(s.withheldUntil, s.restoredAt)
	if !s.withholds && sum.Config > 0 && sum.ConfigAsOf > known {
		if want := s.asOf("c", sum.ConfigAsOf); want != fmt.Sprint(sum.Config) {
			return fmt.Sprintf("configuration %d counts as current at %d, it was %s", sum.Config, sum.ConfigAsOf, want)
		}
	}
	if s.withholds || sum.Position == 0 || sum.EndpointsAsOf <= known {
		return ""
	}
	for _, key := range gapEndpoints {
		known := d.Holder.registry.rows[EndpointID(key)]
		has := known.ID != "" && !known.Gone
		if want := s.asOf(key, sum.EndpointsAsOf) != ""; want != has {
			return fmt.Sprintf("endpoint %s at %d: registered %v, known %v", key, sum.EndpointsAsOf, want, has)
		}
	}
	return ""
}

// TestMain fixes the seed of the property tests, so that their result is the
// same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var gapEndpoints = []string{"e1", "e2"}

// simulateGaps lets an operator, endpoints, a store and daemons act in random
// order, and returns the first violation.
func simulateGaps(t *rapid.T, s *gapStore, n int, newDaemon func(*gapStore) *gapDaemon) string {
	var daemons []*gapDaemon
	for range n {
		daemons = append(daemons, newDaemon(s))
	}
	edits := 1
	s.put("c", "1")
	s.put("e1", "up")
	actions := []string{"poll", "poll", "receive", "receive", "fetch all", "start", "edit", "endpoint", "withhold", "drop history", "outage", "outage ends", "restore", "wait"}
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
		d := daemons[i]
		switch rapid.SampledFrom(actions).Draw(t, "action") {
		case "poll":
			d.poll()
		case "receive":
			d.receive(daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "from")])
		case "fetch all":
			// A complete list, whatever the positions of the two.
			from := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "from")]
			d.StoreClock.Observe(d.Boot.Now(), s.now())
			_ = d.Holder.ApplyDelta(from.Holder.DeltaSince(0, 0))
		case "start":
			daemons[i] = newDaemon(s)
		case "edit":
			edits++
			s.put("c", strconv.Itoa(edits))
		case "endpoint":
			// An endpoint that registers again writes another value: a single
			// reader may miss one that left and returned unchanged.
			edits++
			up := fmt.Sprintf("start %d", edits)
			s.put(rapid.SampledFrom(gapEndpoints).Draw(t, "endpoint"), rapid.SampledFrom([]string{"", up}).Draw(t, "state"))
		case "withhold":
			if !s.withholds {
				s.withholds, s.withheldFrom = true, s.version
			}
		case "drop history":
			s.withholds, s.floor, s.withheldUntil = false, s.version, s.now()
		case "outage":
			s.unavailable = true
		case "outage ends":
			s.unavailable = false
			s.boot.Advance(time.Second)
		case "restore":
			s.restore(rapid.IntRange(0, 5).Draw(t, "lacks"), edits)
		case "wait":
			s.boot.Advance(100 * time.Millisecond)
		}
		s.boot.Advance(time.Millisecond)
		for _, one := range daemons {
			if fault := one.violation(s); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// Guards against changes that are lost for good, or made up, in any order of
// reads, requests, starts, outages and gaps in the store's feeds.
func TestFactsMatchStoreDespiteFeedGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := simulateGaps(t, newGapStore(), 3, newGapDaemon); fault != "" {
			t.Fatal(fault)
		}
	})
}

// Daemons that follow their feeds from the store's newest version must be
// detected, or the test above would prove nothing.
func TestSimulationDetectsFollowingFromNewestVersion(t *testing.T) {
	found := false
	for seed := 0; seed < 200 && !found; seed++ {
		found = rapid.Custom(func(t *rapid.T) bool {
			return simulateGaps(t, newGapStore(), 1, func(s *gapStore) *gapDaemon {
				d := newGapDaemon(s)
				for _, feed := range []*feedState{d.config, d.endpoints} {
					followFromNewest(feed)
				}
				return d
			}) != ""
		}).Example(seed)
	}
	if !found {
		t.Error("no order of events shows a violation")
	}
}

// Daemons that ignore eras must be detected when the store is restored from
// backups, or the test above would not guard against them.
func TestSimulationDetectsIgnoredEras(t *testing.T) {
	found := false
	for seed := 0; seed < 200 && !found; seed++ {
		found = rapid.Custom(func(t *rapid.T) bool {
			return simulateGaps(t, newGapStore(), 2, func(s *gapStore) *gapDaemon {
				d := newGapDaemon(s)
				for _, feed := range []*feedState{d.config, d.endpoints} {
					hideEras(feed)
				}
				return d
			}) != ""
		}).Example(seed)
	}
	if !found {
		t.Error("no order of events shows a violation")
	}
}

// hideEras removes the era from the responses of a feed.
func hideEras(t *feedState) {
	feed := t.feed
	t.feed.Snapshot = func(ctx context.Context) (platform.Rows, error) {
		rows, err := feed.Snapshot(ctx)
		rows.HasEra = false
		return rows, err
	}
	t.feed.Changes = func(ctx context.Context, since uint64, wait time.Duration) (platform.Rows, error) {
		rows, err := feed.Changes(ctx, since, wait)
		rows.HasEra = false
		return rows, err
	}
}

// followFromNewest makes a feed return only what came after the newest version
// with which the store has responded.
func followFromNewest(t *feedState) {
	newest := uint64(0)
	feed := t.feed
	t.feed.Snapshot = func(ctx context.Context) (platform.Rows, error) {
		rows, err := feed.Snapshot(ctx)
		newest = rows.Version
		return rows, err
	}
	t.feed.Changes = func(ctx context.Context, since uint64, wait time.Duration) (platform.Rows, error) {
		rows, err := feed.Changes(ctx, max(since, newest), wait)
		if err == nil {
			newest = rows.Version
		}
		return rows, err
	}
}

// Guards against a new reader that confirms departures of which it never knew.
func TestNewReaderDoesNotConfirmUnknownDepartures(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	old, fresh := newGapDaemon(s), newGapDaemon(s)
	old.poll()
	s.put("e1", "")
	s.boot.Advance(time.Second)
	fresh.poll()
	old.receive(fresh)
	if got := ids(old.Holder.Endpoints()); got != "e2" {
		t.Errorf("the old daemon knows %q, want e2", got)
	}
}

// Guards against accepting a response that is older than what the store has
// already returned.
func TestStaleStoreResponseIsRejected(t *testing.T) {
	s := newGapStore()
	s.put("c", "1")
	d := newGapDaemon(s)
	past := s.response(func(r platform.FeedRow) bool { return r.Key == "c" })
	s.put("e1", "up")
	d.poll()
	s.boot.Advance(5 * time.Second)
	past.NowMs = int64(s.now())
	d.config.feed.Snapshot = func(context.Context) (platform.Rows, error) { return past, nil }
	d.config.synced = false
	if err := d.read(context.Background(), d.config); err == nil {
		t.Error("the response was accepted")
	}
	if got := d.Holder.Summary().ConfigAsOf; got != 0 {
		t.Errorf("the configuration counts as current at %d", got)
	}
}

// Guards against revoked keys that stay valid because the edit that revokes
// them can't be decoded.
func TestInvalidConfigIsNotConfirmed(t *testing.T) {
	s := newGapStore()
	s.put("c", "1")
	d := newGapDaemon(s)
	d.poll()
	parse := d.Holder.Parse
	d.Holder.Parse = func([]byte) (*catalog.Catalog, error) { return nil, fmt.Errorf("invalid configuration") }
	s.boot.Advance(time.Second)
	s.put("c", "2")
	d.poll()
	s.boot.Advance(time.Second)
	d.poll()
	if got := d.Holder.Summary().ConfigAsOf; got != 0 {
		t.Errorf("the old configuration counts as current at %d", got)
	}
	d.Holder.Parse = parse
	s.put("c", "3")
	d.poll()
	if got := d.Holder.Summary(); got.Config != 3 || got.ConfigAsOf != s.now() {
		t.Errorf("after a valid edit: %+v", got)
	}
}
