package forward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

func newTestNotices(clock clockwork.Clock) *Notices {
	return &Notices{Clock: clock, OnLeaving: func(table.EndpointName) {}, OnBackoff: func(table.EndpointName, time.Duration) {}}
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
