package dispatch_test

import (
	"testing"

	"github.com/beechhead/beechhead/internal/standin"
)

// Guards against a request being sent on, or repeated by the daemon itself,
// after three engines have ended under it.
func TestRequestThatEndsEnginesIsKeptBack(t *testing.T) {
	const ending = "the engine ends"
	s := startSite(t, 6)
	for _, e := range s.Engines {
		e.SetFaults(standin.EngineFaults{EndsOn: ending})
	}
	for range 4 {
		if got := ask(t, s, "quick", ending); got.ended {
			t.Fatal("a request that ends engines was answered")
		}
	}
	got := ask(t, s, "quick", ending)
	if got.code != "quarantined" || got.outcome != "notRun" {
		t.Errorf("the caller gets code %q with outcome %q", got.code, got.outcome)
	}
	ran := 0
	for _, e := range s.Engines {
		ran += e.Stats().Requests
	}
	if ran != 3 {
		t.Errorf("%d engines have ended, want 3", ran)
	}
	if got := ask(t, s, "quick", "another request"); !got.ended {
		t.Errorf("another request ends with code %q", got.code)
	}
}
