package facts

import (
	"testing"
	"time"
)

// Guards against an endpoint that has left and is added again from the
// complete list of a daemon at an older position.
func TestGoneEndpointIsNotRestoredByOlderList(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	old, fresh, third := newGapDaemon(s), newGapDaemon(s), newGapDaemon(s)
	old.poll()
	third.receive(old)
	s.put("e1", "")
	s.boot.Advance(100 * time.Millisecond)
	fresh.poll()
	if err := fresh.Holder.ApplyDelta(old.Holder.DeltaSince(0, 0)); err != nil {
		t.Fatal(err)
	}
	if got := ids(fresh.Holder.Endpoints()); got != "e2" {
		t.Errorf("the fresh daemon knows %q, want e2", got)
	}
	third.receive(fresh)
	if got := ids(third.Holder.Endpoints()); got != "e2" {
		t.Errorf("the third daemon knows %q, want e2", got)
	}
}

// Guards against daemons that know different endpoints at the same position
// after an outage of the store, so that each accepts the other's confirmation
// for its own list.
func TestDaemonsAgreeAfterOutage(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	a, b := newGapDaemon(s), newGapDaemon(s)
	a.poll()
	b.poll()
	s.outage(3*time.Second, []string{"e1"}, a, b)
	a.poll()
	b.receive(a)
	b.poll()
	s.boot.Advance(time.Second)
	s.put("e1", "up")
	a.poll()
	b.receive(a)
	for name, d := range map[string]*gapDaemon{"a": a, "b": b} {
		if got := ids(d.Holder.Endpoints()); got != "e1 e2" {
			t.Errorf("daemon %s knows %q at %d, want e1 e2", name, got, d.Holder.Summary().Position)
		}
	}
}

// Guards against a departure that is lost when the reader that retains lapsed
// endpoints is replaced: the next reader continues after it.
func TestDepartureSurvivesChangeOfReader(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	a, b := newGapDaemon(s), newGapDaemon(s)
	a.poll()
	b.receive(a)
	s.outage(3*time.Second, []string{"e1"}, a)
	a.poll()
	b.receive(a)
	for range 10 {
		s.boot.Advance(graceTime / 5)
		b.poll()
	}
	if got := ids(b.Holder.Endpoints()); got != "e2" {
		t.Errorf("long after the outage the next reader knows %q, want e2", got)
	}
}

// Guards against an endpoint that has left twice and is added again: a daemon
// has read the complete list after the second departure, and receives the list
// of one that knows only the state before.
func TestEndpointGoneTwiceIsNotRestoredByOlderList(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	fresh, old := newGapDaemon(s), newGapDaemon(s)
	fresh.poll()
	s.put("e1", "")
	s.boot.Advance(100 * time.Millisecond)
	fresh.poll()
	s.put("e1", "up again")
	s.boot.Advance(100 * time.Millisecond)
	old.poll()
	s.put("e1", "")
	s.boot.Advance(100 * time.Millisecond)
	fresh.endpoints.synced, fresh.endpoints.historyGone = false, true
	fresh.poll()
	if err := fresh.Holder.ApplyDelta(old.Holder.DeltaSince(0, fresh.Holder.Summary().Position)); err != nil {
		t.Fatal(err)
	}
	if err := fresh.Holder.ApplyDelta(old.Holder.DeltaSince(0, 0)); err != nil {
		t.Fatal(err)
	}
	if got := ids(fresh.Holder.Endpoints()); got != "e2" {
		t.Errorf("the daemon that has read the list knows %q, want e2", got)
	}
}
