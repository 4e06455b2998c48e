package streamorigin

import (
	"context"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

const testTable = "origins"

// fakeStore is a table of the platform's store. Its clock is the test's.
type fakeStore struct {
	clock   *clockwork.FakeClock
	start   time.Time
	rows    map[string]platform.FeedRow
	version uint64
	// reads and writes count calls.
	reads, writes int
	// down makes calls fail, loseReplies that many transactions after their effect.
	down        bool
	loseReplies int
	// delayed holds transactions without a response that are applied later, if their
	// conditions hold then; delayNext makes the next one such.
	delayed   [][]platform.Write
	delayNext bool
}

func newFakeStore(clock *clockwork.FakeClock) *fakeStore {
	return &fakeStore{clock: clock, start: clock.Now().Add(-time.Hour), rows: map[string]platform.FeedRow{}}
}

func (s *fakeStore) nowMs() int64 { return s.clock.Since(s.start).Milliseconds() }

func (s *fakeStore) read(context.Context) (platform.Rows, error) {
	s.reads++
	if s.down {
		return platform.Rows{}, platform.ErrUnavailable
	}
	rows := platform.Rows{NowMs: s.nowMs(), Version: s.version}
	for _, r := range s.rows {
		rows.Rows = append(rows.Rows, r)
	}
	return rows, nil
}

func (s *fakeStore) transact(_ context.Context, writes ...platform.Write) (platform.TransactResponse, error) {
	s.writes++
	switch {
	case s.down:
		return platform.TransactResponse{}, platform.ErrUnavailable
	case s.delayNext:
		s.delayNext = false
		s.delayed = append(s.delayed, writes)
		return platform.TransactResponse{}, platform.ErrUnavailable
	}
	committed := s.apply(writes)
	if s.loseReplies > 0 {
		s.loseReplies--
		return platform.TransactResponse{}, platform.ErrUnavailable
	}
	return platform.TransactResponse{Committed: committed}, nil
}

// apply applies writes if their conditions hold.
func (s *fakeStore) apply(writes []platform.Write) bool {
	for _, w := range writes {
		if s.rows[w.Key.Key].Version != w.Expect {
			return false
		}
	}
	s.version++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key.Key)
			continue
		}
		s.rows[w.Key.Key] = platform.FeedRow{Key: w.Key.Key, Version: s.version, Value: w.Value}
	}
	return true
}

// applyDelayed applies the delayed transactions.
func (s *fakeStore) applyDelayed() {
	for _, writes := range s.delayed {
		s.apply(writes)
	}
	s.delayed = nil
}

func (s *fakeStore) keeper() *Keeper {
	return &Keeper{Clock: s.clock, Read: s.read, Transact: s.transact, Table: testTable, Count: func(string) {}}
}

// versions returns the versions that count for the pool llm.
func (s *fakeStore) versions(t interface{ Fatal(...any) }) []table.SoftwareVersion {
	rows, err := s.read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	versions, certain := NewHistory(rows).Versions("llm")
	if !certain {
		return nil
	}
	return versions
}

func versionsOf(names ...string) (origins []Origin) {
	for _, name := range names {
		origins = append(origins, OfVersion("llm", table.SoftwareVersion(name)))
	}
	return origins
}

