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
	// terminatingPart is a part of prompts that terminates every engine that begins to
	// write a response to it.
	terminatingPart = "bad0"
	// endsUntilKnown is how many engines may terminate before the part must be known.
	endsUntilKnown = 5
)

// partSite starts a site with many engines that a part of prompts terminates.
func partSite(t *testing.T, f standin.EngineFaults) *testSite {
	s := newTestSite(t, 3)
	for i := range 16 {
		s.addEngine(fmt.Sprintf("llm-%d", 3+i), "llm")
	}
	f.TerminateOnPart = terminatingPart
	s.setFaults(f)
	for _, d := range s.daemons {
		s.await("all engines known", func() bool { return len(d.g.holder.Endpoints()) == len(s.engines) })
	}
	return s
}

// terminations returns how many engines have terminated.
func (s *testSite) terminations() (n int) {
	for _, e := range s.engines {
		if e.CurrentID() != e.ID {
			n++
		}
	}
	return n
}

// removeTerminated removes the registrations of the engines that have terminated.
func (s *testSite) removeTerminated() {
	left := 0
	for id, e := range s.engines {
		if e.CurrentID() != e.ID {
			s.store.Remove(platform.TableEngines, id)
			continue
		}
		left++
	}
	for _, d := range s.daemons {
		s.await("terminated engines gone", func() bool { return len(d.g.holder.Endpoints()) == left })
	}
}

// sendPart sends a request with the terminating part, of which no two are alike.
func (s *testSite) sendPart(d *testDaemon) response {
	own := nextID()
	return s.call(d, http.MethodPost, "/draft/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: "aa:800," + terminatingPart + ":300," + ownPart(),
	}, "prompt "+own)
}

// sendSound sends a request that shares its caller, its first part and its route with
// those that terminate engines.
func (s *testSite) sendSound(d *testDaemon) response {
	return s.call(d, http.MethodPost, "/draft/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: "aa:800,cc:300," + ownPart(),
	}, "prompt")
}

// Guards against requests with a part that terminates engines being forwarded one after
// the other, since no two of them are alike, and against keeping back sound requests
// that share all other parts.
func TestPartThatTerminatesEnginesIsQuarantined(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"the connection is reset":                               {},
		"the response ends with its connection before an event": {Unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := partSite(t, f)
			for i := 0; s.terminations() < endsUntilKnown && i < 2*endsUntilKnown; i++ {
				s.sendPart(s.daemons[i%3])
				s.sendSound(s.daemons[i%3])
			}
			time.Sleep(propagationBound)
			s.removeTerminated()
			before := s.terminations()
			if before == 0 {
				t.Fatal("no engine terminated")
			}
			var last response
			for i := range 9 {
				last = s.sendPart(s.daemons[i%3])
				if a := s.sendSound(s.daemons[i%3]); a.status != http.StatusOK || a.err != nil || a.body != fullStream(a.id, 5) {
					t.Errorf("a sound request: status %d, body %q, %v", a.status, a.body, a.err)
				}
			}
			if n := s.terminations() - before; n > sendsAfterQuarantine {
				t.Errorf("%d more engines terminated, want at most %d", n, sendsAfterQuarantine)
			}
			if retry := last.header.Get(platform.HeaderRetryAfter); last.status != http.StatusServiceUnavailable || retry != "" {
				t.Errorf("a request with the part: status %d, Retry-After %q", last.status, retry)
			}
		})
	}
}

// Guards against taking the end of an engine for the end of a response that has neither
// a length nor chunks.
func TestUnframedStreamOfTerminatedEngineIsContinued(t *testing.T) {
	s := newTestSite(t, 1)
	s.engines["llm-1"].SetFaults(standin.EngineFaults{Unframed: true, TerminateAfter: 2})
	s.engines["llm-2"].SetFaults(standin.EngineFaults{Unframed: true})
	for range 6 {
		if a := s.call(s.daemons[0], http.MethodPost, "/chat/x", map[string]string{
			platform.HeaderTokens: "1200,30", platform.HeaderParts: ownPart(),
		}, "prompt"); a.err != nil || a.body != fullStream(a.id, 5) {
			t.Errorf("status %d, body %q, %v", a.status, a.body, a.err)
		}
	}
	if s.terminations() != 1 {
		t.Errorf("%d engines terminated", s.terminations())
	}
}
