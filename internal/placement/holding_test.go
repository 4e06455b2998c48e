package placement

import (
	"testing"
	"time"
)

// Guards against a new coordinator that is not told what still has to end: the report of a
// grant says how long it has run, how much its caller has and how long its caller waits.
func TestReportTellsWhatHasToEnd(t *testing.T) {
	s := newCluster(t, 2)
	ranked := s.ranked()
	entry := ranked[1]
	for _, deadline := range []time.Duration{12 * time.Second, 0} {
		held := s.awaitGrant(s.reserveUntil(entry, deadline))
		s.run(time.Second)
		held.RecordToken()
		held.RecordToken()
		s.run(time.Second)
		entry.placer.mu.Lock()
		report := entry.placer.report(entry.placer.links[held.pending.host.ID])
		entry.placer.mu.Unlock()
		held.Release(released)
		s.run(100 * time.Millisecond)
		if len(report.GetHoldings()) != 1 {
			t.Fatalf("%d grants are reported, want 1", len(report.GetHoldings()))
		}
		h := report.GetHoldings()[0]
		if elapsed := h.GetElapsedMs(); elapsed < 2000 || elapsed > 2100 || h.GetTokens() != 2 {
			t.Errorf("%d ms and %d events are reported", elapsed, h.GetTokens())
		}
		// The wait for the grant counts as well.
		if left := h.GetLeftMs(); deadline > 0 && (left+h.GetElapsedMs() > 12_000 || left < 9000) || deadline == 0 && left != 0 {
			t.Errorf("%d ms are left of %v", left, deadline)
		}
	}
}
