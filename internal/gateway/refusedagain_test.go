package gateway

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// refusedLength is how long each play of TestRefusedRequestsRunOnce goes on, refusedAll
// makes it play all engines instead of the last ones.
var (
	refusedLength = flag.Duration("refused-length", time.Second, "length of the plays of TestRefusedRequestsRunOnce")
	refusedAll    = flag.Bool("refused-all", false, "play all engines of TestRefusedRequestsRunOnce")
)

// refusedPlays are the engines of the plays, beside one that only refuses.
var refusedPlays = []struct {
	name    string
	conduct engineConduct
}{
	{"sound", engineConduct{}},
	{"answers early", engineConduct{early: 0.7}},
	{"repeats responses", engineConduct{repeat: 0.5}},
	{"repeats and answers early", engineConduct{repeat: 0.5, early: 0.7}},
	{"stands still", engineConduct{stand: 300 * time.Millisecond}},
	{"stands still long", engineConduct{stand: 2 * time.Second, slots: 4}},
	{"resets connections", engineConduct{drop: 0.3}},
	{"loses responses", engineConduct{lose: 0.3, cut: 0.1}},
	{"is replaced", engineConduct{restart: 400 * time.Millisecond}},
	{"is replaced and repeats", engineConduct{restart: 400 * time.Millisecond, repeat: 0.5}},
	{"has a long queue", engineConduct{slots: 1}},
	{"stands still with a queue", engineConduct{slots: 1, stand: 300 * time.Millisecond, repeat: 0.3}},
	{"is replaced often and repeats", engineConduct{restart: 500 * time.Millisecond, repeat: 1}},
	{"all", engineConduct{early: 0.3, repeat: 0.3, stand: 400 * time.Millisecond, drop: 0.1, lose: 0.1, cut: 0.05, slots: 4, restart: time.Second}},
}

// Guards against requests that run twice, or run although their callers were told that they
// did not, when engines that refuse a tenth or a half stand beside engines that fail in
// other ways.
func TestRefusedRequestsRunOnce(t *testing.T) {
	plays := refusedPlays[len(refusedPlays)-1:]
	if *refusedAll {
		plays = refusedPlays
	}
	for _, tt := range plays {
		for _, share := range []float64{0.1, 0.5} {
			for _, unnamed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/unnamed %v", tt.name, share, unnamed), func(t *testing.T) {
					playRefused(t, tt.conduct, share, unnamed)
				})
			}
		}
	}
}

func playRefused(t *testing.T, conduct engineConduct, share float64, unnamed bool) {
	t.Helper()
	var log logBuffer
	s := newLoggedTestSite(t, 3, &log, func(c *settings.Settings, d *standin.Document) {
		addExtraService(c, d)
		addExtraStream(d)
		d.Limits = map[string]any{"max-body-bytes": 1 << 20}
	})
	runs := newEngineRuns()
	refusing := engineConduct{refuse: share, unnamed: unnamed}
	conduct.refuse, conduct.unnamed = share, unnamed
	for i := range 2 {
		s.startFaultyEngine(fmt.Sprintf("refusing-%d", i), refusing, runs)
		s.startFaultyEngine(fmt.Sprintf("faulty-%d", i), conduct, runs)
	}
	s.await("the engines are known", func() bool {
		status, _ := s.callKept(&http.Transport{}, s.daemons[0], nextID(), false)
		return status == http.StatusOK
	})
	p := &refusedPlay{site: s, runs: runs, until: time.Now().Add(*refusedLength)}
	var wg sync.WaitGroup
	for i := range 48 {
		wg.Go(func() { p.callAt(s.daemons[i%len(s.daemons)]) })
	}
	wg.Wait()
	// Engines may run what they have received later.
	time.Sleep(conduct.stand + 100*time.Millisecond)
	p.check(t, &log)
}

// addExtraStream adds a route with streams that are not resumable to the service extra.
func addExtraStream(d *standin.Document) {
	d.Routes = append(d.Routes, map[string]any{
		"name": "tell", "host": standin.SampleHost, "prefix": "/tell/", "type": "streaming", "service": "extra",
		"timeout-ms": 5000, "target-latency-ms": 300, "priority": 1, "attempts": 1,
	})
}

// refusedPlay has callers send requests until it ends, and keeps what they were told.
type refusedPlay struct {
	site  *testSite
	runs  *engineRuns
	until time.Time

	mu       sync.Mutex
	statuses map[string]int
}

// promises reports whether a status says that the request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (p *refusedPlay) callAt(d *testDaemon) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for time.Now().Before(p.until) {
		id := nextID()
		status := p.call(transport, d, id)
		p.mu.Lock()
		if p.statuses == nil {
			p.statuses = map[string]int{}
		}
		p.statuses[id] = status
		p.mu.Unlock()
	}
}

// call sends a request that must not be repeated: a stream or not, with a short or long
// body, in chunks or not. Some callers leave early. The status is 0 without a whole
// response.
func (p *refusedPlay) call(transport *http.Transport, d *testDaemon, id string) int {
	deadline := 300 + rand.IntN(1350)
	wait := time.Duration(deadline) * time.Millisecond
	if rand.IntN(20) == 0 {
		wait = time.Duration(rand.IntN(deadline)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	size := []int{0, 2400, 2400, 30_000}[rand.IntN(4)]
	body := io.Reader(bytes.NewReader(bytes.Repeat([]byte("b"), size)))
	if rand.IntN(3) == 0 {
		body = io.MultiReader(body)
	}
	target := []string{"/bill/x", "/tell/x"}[rand.IntN(2)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", d.ip, testCallerPort, target), body)
	if err != nil {
		p.site.t.Error(err)
		return 0
	}
	req.Host, req.Close = standin.SampleHost, rand.IntN(4) == 0
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAPIKey, standin.SampleKey)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline))
	if target == "/tell/x" {
		req.Header.Set(platform.HeaderParts, "aa:100,bb:"+fmt.Sprint(1+rand.IntN(100)))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// check reports requests that ran twice, or ran although that was ruled out to the caller.
func (p *refusedPlay) check(t *testing.T, log *logBuffer) {
	t.Helper()
	whole, refused, unknown, bad := 0, 0, 0, 0
	for id, status := range p.statuses {
		runs := p.runs.of(id)
		switch {
		case status == http.StatusOK:
			whole++
		case promises(status):
			refused++
		default:
			unknown++
		}
		if runs < 2 && (runs == 0 || !promises(status)) {
			continue
		}
		if bad++; bad <= 3 {
			t.Errorf("request %s ran %d times and got status %d", id, runs, status)
			for _, line := range log.lines("attempts") {
				if bytes.Contains([]byte(line), []byte(`"`+id+`"`)) {
					t.Log(line)
				}
			}
		}
	}
	p.runs.mu.Lock()
	defer p.runs.mu.Unlock()
	if p.runs.again > 0 {
		t.Errorf("%d times a connection has carried a request twice, whose refusals can't be told apart", p.runs.again)
	}
	t.Logf("%d requests: %d whole, %d refused, %d unknown, %d wrong; %d refusals of engines, %d connections opened",
		len(p.statuses), whole, refused, unknown, bad, p.runs.refused, p.runs.opened)
}
