package endpoint

import (
	"testing"
	"time"
)

// Guards against a peer that is taken for lost while it acknowledges, and against one
// that is lost and never found.
func TestLossIsMissingAcknowledgement(t *testing.T) {
	type check struct {
		awaited bool
		since   time.Duration
	}
	lost, silent := check{true, time.Minute}, check{false, time.Minute}
	for _, tt := range []struct {
		name   string
		checks []check
		want   bool
	}{
		{"data is not acknowledged", []check{lost, lost, lost}, true},
		{"too short", []check{lost, lost}, false},
		{"nothing was sent", []check{silent, silent, silent, silent}, false},
		{"data is acknowledged, more is in transit", []check{{true, 0}, {true, 0}, {true, 0}, {true, 0}}, false},
		{"probes of a full window, further and further apart", []check{lost, silent, silent, lost, silent, silent, silent, lost}, false},
		{"an acknowledgement in between", []check{lost, lost, {true, time.Millisecond}, lost, lost}, false},
	} {
		d := lossDetector{limit: 3}
		got := false
		for _, c := range tt.checks {
			got = d.isLost(c.awaited, c.since) || got
		}
		if got != tt.want {
			t.Errorf("%s: lost: %v, want %v", tt.name, got, tt.want)
		}
	}
}
