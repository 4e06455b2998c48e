package dispatch_test

import (
	"testing"

	"github.com/beechhead/beechhead/internal/standin"
)

// Guards against sending or retrying a request after three engines have
// terminated while processing it.
func TestRequestThatTerminatesEnginesIsQuarantined(t *testing.T) {
	const fatalPrompt = "the engine ends"
	s := startSite(t, 6)
	for _, e := range s.Engines {
		e.SetFaults(standin.EngineFaults{EndsOn: fatalPrompt})
	}
	for range 4 {
		if got := sendChat(t, s, "quick", fatalPrompt); got.done {
			t.Fatal("a request that terminates engines was answered")
		}
	}
	got := sendChat(t, s, "quick", fatalPrompt)
	if got.code != "quarantined" || got.outcome != "notRun" {
		t.Errorf("got code %q with outcome %q, want quarantined with notRun", got.code, got.outcome)
	}
	received := 0
	for _, e := range s.Engines {
		received += e.Stats().Requests
	}
	if received != 3 {
		t.Errorf("%d engines received the request and terminated, want 3", received)
	}
	if got := sendChat(t, s, "quick", "another request"); !got.done {
		t.Errorf("another request failed with code %q", got.code)
	}
}
