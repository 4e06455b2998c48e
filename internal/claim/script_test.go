package claim_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

type step struct {
	// On is the name of the daemon.
	On string `json:"on"`
	Do string `json:"do"`
	// Key and Body default to k-1 and "body".
	Key  string `json:"key"`
	Body string `json:"body"`
	// Want is claimed, replay or the reason of a refusal.
	Want   string                 `json:"want"`
	Answer string                 `json:"answer"`
	State  claim.State            `json:"state"`
	Faults standin.PlatformFaults `json:"faults"`
	By     table.Duration         `json:"by"`
	Times  int                    `json:"times"`
	Count  int                    `json:"count"`
	Bytes  int                    `json:"bytes"`
}

// Guards against executing a request twice, and against a false response to a
// repeated one. The same request is sent through several hosts while the
// platform loses replies, is down or delivers a write late, and while hosts
// fail.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/claims.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t)
			for i, step := range s.Steps {
				r.step(fmt.Sprintf("step %d (%s)", i+1, step.Do), step)
			}
		})
	}
}

// harness is a platform with two daemons.
type harness struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	platform *standin.Platform
	daemons  map[string]*testDaemon
}

// testDaemon is the part of a daemon that handles claims.
type testDaemon struct {
	store     *claim.Store
	transport *standin.LateTransport
	holder    claim.Holder
	claims    map[string]*claim.Claim
	gone      bool
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, clock: clockwork.NewFakeClock(), platform: standin.NewPlatform(), daemons: map[string]*testDaemon{}}
	server := httptest.NewServer(r.platform.Handler())
	t.Cleanup(server.Close)
	for i, name := range []string{"a", "b"} {
		transport := &standin.LateTransport{Next: &http.Transport{}}
		holder := claim.Holder{Host: name, Incarnation: uint64(i)}
		// The platform client waits on the real clock between retries.
		client := platform.NewClient(server.URL, transport, time.Minute).For(platform.UseClaims)
		s := claim.NewStore(r.clock, client, holder, metric.NewRegistry())
		s.HolderGone = func(h claim.Holder) bool { return r.daemons[h.Host].gone }
		r.daemons[name] = &testDaemon{store: s, transport: transport, holder: holder, claims: map[string]*claim.Claim{}}
	}
	return r
}

func (r *harness) step(name string, s step) {
	r.t.Helper()
	d := r.daemons[s.On]
	key := s.Key
	if key == "" {
		key = "k-1"
	}
	switch s.Do {
	case "begin":
		r.begin(name, d, key, s)
	case "finish":
		d.store.Finish(r.t.Context(), d.claims[key], s.State, response(s))
	case "release":
		d.store.Release(r.t.Context(), d.claims[key])
	case "settle":
		d.store.RetryPending(r.t.Context())
	case "settleAll":
		for d.store.PendingCount() > 0 {
			d.store.RetryPending(r.t.Context())
			time.Sleep(10 * time.Millisecond)
		}
	case "hold":
		d.transport.Hold(s.Times)
	case "pass":
		d.transport.Pass(s.Times)
	case "deliver":
		d.transport.Deliver()
	case "gone":
		d.gone = true
	case "sweep":
		if _, err := d.store.SweepPage(r.t.Context(), ""); err != nil {
			r.t.Fatal(name, err)
		}
	case "faults":
		r.platform.SetFaults(s.Faults)
	case "advance":
		r.clock.Advance(s.By.Std())
	default:
		r.check(name, s)
	}
}

func (r *harness) check(name string, s step) {
	r.t.Helper()
	rows := r.platform.Rows("claims")
	switch s.Do {
	case "rows":
		if len(rows) != s.Count {
			r.t.Errorf("%s: %d rows, want %d", name, len(rows), s.Count)
		}
	case "objects":
		if n := r.platform.Objects(); n != s.Count {
			r.t.Errorf("%s: %d objects, want %d", name, n, s.Count)
		}
	case "largestRow":
		for _, row := range rows {
			if len(row.Value) > s.Bytes {
				r.t.Errorf("%s: a row of %d bytes", name, len(row.Value))
			}
		}
	default:
		r.t.Fatalf("%s: unknown step", name)
	}
}

