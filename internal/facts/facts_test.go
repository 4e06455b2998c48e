package facts

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

func parse(data []byte) (*catalog.Catalog, error) {
	if strings.HasPrefix(string(data), "bad") {
		return nil, errors.New("bad")
	}
	c := &catalog.Catalog{}
	c.Index()
	return c, nil
}

// fixture is a holder with its clocks. The store's clock shows the local time.
type fixture struct {
	boot   *boottime.Fake
	clock  *storetime.Clock
	holder *Holder
}

func newFixture() *fixture {
	boot := &boottime.Fake{}
	clock := storetime.NewClock(boot)
	clock.Observe(0, 0)
	return &fixture{boot: boot, clock: clock, holder: NewHolder(clock, parse)}
}

func (s *fixture) now() storetime.Instant { return storetime.Instant(s.boot.Now() / time.Millisecond) }

// Guards against an older configuration that replaces a newer one, or makes it
// look recent.
func TestConfigVersionNeverDecreases(t *testing.T) {
	s := newFixture()
	if err := s.holder.SetConfig(Config{Version: 7, Data: []byte("seven")}, 0); err != nil {
		t.Fatal(err)
	}
	s.boot.Advance(4 * time.Second)
	if err := s.holder.SetConfig(Config{Version: 5, Data: []byte("five")}, s.now()); err != nil {
		t.Fatal(err)
	}
	if got := s.holder.Summary().Config; got != 7 {
		t.Errorf("version %d is in force, want 7", got)
	}
}

// Guards against revoked keys that stay valid because another daemon's
// confirmation of a newer configuration makes the old one here look recent.
func TestFreshnessOfNewerConfigVersionIsIgnored(t *testing.T) {
	s := newFixture()
	if err := s.holder.SetConfig(Config{Version: 7, Data: []byte("seven")}, 0); err != nil {
		t.Fatal(err)
	}
	s.boot.Advance(4 * time.Second)
	s.holder.ConfirmConfig(8, s.now())
	if age, _ := s.holder.ConfigAge(); age < 4*time.Second {
		t.Errorf("the configuration counts as %v old, want 4s", age)
	}
	s.holder.ConfirmConfig(7, s.now())
	if age, _ := s.holder.ConfigAge(); age > 100*time.Millisecond {
		t.Errorf("the configuration counts as %v old after it was confirmed", age)
	}
}

// A document that can't be decoded changes nothing, and the one in force ages.
func TestInvalidConfigIsNotApplied(t *testing.T) {
	s := newFixture()
	if err := s.holder.SetConfig(Config{Version: 7, Data: []byte("seven")}, 0); err != nil {
		t.Fatal(err)
	}
	s.boot.Advance(time.Second)
	if err := s.holder.SetConfig(Config{Version: 8, Data: []byte("bad")}, s.now()); err == nil {
		t.Fatal("an invalid document was applied")
	}
	if got := s.holder.Summary(); got.Config != 7 || got.ConfigAsOf != 0 {
		t.Errorf("in force: %+v", got)
	}
}

// Guards against accepting a reader's confirmation for a list that lacks a
// change.
func TestEndpointsAreConfirmedOnlyWithoutGaps(t *testing.T) {
	s := newFixture()
	s.holder.Merge(EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Changed: 10}}, Position: 12, Whole: true})
	s.boot.Advance(time.Second)
	s.holder.ConfirmEndpoints(10, 20, s.now())
	if got := s.holder.Summary(); got.Position != 20 || got.EndpointsAsOf != s.now() {
		t.Errorf("after a confirmation without a gap: %+v", got)
	}
	s.boot.Advance(time.Second)
	s.holder.ConfirmEndpoints(25, 30, s.now())
	if got := s.holder.Summary(); got.Position != 20 {
		t.Errorf("a confirmation was accepted despite a gap: %+v", got)
	}
}

// A daemon that applies another one's deltas has the same endpoints
// afterwards.
func TestDeltaBringsReceiverUpToDate(t *testing.T) {
	a, b := newFixture(), newFixture()
	a.holder.Merge(EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Changed: 3}, {ID: "y", Changed: 4}}, Position: 5, Whole: true})
	if err := b.holder.ApplyDelta(a.holder.DeltaSince(0, 0)); err != nil {
		t.Fatal(err)
	}
	a.holder.Merge(EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Changed: 8, Draining: true}, {ID: "y", Changed: 9, Gone: true}}, Position: 9})
	if err := b.holder.ApplyDelta(a.holder.DeltaSince(0, b.holder.Summary().Position)); err != nil {
		t.Fatal(err)
	}
	got := b.holder.Endpoints()
	if len(got) != 1 || got[0].ID != "x" || !got[0].Draining {
		t.Errorf("known after both deltas: %+v", got)
	}
}

