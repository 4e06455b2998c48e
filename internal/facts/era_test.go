package facts

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
)

// Guards against positions of two eras that are ordered by their versions.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	old, fresh := PositionOf(1, 1<<40), PositionOf(2, 1)
	if fresh <= old || PositionOf(0, 7) != 7 {
		t.Errorf("era 2 version 1 is %d, era 1 version 2^40 is %d", fresh, old)
	}
	if old.Era() != 1 || old.Version() != 1<<40 {
		t.Errorf("era %d, version %d", old.Era(), old.Version())
	}
}

// Guards against a store whose responses name an invalid era: they count as
// responses of the previous era.
func TestInvalidEraCountsAsPreviousEra(t *testing.T) {
	s := newGapStore()
	s.era = 3
	s.put("c", "1")
	s.put("e1", "up")
	d := newGapDaemon(s)
	d.poll()
	for _, odd := range []platform.Rows{{}, {OddEra: true}, {Era: 2, HasEra: true}} {
		if got := d.responseEra(&odd, 3); got != 3 {
			t.Errorf("%+v counts as era %d", odd, got)
		}
	}
	if n := d.Metrics.Counters()["facts.eraInvalid"]; n != 2 {
		t.Errorf("%d invalid eras are counted, want 2", n)
	}
	if got := d.responseEra(&platform.Rows{Era: 4, HasEra: true}, 3); got != 4 {
		t.Errorf("era 4 counts as %d", got)
	}
}

// Guards against an old row that makes a draining or departed endpoint ready
// again, and against a row that is ignored though it was written since.
func TestRestoredRowsDontReviveDepartedEndpoints(t *testing.T) {
	before := []Endpoint{
		{ID: "leaves", Address: "a", Born: 5, Sequence: 8, Draining: true, Changed: PositionOf(0, 9)},
		{ID: "left", Address: "b", Born: 5, Sequence: 8, Gone: true, Changed: PositionOf(0, 9)},
		{ID: "stays", Address: "c", Born: 5, Sequence: 8, Changed: PositionOf(0, 9)},
	}
	const now, until = 1000, 7000
	listed := PositionOf(1, 4)
	var r restoreGuard
	r.begin(before, listed, until)
	for _, tt := range []struct {
		name  string
		row   Endpoint
		at    int64
		ready bool
	}{
		{"an old row", Endpoint{ID: "leaves", Born: 5, Sequence: 6, Changed: PositionOf(1, 2)}, now, false},
		{"the same row", Endpoint{ID: "left", Born: 5, Sequence: 8, Changed: PositionOf(1, 4)}, now, false},
		{"a later write of the same process", Endpoint{ID: "left", Born: 5, Sequence: 9, Changed: PositionOf(1, 4)}, now, true},
		{"a later process", Endpoint{ID: "leaves", Born: 6, Sequence: 1, Changed: PositionOf(1, 4)}, now, true},
		{"written in the new era", Endpoint{ID: "left", Born: 5, Sequence: 8, Changed: PositionOf(1, 5)}, now, true},
		{"an endpoint that had not departed", Endpoint{ID: "stays", Born: 5, Sequence: 6, Changed: PositionOf(1, 2)}, now, true},
		{"after the guard time", Endpoint{ID: "left", Born: 5, Sequence: 8, Changed: PositionOf(1, 4)}, until, true},
	} {
		e := r.apply(tt.row, storetime.Instant(tt.at))
		if got := !e.Gone && !e.Draining; got != tt.ready {
			t.Errorf("%s: ready is %v, want %v", tt.name, got, tt.ready)
		}
	}
	if ids := r.expire(storetime.Instant(until - 1)); len(ids) != 0 {
		t.Errorf("%v expired too early", ids)
	}
	if ids := r.expire(storetime.Instant(until)); len(ids) != 2 {
		t.Errorf("%v count from then on, want 2", ids)
	}
}

// Guards against an endpoint that stays unusable after the guard time because
// nothing is written that would trigger an update.
func TestRestoredRowsCountAfterGuardTime(t *testing.T) {
	s := newGapStore()
	s.put("c", "1")
	s.put("e1", "up")
	d := newGapDaemon(s)
	d.poll()
	s.put("e1", "")
	s.boot.Advance(time.Second)
	d.poll()
	s.restore(1, 1)
	// The first read of each feed finds that its version does not exist.
	d.poll()
	d.poll()
	if got := d.Holder.Summary().Position.Era(); got != 1 {
		t.Fatalf("the era is %d", got)
	}
	if got := ids(d.Holder.Endpoints()); got != "" {
		t.Errorf("right after the restore %q counts", got)
	}
	notified := 0
	d.Holder.OnChange = func() { notified++ }
	s.boot.Advance(restoreGuardTime)
	d.Holder.Expire()
	if got := ids(d.Holder.Endpoints()); got != "e1" || notified != 1 {
		t.Errorf("after the guard time %q counts, OnChange was called %d times", got, notified)
	}
}
