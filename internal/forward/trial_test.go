package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	completes = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood"
	refuses   = "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	// betweenTrials exceeds the minimum time between two trials of a part.
	betweenTrials = 3 * time.Second
)

// trialSite sends requests with a quarantined part of prompts to scripted endpoints.
type trialSite struct {
	site
	f     *Forwarder
	clock *clockwork.FakeClock
}

// newTrialSite starts scripted endpoints and quarantines the part; a trial is due.
func newTrialSite(t *testing.T, endpoints ...string) *trialSite {
	s := &trialSite{clock: clockwork.NewFakeClock()}
	for _, answer := range endpoints {
		s.listen(t, answer)
	}
	s.f = newTestForwarder(&s.site)
	s.f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
	s.f.Parts = quarantine.NewParts(s.clock)
	s.f.MayTry = func(table.Pool) bool { return true }
	for _, name := range []table.EndpointName{"x", "y", "z"} {
		s.f.Parts.RecordTermination(trialRequest().partKeys(), name)
	}
	s.clock.Advance(time.Minute)
	return s
}

func trialRequest() *Request {
	now := boottime.System{}.Now()
	return &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p", Attempts: 1,
		Parts:      []placement.Part{{ID: 1}, {ID: 2}},
		ReceivedAt: now, Deadline: now + 20*time.Second, MaySend: func() *outcome.Refusal { return nil },
	}
}

// send sends a request and reports whether it was served.
func (s *trialSite) send() bool { return s.sendRequest(trialRequest()) }

func (s *trialSite) sendRequest(r *Request) bool {
	err := s.f.Do(context.Background(), r, Sink{
		Head: func(int, http.Header, int64) {},
		Body: func([]byte) error { return nil },
	})
	return err == nil
}

// Guards against keeping back requests for long after a trial that has shown nothing,
// because no endpoint has run it to its end.
func TestTrialWithoutResultIsRepeated(t *testing.T) {
	for name, first := range map[string]string{"refused": refuses, "not connected": "nobody", "connection lost": ""} {
		t.Run(name, func(t *testing.T) {
			s := newTrialSite(t, first, completes)
			served := s.send()
			if s.clock.Advance(betweenTrials); !served && !s.send() {
				t.Error("the trial was not repeated")
			}
			if s.f.Parts.QuarantinedCount() != 0 {
				t.Error("the part is still quarantined after a request with it has completed")
			}
		})
	}
}

// Guards against repeating trials that show nothing without limit: each may reach an
// endpoint.
func TestTrialsWithoutResultAreLimited(t *testing.T) {
	s := newTrialSite(t, refuses, refuses, refuses, refuses, refuses, refuses)
	for range 10 {
		s.send()
		s.clock.Advance(betweenTrials)
	}
	if s.sent > 3 {
		t.Errorf("%d requests have reached endpoints within half a minute, want 3 at most", s.sent)
	}
}

// Guards against an early trial of common parts by a request that terminates endpoints
// itself: it fails, and the next trial of these parts has to wait longer.
func TestSuspectRequestIsNoEarlyTrial(t *testing.T) {
	s := newTrialSite(t, completes)
	suspect, sound := trialRequest(), trialRequest()
	suspect.Fingerprint, sound.Fingerprint = 1, 2
	s.f.Quarantine.RecordTermination(suspect.Fingerprint, "x")
	s.f.Parts = quarantine.NewParts(s.clock)
	for _, name := range []table.EndpointName{"x", "y", "z"} {
		s.f.Parts.RecordTermination(append(sound.partKeys(), 7), name)
	}
	s.clock.Advance(betweenTrials)
	for range 60 {
		s.sendRequest(suspect)
	}
	if s.sent != 0 {
		t.Error("the suspect request was sent as a trial")
	}
	if !s.sendRequest(sound) {
		t.Error("the sound request was not sent as a trial")
	}
}
