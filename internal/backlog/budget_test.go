package backlog

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// taking records that the caller has taken some bytes each 100 ms from the time on when it fell
// behind, until it stopped.
func taking(h *holding, n Bytes, until time.Time) *holding {
	for at := h.behindSince; at.Before(until); at = at.Add(100 * time.Millisecond) {
		h.take(at, n)
	}
	return h
}

// Guards against fast or nearly finished responses that are ended in place of the slowest.
func TestChooseSlowest(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, tt := range map[string]struct {
		all  []*holding
		want uint64
		wait time.Duration
	}{
		"nothing is held": {all: []*holding{{number: 1}}},
		"slowest": {all: []*holding{
			{number: 1, held: 1000, taken: 4000, takenAt: now, behindSince: ago(2 * time.Second)},
			{number: 2, held: 1000, taken: 400, takenAt: now, behindSince: ago(2 * time.Second)},
			{number: 3, held: 1000, taken: 9000, takenAt: now, behindSince: ago(2 * time.Second)},
		}, want: 2},
		"last of those of a like speed": {all: []*holding{
			{number: 1, held: 1000, taken: 2000, takenAt: now, behindSince: ago(4 * time.Second)},
			{number: 2, held: 1000, taken: 1100, takenAt: now, behindSince: ago(2 * time.Second)},
			{number: 3, held: 1000, taken: 9000, takenAt: now, behindSince: ago(2 * time.Second)},
		}, want: 2},
		"stopped, but holds little": {all: []*holding{
			{number: 1, held: 100, behindSince: ago(time.Minute)},
			{number: 2, held: 1000, taken: 4000, takenAt: now, behindSince: ago(2 * time.Second)},
		}, want: 2},
		"has just stopped, but was faster on average": {all: []*holding{
			taking(&holding{number: 1, held: 1000, behindSince: ago(10 * time.Second)}, 1000, ago(2*time.Second)),
			taking(&holding{number: 2, held: 1000, behindSince: ago(10 * time.Second)}, 100, now),
		}, want: 1},
		"too early to tell": {all: []*holding{
			{number: 1, held: 1000, behindSince: ago(settleTime / 4)},
			{number: 2, held: 1000, behindSince: ago(settleTime / 2)},
		}, wait: settleTime / 2},
		"too early to tell of one that holds more": {all: []*holding{
			{number: 1, held: 9000, behindSince: ago(settleTime / 4)},
			{number: 2, held: 8000, taken: 1000, takenAt: now, behindSince: ago(2 * time.Second)},
		}, wait: settleTime - settleTime/4},
	} {
		slowest, wait := chooseSlowest(tt.all, now)
		got := uint64(0)
		if slowest != nil {
			got = slowest.number
		}
		if got != tt.want || wait != tt.wait {
			t.Errorf("%s: %d gives way, wait %v; want %d, %v", name, got, wait, tt.want, tt.wait)
		}
	}
}

// Guards against a limit that leaves the daemon itself no memory.
func TestLimit(t *testing.T) {
	for memory, want := range map[Bytes]Bytes{
		138 << 20: 60 << 20,
		96 << 20:  32 << 20,
		40 << 20:  minLimit,
	} {
		if got := Limit(memory); got != want {
			t.Errorf("a host with %d bytes may hold %d, want %d", memory, got, want)
		}
	}
}

// reserve calls Account.Reserve, and returns whether the bytes were added.
func reserve(t *testing.T, a *Account, n Bytes) bool {
	t.Helper()
	wait, _, err := a.Reserve(n)
	if err != nil && !errors.Is(err, ErrGaveWay) {
		t.Fatal(err)
	}
	return err == nil && wait == 0
}

// Guards against callers that keep up and are refused room, or ended, because of those that
// don't: the slow ones fill the budget for as long as they like.
func TestSlowCallersGiveWayToOthers(t *testing.T) {
	const limit = 100 * blockSize
	clock := clockwork.NewFakeClock()
	b := NewBudget(clock, limit)
	var gone []int
	var slow []*Account
	for i := range 10 {
		a := b.Open(func(Slowness) { gone = append(gone, i); b.countGaveWay() })
		slow = append(slow, a)
		for range 8 {
			if !reserve(t, a, blockSize) {
				t.Fatalf("no room for slow caller %d", i)
			}
		}
		clock.Advance(time.Millisecond)
	}
	clock.Advance(2 * settleTime)
	fast := b.Open(func(Slowness) { t.Error("a caller that keeps up gave way") })
	if !reserve(t, fast, smallHolding) {
		t.Error("no room for a caller that keeps up")
	}
	if len(gone) > 0 {
		t.Errorf("%v gave way although there was room", gone)
	}
	for range 6 {
		if !reserve(t, fast, blockSize) {
			t.Error("no room for a response although others are slow")
		}
	}
	if len(gone) != 1 || gone[0] != len(slow)-1 {
		t.Errorf("%v gave way, want the one that began last", gone)
	}
	if reserve(t, slow[len(slow)-1], blockSize) {
		t.Error("a response goes on that gave way")
	}
	for _, a := range append(slow, fast) {
		a.Close()
	}
	if f := b.Figures(); f.Held != 0 || f.Responses != 0 || f.GaveWay != 1 || f.Behind < 20*settleTime {
		t.Errorf("figures %+v", f)
	}
}

// Guards against an endpoint that waits for a budget that slow callers have used up until
// it cuts off its response: at the latest after settleTime a caller gives way.
func TestReserveWaitsUntilItIsKnownWhoIsSlow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(clock, 4*blockSize)
	ended := false
	first := b.Open(func(Slowness) { ended = true })
	for range 3 {
		reserve(t, first, blockSize)
	}
	second := b.Open(func(Slowness) {})
	if !reserve(t, second, blockSize) {
		t.Fatal("no room for a response that holds little")
	}
	wait, freed, err := second.Reserve(blockSize)
	if err != nil || wait != settleTime || ended {
		t.Fatalf("wait %v, error %v, the other has ended: %v", wait, err, ended)
	}
	clock.Advance(wait)
	if !reserve(t, second, blockSize) || !ended {
		t.Errorf("the slow response goes on: %v", !ended)
	}
	select {
	case <-freed:
	default:
		t.Error("freed was not closed")
	}
}

// Guards against memory that others have lent and need, and that is not taken back, or is from
// callers that are not the slowest.
func TestLentMemoryIsTakenBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(clock, 100*blockSize)
	lent := Bytes(100 * blockSize)
	b.Lent = func() Bytes { return lent }
	var gone []string
	open := func(name string) *Account {
		a := b.Open(func(Slowness) { gone = append(gone, name) })
		if wait, _, err := a.Reserve(80 * blockSize); wait > 0 || err != nil {
			t.Fatalf("%s: wait %v, %v", name, wait, err)
		}
		return a
	}
	fast, slow := open("fast"), open("slow")
	for range 40 {
		clock.Advance(100 * time.Millisecond)
		fast.Release(0, blockSize)
		slow.Release(0, blockSize/16)
	}
	b.TakeBack()
	if len(gone) != 0 {
		t.Errorf("%v gave way though nothing is needed", gone)
	}
	lent = 0
	b.TakeBack()
	if len(gone) != 1 || gone[0] != "slow" || b.Figures().Held != 80*blockSize {
		t.Errorf("%v gave way, %d bytes are held", gone, b.Figures().Held)
	}
	lent = -1000 * blockSize
	b.TakeBack()
	if len(gone) != 1 {
		t.Errorf("%v gave way for a debt of others", gone)
	}
	fast.Close()
}
