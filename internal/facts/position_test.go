package facts

import (
	"testing"
	"time"
)

// Guards against an endpoint that left and is taken in again from the whole
// list of a daemon at an older position.
func TestEndpointThatLeftIsNotTakenInAgain(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	old, fresh, third := newGapDaemon(s), newGapDaemon(s), newGapDaemon(s)
	old.poll()
	third.hear(old)
	s.put("e1", "")
	s.boot.Advance(100 * time.Millisecond)
	fresh.poll()
	if err := fresh.Holder.Learn(old.Holder.Since(0, 0)); err != nil {
		t.Fatal(err)
	}
	if got := ids(fresh.Holder.Endpoints()); got != "e2" {
		t.Errorf("the fresh daemon knows %q, want e2", got)
	}
	third.hear(fresh)
	if got := ids(third.Holder.Endpoints()); got != "e2" {
		t.Errorf("the third daemon knows %q, want e2", got)
	}
}

// Guards against daemons that know different endpoints at one position after
// an outage of the store, so that each takes the other's word for its own list.
func TestDaemonsKnowTheSameAfterAnOutage(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	a, b := newGapDaemon(s), newGapDaemon(s)
	a.poll()
	b.poll()
	s.outage(3*time.Second, []string{"e1"}, a, b)
	a.poll()
	b.hear(a)
	b.poll()
	s.boot.Advance(time.Second)
	s.put("e1", "up")
	a.poll()
	b.hear(a)
	for name, d := range map[string]*gapDaemon{"a": a, "b": b} {
		if got := ids(d.Holder.Endpoints()); got != "e1 e2" {
			t.Errorf("daemon %s knows %q at %d, want e1 e2", name, got, d.Holder.Summary().Position)
		}
	}
}

// Guards against a departure that is lost with the reader that keeps lapsed
// endpoints for a while: the next reader goes on after it.
func TestDepartureOutlivesItsReader(t *testing.T) {
	s := newGapStore()
	s.put("e1", "up")
	s.put("e2", "up")
	a, b := newGapDaemon(s), newGapDaemon(s)
	a.poll()
	b.hear(a)
	s.outage(3*time.Second, []string{"e1"}, a)
	a.poll()
	b.hear(a)
	for range 10 {
		s.boot.Advance(returnGrace / 5)
		b.poll()
	}
	if got := ids(b.Holder.Endpoints()); got != "e2" {
		t.Errorf("long after the outage the next reader knows %q, want e2", got)
	}
}

// Guards against an endpoint that left twice and is taken in again, by a daemon
// that has read the list after the second time, from one that knows the list
// before.
func TestEndpointThatLeftTwiceIsNotTakenInAgain(t *testing.T) {
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
	fresh.endpoints.synced, fresh.endpoints.forgotten = false, true
	fresh.poll()
	if err := fresh.Holder.Learn(old.Holder.Since(0, fresh.Holder.Summary().Position)); err != nil {
		t.Fatal(err)
	}
	if err := fresh.Holder.Learn(old.Holder.Since(0, 0)); err != nil {
		t.Fatal(err)
	}
	if got := ids(fresh.Holder.Endpoints()); got != "e2" {
		t.Errorf("the daemon that has read the list knows %q, want e2", got)
	}
}