func newEndpointReader(s *fixture) *Reader {
	return &Reader{
		Clock:      clockwork.NewFakeClock(),
		Boot:       s.boot,
		StoreClock: s.clock,
		Holder:     s.holder,
		Metrics:    metric.NewRegistry(),
		Logger:     slog.New(slog.DiscardHandler),
		DecodeEndpoint: func(row platform.FeedRow) (Endpoint, bool) {
			return Endpoint{ID: EndpointID(row.Key), Address: string(row.Value)}, len(row.Value) > 0
		},
	}
}

func (s *fixture) rows(version uint64, rows ...platform.FeedRow) platform.Rows {
	return platform.Rows{Rows: rows, Version: version, NowMs: int64(s.now())}
}

func (s *fixture) response(whole bool, version uint64, rows ...platform.FeedRow) feedResponse {
	return feedResponse{rows: s.rows(version, rows...), upTo: PositionOf(0, version), whole: whole}
}

func ids(endpoints []Endpoint) string {
	var all []string
	for _, e := range endpoints {
		all = append(all, string(e.ID))
	}
	return strings.Join(all, " ")
}

// Guards against empty pools after an outage of the store in which all
// registrations lapse, and against endpoints that stay though they never
// register again.
func TestRegistrationsLapsedInOutageAreRetained(t *testing.T) {
	s := newFixture()
	r := newEndpointReader(s)
	r.applyEndpoints(s.response(true, 2, platform.FeedRow{Key: "a", Version: 1, Value: []byte("x")}, platform.FeedRow{Key: "b", Version: 2, Value: []byte("y")}))
	s.boot.Advance(6 * time.Second)
	r.applyEndpoints(s.response(true, 3))
	if got := ids(s.holder.Endpoints()); got != "a b" {
		t.Fatalf("right after the outage: %q, want both retained", got)
	}
	// Other daemons learn of the removal at once, and retain the endpoint for the
	// same time.
	other := newFixture()
	other.boot.Advance(s.boot.Now())
	if err := other.holder.ApplyDelta(s.holder.DeltaSince(0, 2)); err != nil {
		t.Fatal(err)
	}
	if e := other.holder.registry.rows["a"]; !e.Gone || e.Changed != 3 {
		t.Errorf("another daemon knows %+v of a, want it gone at 3", e)
	}
	if got := ids(other.holder.Endpoints()); got != "a b" {
		t.Errorf("another daemon counts %q, want both retained", got)
	}
	s.boot.Advance(time.Second)
	r.applyEndpoints(s.response(false, 4, platform.FeedRow{Key: "b", Version: 4, Value: []byte("y")}))
	s.boot.Advance(graceTime / 2)
	r.applyEndpoints(s.response(false, 5))
	s.boot.Advance(graceTime / 2)
	r.applyEndpoints(s.response(false, 6))
	if got := ids(s.holder.Endpoints()); got != "b" {
		t.Errorf("after the grace period: %q, want b", got)
	}
	other.boot.Advance(time.Second + graceTime)
	if err := other.holder.ApplyDelta(s.holder.DeltaSince(0, 3)); err != nil {
		t.Fatal(err)
	}
	if got := ids(other.holder.Endpoints()); got != "b" {
		t.Errorf("after the grace period another daemon counts %q, want b", got)
	}
}

// Without an outage, an endpoint whose registration is removed is gone at
// once.
func TestRemovedRegistrationIsGoneAtOnceWithoutOutage(t *testing.T) {
	s := newFixture()
	r := newEndpointReader(s)
	r.applyEndpoints(s.response(true, 2, platform.FeedRow{Key: "a", Version: 1, Value: []byte("x")}))
	s.boot.Advance(500 * time.Millisecond)
	r.applyEndpoints(s.response(false, 3, platform.FeedRow{Key: "a", Version: 3, Removed: true}))
	if got := ids(s.holder.Endpoints()); got != "" {
		t.Errorf("after the removal: %q", got)
	}
}

// Guards against rows of other writers that count as endpoints.
func TestUndecodableRowsAreNotEndpoints(t *testing.T) {
	s := newFixture()
	r := newEndpointReader(s)
	r.applyEndpoints(s.response(true, 2, platform.FeedRow{Key: "a", Version: 1, Value: []byte("x")}, platform.FeedRow{Key: "b", Version: 2, Value: []byte("y")}))
	r.applyEndpoints(s.response(false, 4, platform.FeedRow{Key: "a", Version: 3}, platform.FeedRow{Key: "c", Version: 4}))
	if got := ids(s.holder.Endpoints()); got != "b" {
		t.Errorf("known: %q, want b", got)
	}
}

// Guards against a restarted endpoint that inherits load and health from the
// process before.
func TestRestartedEndpointGetsAnotherName(t *testing.T) {
	before := Endpoint{ID: "a", Born: 1000}
	after := Endpoint{ID: "a", Born: 2000}
	if before.Name() == after.Name() {
		t.Errorf("both are named %s", before.Name())
	}
	if IDOf(before.Name()) != "a" || IDOf(after.Name()) != "a" || IDOf("b") != "b" {
		t.Error("the ID is not found in the name")
	}
}
