package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// terminatingBody is the body of requests that terminate every engine that
	// runs them.
	terminatingBody = "terminate the engine"
	// propagationBound is the time within which all daemons must act on a
	// report by one of them.
	propagationBound = 3 * time.Second
	// sendsAfterQuarantine is how often a request may still be sent to an
	// engine after that.
	sendsAfterQuarantine = 3
)

// terminateEngine sends a request that terminates the engine that runs it.
func (s *testSite) terminateEngine(d *testDaemon) response {
	return s.call(d, http.MethodPost, "/draft/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: "aa:800",
	}, terminatingBody)
}

// runsOf returns how often requests with a body were run.
func (s *testSite) runsOf(body string) int {
	n := 0
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			if r.Body == body {
				n++
			}
		}
	}
	return n
}

// awaitQuarantine waits until all daemons have quarantined a request, but at
// most for the time that they may take.
func (s *testSite) awaitQuarantine() {
	for end := time.Now().Add(propagationBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		know := 0
		for _, d := range s.daemons {
			know += int(d.g.metrics.Counters()["quarantine.begun"])
		}
		if know == len(s.daemons) {
			return
		}
	}
}

// Guards against a request that terminates engines being forwarded by daemons
// that have not received it before.
func TestRequestThatTerminatesEnginesIsQuarantined(t *testing.T) {
	s := newTestSite(t, 3)
	for i := range 10 {
		s.addEngine(fmt.Sprintf("llm-%d", 3+i), "llm")
	}
	s.setFaults(standin.EngineFaults{TerminateOn: terminatingBody})
	for _, d := range s.daemons {
		s.await("all engines known", func() bool { return len(d.g.holder.Endpoints()) == len(s.engines) })
	}
	for _, d := range s.daemons {
		s.terminateEngine(d)
	}
	before := s.runsOf(terminatingBody)
	if before != len(s.daemons) {
		t.Fatalf("%d engines terminated, want %d", before, len(s.daemons))
	}
	s.awaitQuarantine()
	var last response
	for range sendsAfterQuarantine {
		for _, d := range s.daemons {
			last = s.terminateEngine(d)
		}
	}
	if n := s.runsOf(terminatingBody) - before; n > sendsAfterQuarantine {
		t.Errorf("%d more engines terminated, want at most %d", n, sendsAfterQuarantine)
	}
	if retry := last.header.Get(platform.HeaderRetryAfter); last.status != http.StatusServiceUnavailable || retry != "" {
		t.Errorf("quarantined request: status %d, Retry-After %q", last.status, retry)
	}
	if a := s.chat(s.daemons[0], "draft"); a.err != nil || a.status != http.StatusOK {
		t.Errorf("another request: status %d, %v", a.status, a.err)
	}
}
