package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
)

// A caller disconnects while it receives a long response. The request must be
// cancelled at the engine, and the tokens so far must be counted as wasted.
func TestDisconnectedCallerIsCancelledAndCounted(t *testing.T) {
	s := startSite(t, standin.SiteConfig{Daemons: 1, Engines: 1, Zones: 1, Speed: standin.EngineSpeed{Concurrency: 1, PromptToken: time.Nanosecond, Token: time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := string(standin.ChatBody(string(standin.SampleModel), "a long one [[tokens=100000]]", true))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Settings[0].CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+standin.StudioKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = resp.Body.Close()
	eventually(t, "the engine's count of cancelled requests", func() bool { return s.Engines[0].Stats().Cancelled == 1 })
	eventually(t, "wasted tokens and the reason in the status", func() bool {
		slots := classFigures(t, s)["slots"]
		return slots.Since.WastedTokens > 0 && slots.Since.Refused["callerGone"] == 1 && slots.Running == 0
	})
}

// classStatus holds the fields of a class' status that the tests read.
type classStatus struct {
	Running int64 `json:"running"`
	Since   struct {
		Answered     int64            `json:"answered"`
		WastedTokens int64            `json:"wastedTokens"`
		Refused      map[string]int64 `json:"refused"`
	} `json:"since"`
}

// status holds the fields of a site's status that the tests read.
type status struct {
	Classes   map[string]classStatus `json:"classes"`
	Endpoints []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"endpoints"`
}

func classFigures(t *testing.T, s *standin.Site) map[string]classStatus {
	t.Helper()
	return siteStatus(t, s).Classes
}

func siteStatus(t *testing.T, s *standin.Site) (answer status) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Settings[0].OperatorAddress+"/v1/status", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+standin.DemoOperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

// Two accounts use the same idempotency key with the same service and body.
// Each gets an execution of its own and sees neither the claim nor the response
// of the other.
func TestClaimsArePerAccount(t *testing.T) {
	s := startSite(t, standin.SiteConfig{Daemons: 1, Engines: 1, Zones: 1, Speed: fastEngines})
	const body = `{"booth":1}`
	var answers []string
	for _, key := range []string{standin.StudioKey, standin.KioskKey, standin.StudioKey} {
		text := fmt.Sprintf("POST /v1/services/booking/slots HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
			"Beechhead-Class: booking\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		got := exchange(t, s.Settings[0].CallerAddress, text, false, http.MethodPost)
		if got.status != http.StatusOK {
			t.Fatalf("status %d: %s", got.status, got.body)
		}
		answers = append(answers, got.body)
	}
	if answers[0] == answers[1] || answers[0] != answers[2] {
		t.Errorf("responses %q", answers)
	}
	if n := s.Service.Executions()[body]; n != 2 {
		t.Errorf("executed %d times, want once for each account", n)
	}
}

// A caller uses its API key on the operators' API, which exposes the table with
// all accounts and the metrics.
func TestOperatorAPIRejectsCallerKeys(t *testing.T) {
	s := startSite(t, standin.SiteConfig{Daemons: 1, Engines: 1, Zones: 1, Speed: fastEngines})
	for _, path := range []string{"/v1/table", "/v1/status", "/v1/hosts", "/v1/table/history", "/metrics"} {
		text := "GET " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer studio-key\r\n\r\n"
		if got := exchange(t, s.Settings[0].OperatorAddress, text, false, http.MethodGet); got.status != http.StatusUnauthorized {
			t.Errorf("%s: status %d", path, got.status)
		}
	}
}
