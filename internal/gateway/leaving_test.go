package gateway

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against requests to an engine whose own responses have said that it is
// leaving, while its registration still says that it is ready.
func TestEngineThatSaysItIsLeavingGetsNoRequests(t *testing.T) {
	const drainTime = 2 * time.Second
	s := newTestSite(t, 3)
	leaving := []*testEngine{s.engines["llm-1"], s.engines["app-1"]}
	for _, e := range leaving {
		e.SetFaults(standin.EngineFaults{Leaving: true})
	}
	s.chatAndLook(10)
	time.Sleep(drainTime)
	before := map[*testEngine]int{}
	for _, e := range leaving {
		before[e] = len(e.Arrivals())
		if before[e] == 0 {
			t.Fatalf("%s has not said that it is leaving", e.ID)
		}
	}
	s.chatAndLook(20)
	for _, e := range leaving {
		if got := len(e.Arrivals()) - before[e]; got > 0 {
			t.Errorf("%s: %d requests, want none", e.ID, got)
		}
	}
}
