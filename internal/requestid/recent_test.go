package requestid

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/quarantine"
)

// Guards against a request that arrives twice being taken for a new one, and against taking
// another request for it.
func TestRecent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewRecent(clock)
	begin := func(want State, id string, f quarantine.Fingerprint) func(State) {
		t.Helper()
		before, end := r.Begin(id, f)
		if before != want || (end == nil) != (want != Unknown) {
			t.Fatalf("%s/%d: %q before, want %q", id, f, before, want)
		}
		return end
	}
	end := begin(Unknown, "a", 1)
	begin(InProgress, "a", 1)
	begin(Unknown, "a", 2)(MayHaveRun)
	begin(Unknown, "b", 1)(NotRun)
	clock.Advance(memory)
	begin(InProgress, "a", 1)
	end(NotRun)
	begin(NotRun, "a", 1)
	begin(Unknown, "b", 1)(MayHaveRun)
	begin(MayHaveRun, "b", 1)
	clock.Advance(memory - time.Second)
	begin(NotRun, "a", 1)
	clock.Advance(time.Second)
	begin(Unknown, "a", 1)
}

// Guards against a memory that grows with the number of requests.
func TestRecentIsBounded(t *testing.T) {
	r := NewRecent(clockwork.NewFakeClock())
	for i := range 3 * maxEnded {
		_, end := r.Begin(fmt.Sprint(i), 1)
		end(MayHaveRun)
	}
	if n := len(r.states); n > maxEnded+2 {
		t.Errorf("%d requests are remembered, at most %d are allowed", n, maxEnded+2)
	}
}

// Guards against a memory that grows with the length of ids.
func TestLongIDsAreNotKept(t *testing.T) {
	r := NewRecent(clockwork.NewFakeClock())
	long := strings.Repeat("i", 1<<20)
	before := heapInUse()
	for i := range 100 {
		_, end := r.Begin(fmt.Sprint(i)+long, 1)
		end(MayHaveRun)
	}
	if grown := heapInUse() - before; grown > 10<<20 {
		t.Errorf("100 ids of 1 MiB take %d bytes", grown)
	}
	if before, _ := r.Begin("7"+long, 1); before != MayHaveRun {
		t.Errorf("state %q of a request with a long id, want %q", before, MayHaveRun)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