// Guards against calls to the store for origins that are known to be recorded, and against
// relying on that for too long.
func TestRecordWritesOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newFakeStore(clock)
	first, second := s.keeper(), s.keeper()
	for range 3 {
		for _, k := range []*Keeper{first, second} {
			if err := k.Record(t.Context(), versionsOf("v1", "v1")); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.writes != 1 || s.reads != 2 {
		t.Errorf("%d writes and %d reads, want 1 and 2", s.writes, s.reads)
	}
	clock.Advance(recordedLifetime)
	if err := first.Record(t.Context(), versionsOf("v1")); err != nil || s.reads != 3 {
		t.Errorf("%d reads after the lifetime, %v", s.reads, err)
	}
	first.Forget()
	s.rows = map[string]platform.FeedRow{}
	if err := first.Record(t.Context(), versionsOf("v1")); err != nil || len(s.rows) != 1 {
		t.Errorf("%d rows after a loss, %v", len(s.rows), err)
	}
}

// Guards against an error that is taken for a record, and against failing for a lost reply.
func TestRecordFailsWithTheStore(t *testing.T) {
	s := newFakeStore(clockwork.NewFakeClock())
	k := s.keeper()
	s.down = true
	if err := k.Record(t.Context(), versionsOf("v1")); err == nil {
		t.Error("recorded while the store was down")
	}
	s.down, s.loseReplies = false, 1
	if err := k.Record(t.Context(), versionsOf("v1")); err != nil || len(s.rows) != 1 {
		t.Errorf("%d rows, %v", len(s.rows), err)
	}
}

// Guards against records that are closed while their origin is there, or not closed, or
// forgotten early.
func TestUpdateFollowsPresence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newFakeStore(clock)
	k := s.keeper()
	update := func(present ...string) []table.SoftwareVersion {
		t.Helper()
		clock.Advance(time.Minute)
		if err := k.Update(t.Context(), versionsOf(present...)); err != nil {
			t.Fatal(err)
		}
		return s.versions(t)
	}
	want := func(got []table.SoftwareVersion, versions ...table.SoftwareVersion) {
		t.Helper()
		if !slices.Equal(got, versions) {
			t.Errorf("versions %v, want %v", got, versions)
		}
	}
	want(update("v1"), "v1")
	want(update("v1", "v2"), "v1", "v2")
	want(update("v2"), "v1", "v2") // absent once: a list may be partial
	want(update("v1", "v2"), "v1", "v2")
	update("v2")
	want(update("v2"), "v1", "v2") // closed now
	want(update("v1", "v2"), "v1", "v2")
	clock.Advance(2 * Memory)
	want(update("v1", "v2"), "v1", "v2") // rolled back: it does not expire
	update("v2")
	update("v2")
	clock.Advance(Memory - 2*time.Minute)
	want(update("v2"), "v1", "v2")
	clock.Advance(2 * time.Minute)
	want(update("v2"), "v2")
	if len(s.rows) != 1 {
		t.Errorf("%d rows are left, want 1", len(s.rows))
	}
	// A record is lost, and one can't be decoded.
	s.rows = map[string]platform.FeedRow{}
	want(update("v2"), "v2")
	s.version++
	s.rows[versionsOf("v2")[0].key()] = platform.FeedRow{Key: versionsOf("v2")[0].key(), Version: s.version, Value: []byte("x")}
	want(update("v2"), "v2")
	s.rows[versionsOf("v9")[0].key()] = platform.FeedRow{Key: versionsOf("v9")[0].key(), Version: s.version, Value: []byte("x")}
	want(update("v2"))
	clock.Advance(Memory)
	want(update("v2"), "v2")
}

// Guards against a delayed write that closes the record of a version which has come back.
func TestDelayedCloseDoesNotCloseAReopenedRecord(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newFakeStore(clock)
	k := s.keeper()
	for _, present := range [][]string{{"v1"}, {}, {}} {
		s.delayNext = len(present) == 0
		_ = k.Update(t.Context(), versionsOf(present...))
		clock.Advance(time.Minute)
	}
	s.applyDelayed()
	if err := k.Update(t.Context(), versionsOf("v1")); err != nil {
		t.Fatal(err)
	}
	clock.Advance(2 * Memory)
	if got := s.versions(t); !slices.Equal(got, []table.SoftwareVersion{"v1"}) {
		t.Errorf("versions %v, want v1", got)
	}
}

// TestNoStreamOfTwoVersions plays rollouts, streams, restarts of all daemons and faults of
// the store in random order. A stream begins only at a version that was recorded; when it is
// taken up, the history has that version.
func TestNoStreamOfTwoVersions(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		s := newFakeStore(clock)
		keepers := []*Keeper{s.keeper(), s.keeper()}
		present := map[string]bool{}
		began := map[string]time.Time{}
		names := []string{"v1", "v2", "v3"}
		name := rapid.SampledFrom(names)
		pick := rapid.IntRange(0, len(keepers)-1)
		list := func() (origins []Origin) {
			for _, n := range names {
				if present[n] {
					origins = append(origins, versionsOf(n)...)
				}
			}
			return origins
		}
		t.Repeat(map[string]func(*rapid.T){
			"appear": func(t *rapid.T) {
				n := name.Draw(t, "version")
				if keepers[pick.Draw(t, "keeper")].Record(context.Background(), versionsOf(n)) == nil {
					present[n] = true
				}
			},
			"begin": func(t *rapid.T) {
				if n := name.Draw(t, "version"); present[n] {
					began[n] = clock.Now()
				}
			},
			"leave": func(t *rapid.T) { present[name.Draw(t, "version")] = false },
			"update": func(*rapid.T) {
				clock.Advance(time.Minute)
				for _, k := range keepers {
					_ = k.Update(context.Background(), list())
				}
			},
			"restart":   func(t *rapid.T) { keepers[pick.Draw(t, "keeper")] = s.keeper() },
			"advance":   func(t *rapid.T) { clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"storeDown": func(*rapid.T) { s.down = true },
			"storeUp":   func(*rapid.T) { s.down = false },
			"loseReply": func(*rapid.T) { s.loseReplies = 1 },
			"delay":     func(*rapid.T) { s.delayNext = true },
			"delayed":   func(*rapid.T) { s.applyDelayed() },
			"": func(t *rapid.T) {
				if s.down {
					return
				}
				versions := s.versions(t)
				for n, at := range began {
					if clock.Since(at) < Memory && !slices.Contains(versions, table.SoftwareVersion(n)) {
						t.Fatalf("a stream began at %s %v ago, the history has %v", n, clock.Since(at), versions)
					}
				}
			},
		})
	})
}
