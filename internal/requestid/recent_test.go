package requestid

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/quarantine"
)

// Guards against a request that arrives twice being served twice, and against refusing one
// that is another request or has certainly not run.
func TestRecent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewRecent(clock)
	begin := func(want State, id string, f int) func(bool) {
		t.Helper()
		before, end := r.Begin(id, quarantine.Fingerprint(f))
		if before != want || (end == nil) != (want == InProgress || want == MayHaveRun) {
			t.Fatalf("%s/%d: %q before, want %q", id, f, before, want)
		}
		return end
	}
	end := begin(Unknown, "a", 1)
	begin(InProgress, "a", 1)
	begin(Unknown, "a", 2)(true)
	begin(Unknown, "b", 1)(true)
	end(false)
	end = begin(NotRun, "a", 1)
	clock.Advance(memory)
	begin(InProgress, "a", 1)
	end(true)
	begin(MayHaveRun, "a", 1)
	clock.Advance(memory - time.Second)
	begin(MayHaveRun, "a", 1)
	clock.Advance(time.Second)
	begin(Unknown, "a", 1)
}

// Guards against a memory that grows with the number of requests.
func TestRecentIsBounded(t *testing.T) {
	r := NewRecent(clockwork.NewFakeClock())
	for i := range 3 * maxEnded {
		_, end := r.Begin(fmt.Sprint(i), 1)
		end(true)
	}
	if n := len(r.states); n > maxEnded+2 {
		t.Errorf("%d requests are remembered, at most %d are allowed", n, maxEnded+2)
	}
}
