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
		if got := f.IsTooSoon(pool, after); got != tooSoon {
			t.Errorf("%s: %v is too soon: %v, want %v", what, after, got, tooSoon)
		}
	}
	want("no response", time.Millisecond, false)
	observe(minSamples-1, 60*time.Millisecond)
	want("few responses", time.Millisecond, false)
	observe(1, 50*time.Millisecond)
	f.Observe("other", now, time.Millisecond)
	want("earlier than all", 49*time.Millisecond, true)
	want("as early as one", 50*time.Millisecond, false)
	now = now.Add(span)
	observe(minSamples, 80*time.Millisecond)
	want("in the next span", 60*time.Millisecond, false)
	now = now.Add(span)
	observe(1, 90*time.Millisecond)
	want("when the first is past", 60*time.Millisecond, true)
}