func (r *harness) begin(name string, d *testDaemon, key string, s step) {
	r.t.Helper()
	body := s.Body
	if body == "" {
		body = "body"
	}
	c, err := d.store.Begin(r.t.Context(), claim.Scope{Account: "studio", Service: "booking", Key: key}, []byte(body))
	got := "claimed"
	switch {
	case err != nil:
		got = string(outcome.FromError(err).Reason)
	case c.Replay != nil:
		got = "replay"
		if want := response(s); string(c.Replay.Body) != string(want.Body) || c.Replay.Header.Get("X-Booth") != "1" {
			r.t.Errorf("%s: replayed %d bytes and header %v", name, len(c.Replay.Body), c.Replay.Header)
		}
	default:
		d.claims[key] = c
	}
	if got != s.Want {
		r.t.Fatalf("%s: %s (%v), want %s", name, got, err, s.Want)
	}
	if err != nil {
		r.checkOutcome(name, outcome.FromError(err))
	}
}

// checkOutcome checks that a refusal reports the right outcome of the request.
func (r *harness) checkOutcome(name string, refusal *outcome.Refusal) {
	r.t.Helper()
	want := outcome.Unknown
	if refusal.Reason == outcome.ReasonStoreDown || refusal.Reason == outcome.ReasonOtherBody {
		want = outcome.NotRun
	}
	if refusal.Outcome != want {
		r.t.Errorf("%s: outcome %s, want %s", name, refusal.Outcome, want)
	}
}

func response(s step) *service.Response {
	if s.Answer == "" {
		return nil
	}
	body := s.Answer
	if body == "large" {
		body = strings.Repeat("slot \x00\xff", 10_000)
	}
	return &service.Response{Status: http.StatusConflict, Header: http.Header{"X-Booth": {"1"}}, Body: []byte(body)}
}

// Guards against a list of one account's claims that includes other accounts,
// misses claims or repeats them across pages.
func TestList(t *testing.T) {
	r := newHarness(t)
	s := r.daemons["a"].store
	for i := range 7 {
		for _, account := range []table.AccountName{"studio", "kiosk"} {
			if _, err := s.Begin(t.Context(), claim.Scope{Account: account, Service: "booking", Key: fmt.Sprint(i)}, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	seen, after := map[string]bool{}, ""
	for range 10 {
		page, err := s.List(t.Context(), "studio", after, 3)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range page.Claims {
			if e.Account != "studio" || e.State != claim.Running || seen[e.Key] {
				t.Errorf("listed %+v", e)
			}
			seen[e.Key] = true
		}
		if after = page.Next; after == "" {
			break
		}
	}
	if len(seen) != 7 {
		t.Errorf("listed %d claims, want 7", len(seen))
	}
}

// Guards against unbounded memory use when many large responses wait for a
// platform that is down. Responses beyond the limit are dropped, and repeated
// requests are told that the outcome is unknown.
func TestPendingResponsesAreBounded(t *testing.T) {
	r := newHarness(t)
	d := r.daemons["a"]
	const size = 64 << 10
	d.store.MaxPendingBytes = 4 * size
	begin := func(i int) (*claim.Claim, error) {
		return d.store.Begin(t.Context(), claim.Scope{Account: "studio", Service: "booking", Key: fmt.Sprint(i)}, nil)
	}
	var claims []*claim.Claim
	for i := range 5 {
		c, err := begin(i)
		if err != nil {
			t.Fatal(err)
		}
		claims = append(claims, c)
	}
	r.platform.SetFaults(standin.PlatformFaults{Down: true})
	for _, c := range claims {
		d.store.Finish(t.Context(), c, claim.Done, &service.Response{Status: http.StatusOK, Body: make([]byte, size)})
	}
	r.platform.SetFaults(standin.PlatformFaults{})
	for d.store.PendingCount() > 0 {
		d.store.RetryPending(t.Context())
		time.Sleep(10 * time.Millisecond)
	}
	for i := range claims {
		c, err := begin(i)
		if i < 4 && (err != nil || len(c.Replay.Body) != size) {
			t.Errorf("claim %d: %v", i, err)
		}
		if refusal, ok := errors.Into[*outcome.Refusal](err); i == 4 && (!ok || refusal.Reason != outcome.ReasonClaimUnknown) {
			t.Errorf("claim %d: %v", i, err)
		}
	}
}
