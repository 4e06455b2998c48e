package responsetime

import (
	"strconv"
	"testing"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against an expectation from a few responses, from those of another class or size,
// or from what is no longer usual.
func TestDurations(t *testing.T) {
	const class = "c"
	d := &Durations{}
	observe := func(n, tokens int, took time.Duration) {
		for range n {
			d.Observe(class, tokens, took)
		}
	}
	want := func(what string, tokens int, share float64, took time.Duration, known bool) {
		t.Helper()
		if got, ok := d.Quantile(class, tokens, share); got != took || ok != known {
			t.Errorf("%s: %v, %v, want %v, %v", what, got, ok, took, known)
		}
	}
	want("no response", 0, 1, 0, false)
	observe(minSamples-1, 30, 2*time.Second)
	want("few responses", 30, 1, 0, false)
	observe(1, 30, 4*time.Second)
	d.Observe("other", 30, time.Hour)
	observe(minSamples, 3000, time.Minute)
	want("half of them", 30, 0.5, 2*time.Second, true)
	want("all of them", 30, 1, 4*time.Second, true)
	want("nearly as many tokens", 17, 1, 4*time.Second, true)
	want("far more tokens", 3000, 1, time.Minute, true)
	want("no tokens", -1, 1, 0, false)
	observe(keptDurations, 30, time.Second)
	want("later ones", 30, 1, time.Second, true)
	for i := range 2 * maxKinds {
		d.Observe(table.ClassName(strconv.Itoa(i)), 0, time.Second)
	}
	if n := len(d.kinds); n > maxKinds {
		t.Errorf("%d kinds are kept, want %d at most", n, maxKinds)
	}
}
