package forward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

func newTestNotices(clock clockwork.Clock) *Notices {
	processOf := func(name table.EndpointName) (string, time.Time) { return string(name), time.Time{} }
	return &Notices{Clock: clock, ProcessOf: processOf, OnLeaving: func(table.EndpointName) {}, OnBackoff: func(table.EndpointName, time.Duration) {}}
}

// Guards against a back-off that a later refusal shortens, that outlives its end, or
// that hides that the endpoint is leaving.
func TestNotices(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newTestNotices(clock)
	a, b := &table.Endpoint{Name: "a", Pool: "p"}, &table.Endpoint{Name: "b", Pool: "p"}
	n.Record(a, placement.Announcement{Backoff: 3 * time.Second})
	clock.Advance(time.Second)
	n.Record(a, placement.Announcement{Backoff: time.Second})
	n.Record(b, placement.Announcement{Backoff: 4 * time.Second})
	names, until := n.BackingOff("p")
	if len(names) != 2 || until.Sub(clock.Now()) != 2*time.Second || n.MaySend("a") || n.MaySend("b") {
		t.Errorf("backingOff: %v, until %v", names, until.Sub(clock.Now()))
	}
	if names, _ := n.BackingOff("other"); len(names) > 0 {
		t.Errorf("backingOff in another pool: %v", names)
	}
	clock.Advance(2 * time.Second)
	if names, _ := n.BackingOff("p"); len(names) != 1 || !n.MaySend("a") {
		t.Errorf("backingOff after the end: %v", names)
	}
	n.Record(b, placement.Announcement{Leaving: true})
	n.Record(b, placement.Announcement{Backoff: time.Second})
	clock.Advance(2 * noticeLifetime)
	n.Prune(func(table.EndpointName) bool { return true })
	if n.MaySend("b") {
		t.Error("a leaving endpoint that is still known may be used")
	}
	n.Prune(func(table.EndpointName) bool { return false })
	if len(n.all) > 0 {
		t.Errorf("notices of endpoints that are gone: %v", n.all)
	}
}

// Guards against forgetting what a process has said that had not registered yet, and was
// taken for the one that had its ID before.
func TestNoticesOfUnregisteredProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newTestNotices(clock)
	starts := map[table.EndpointName]time.Time{"1": clock.Now(), "2": clock.Now().Add(time.Minute), "3": clock.Now().Add(time.Hour)}
	n.ProcessOf = func(name table.EndpointName) (string, time.Time) { return "id", starts[name] }
	first := &table.Endpoint{Name: "1", Pool: "p"}
	clock.Advance(2 * time.Minute)
	n.Record(first, placement.Announcement{Leaving: true, Backoff: time.Second})
	if n.MaySend("1") || n.MaySend("2") {
		t.Error("requests are sent to the process that has said that it is leaving")
	}
	if !n.MaySend("3") {
		t.Error("no requests are sent to the process after it")
	}
	n.Record(&table.Endpoint{Name: "3", Pool: "p"}, placement.Announcement{Backoff: time.Second})
	if n.MaySend("3") {
		t.Error("requests are sent to a process that has asked for back-off")
	}
	if clock.Advance(time.Second); !n.MaySend("3") {
		t.Error("the process counts as leaving since the one before was")
	}
}
