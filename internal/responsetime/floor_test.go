package responsetime

import (
	"testing"
	"time"
)

// Guards against a floor that is set by a few responses, by those of another pool, or
// by what is long past.
func TestFloor(t *testing.T) {
	const pool = "p"
	f, now := &Floor{}, time.Unix(0, 0)
	observe := func(n int, took time.Duration) {
		for range n {
			f.Observe(pool, now, took)
		}
	}
	want := func(what string, after time.Duration, tooSoon bool) {
		t.Helper()
		if got := f.IsTooSoon(pool, now, after); got != tooSoon {
			t.Errorf("%s: %v is too soon: %v, want %v", what, after, got, tooSoon)
		}
	}
	want("no response", time.Millisecond, false)
	observe(minSamples-1, 60*time.Millisecond)
	want("few responses", time.Millisecond, false)
	observe(1, 50*time.Millisecond)
	f.Observe("other", now, time.Millisecond)
	want("less than half of the shortest", 24*time.Millisecond, true)
	want("half of the shortest", 25*time.Millisecond, false)
	now = now.Add(span)
	observe(minSamples, 80*time.Millisecond)
	want("in the next span", 30*time.Millisecond, false)
	now = now.Add(span)
	observe(1, 90*time.Millisecond)
	want("when the first is past", 30*time.Millisecond, true)
	now = now.Add(2 * span)
	want("after a long time without responses", time.Millisecond, false)
}
