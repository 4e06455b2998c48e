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
	// endingBody is that of requests that end each engine that runs them.
	endingBody = "the engine ends"
	// newsBound is within what all daemons must act on what one has learnt.
	newsBound = 3 * time.Second
	// sendsAfterwards is how often a request may still be sent after that.
	sendsAfterwards = 3
)

// endEngine sends a request that ends the engine that runs it.
func (s *testSite) endEngine(d *testDaemon) answer {
	return s.call(d, http.MethodPost, "/draft/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: "aa:800",
	}, endingBody)
}

// runsOf returns how often a body was run.
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

// awaitQuarantine waits until all daemons keep a request back, or for as long
// as they may take.
func (s *testSite) awaitQuarantine() {
	for end := time.Now().Add(newsBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		know := 0
		for _, d := range s.daemons {
			know += int(d.g.metrics.Counters()["quarantine.begun"])
		}
		if know == len(s.daemons) {
			return
		}
	}
}

// Guards against a request that ends engines being sent on by daemons that
// have not seen it before.
func TestRequestThatEndsEnginesIsSentOnNowhere(t *testing.T) {
	s := newTestSite(t, 3)
	for i := range 10 {
		s.addEngine(fmt.Sprintf("llm-%d", 3+i), "llm")
	}
	s.setFaults(standin.EngineFaults{EndsOn: endingBody})
	for _, d := range s.daemons {
		s.await("all engines known", func() bool { return len(d.g.holder.Endpoints()) == len(s.engines) })
	}
	for _, d := range s.daemons {
		s.endEngine(d)
	}
	before := s.runsOf(endingBody)
	if before != len(s.daemons) {
		t.Fatalf("%d engines ended, want %d", before, len(s.daemons))
	}
	s.awaitQuarantine()
	var last answer
	for range sendsAfterwards {
		for _, d := range s.daemons {
			last = s.endEngine(d)
		}
	}
	if n := s.runsOf(endingBody) - before; n > sendsAfterwards {
		t.Errorf("%d more engines ended, at most %d may", n, sendsAfterwards)
	}
	if retry := last.header.Get(platform.HeaderRetryAfter); last.status != http.StatusServiceUnavailable || retry != "" {
		t.Errorf("the caller gets status %d, Retry-After %q", last.status, retry)
	}
	if a := s.chat(s.daemons[0], "draft"); a.err != nil || a.status != http.StatusOK {
		t.Errorf("another request: status %d, %v", a.status, a.err)
	}
}
