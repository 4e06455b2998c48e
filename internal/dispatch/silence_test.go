package dispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

// pausingEngine is an engine that can stop as a suspended process does: it keeps
// its connections, accepts new ones, and sends nothing until it goes on.
type pausingEngine struct {
	*standin.Engine
	handler http.Handler

	mu sync.Mutex
	// running is closed unless the engine is paused.
	running chan struct{}
	// received counts the chat requests that have arrived, open those of them
	// that have not ended.
	received, open int
}

func newPausingEngine(speed standin.EngineSpeed) *pausingEngine {
	e := &pausingEngine{Engine: standin.NewEngine(speed), running: make(chan struct{})}
	close(e.running)
	e.handler = e.Handler()
	return e
}

func (e *pausingEngine) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = make(chan struct{})
}

func (e *pausingEngine) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.running)
}

// wait returns false if the request ends while the engine is paused.
func (e *pausingEngine) wait(r *http.Request) bool {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	select {
	case <-running:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *pausingEngine) counts() (received, open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received, e.open
}

func (e *pausingEngine) count(open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received += max(open, 0)
	e.open += open
}

func (e *pausingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathChat {
		e.count(1)
		defer e.count(-1)
	}
	// The server notices the end of a connection once the body was read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if e.wait(r) {
		e.handler.ServeHTTP(&pausingWriter{ResponseWriter: w, r: r, engine: e}, r)
	}
}

type pausingWriter struct {
	http.ResponseWriter
	r      *http.Request
	engine *pausingEngine
}

func (w *pausingWriter) Write(b []byte) (int, error) {
	if !w.engine.wait(w.r) {
		return 0, io.ErrClosedPipe
	}
	return w.ResponseWriter.Write(b)
}

func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// pausingSite is a site with one daemon whose engines can be paused.
type pausingSite struct {
	*standin.Site
	engines []*pausingEngine
}

// startPausingSite starts a site with n engines of some slots each. Its class
// "stream" has deadlines of 2 s between tokens, and "streamOnce" as well, but
// must not be executed twice.
func startPausingSite(t *testing.T, n, slots int) *pausingSite {
	t.Helper()
	s := &pausingSite{}
	target := table.Target{FirstToken: table.Duration(time.Second), BetweenTokens: table.Duration(100 * time.Millisecond)}
	s.Site = startSiteWith(t, n, func(tab *table.Table) {
		for i := range n {
			e := newPausingEngine(standin.EngineSpeed{Concurrency: slots, Token: 20 * time.Millisecond})
			server := httptest.NewServer(e)
			t.Cleanup(server.Close)
			s.engines = append(s.engines, e)
			tab.Endpoints[i].URL = server.URL
			tab.Endpoints[i].Concurrency = slots
		}
		pools, wait := []table.Pool{standin.SampleModel}, table.Duration(time.Minute)
		tab.Classes = append(tab.Classes,
			table.Class{Name: "stream", Weight: 1, Pools: pools, MaxWait: wait, Idempotent: true, Target: target},
			table.Class{Name: "streamOnce", Weight: 1, Pools: pools, MaxWait: wait, Target: target},
		)
		tab.Accounts[0].Classes = append(tab.Accounts[0].Classes, "stream", "streamOnce")
	})
	return s
}

// lookup calls the plain service with a class whose calls may be repeated, are
// late after 1 s and end after 3 s.
func lookup(t *testing.T, s *standin.Site, body string) (status int, answer string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Settings[0].CallerAddress+"/v1/services/booking/slots", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+standin.StudioKey)
	req.Header.Set("Beechhead-Class", "lookup")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(data)
}

// Guards against calls to a plain service that fail because their answers are
// late and the retry budget is used up.
func TestLateAnswersOfAServiceAreWaitedFor(t *testing.T) {
	t.Parallel()
	const calls = 24
	s := startSiteWith(t, 1, func(tab *table.Table) {
		target := table.Target{WholeAnswer: table.Duration(300 * time.Millisecond)}
		tab.Classes = append(tab.Classes, table.Class{Name: "lookup", Weight: 1, Pools: []table.Pool{standin.SampleService}, MaxWait: table.Duration(time.Minute), Idempotent: true, Target: target})
		tab.Accounts[0].Classes = append(tab.Accounts[0].Classes, "lookup")
		for i := range tab.Endpoints {
			tab.Endpoints[i].Concurrency = 2 * calls
		}
	})
	s.Service.SetFaults(standin.ServiceFaults{DelayMs: 1500})
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			body := fmt.Sprintf(`{"day":%d}`, i)
			if status, answer := lookup(t, s, body); status != http.StatusOK {
				t.Errorf("call %d: %d %s", i, status, answer)
			}
		})
	}
	wg.Wait()
	executed := 0
	for _, n := range s.Service.Executions() {
		executed += n
	}
	if executed > calls*11/10+4 {
		t.Errorf("%d calls were executed %d times", calls, executed)
	}
}

// requests returns the number of chat requests that all engines have received,
// and that of those which are open.
func (s *pausingSite) requests() (received, open int) {
	for _, e := range s.engines {
		r, o := e.counts()
		received, open = received+r, open+o
	}
	return received, open
}

// waitForEnd waits until no engine has an open request.
func (s *pausingSite) waitForEnd() {
	for _, open := s.requests(); open > 0; _, open = s.requests() {
		time.Sleep(time.Millisecond)
	}
}

func (s *pausingSite) tokens() (n int) {
	for _, e := range s.engines {
		n += e.Stats().Tokens
	}
	return n
}

// stream sends n requests at once and waits until their answers are under way.
// The returned function waits for all answers to be whole.
func (s *pausingSite) stream(t *testing.T, class string, n, tokens int) (wait func()) {
	t.Helper()
	before, begun := s.tokens(), 5*n
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			prompt := fmt.Sprintf("Which slots are open on day %d? [[tokens=%d]]", i, tokens)
			r, err := sendChatWithTimeout(t, callerTimeout, s.Site, class, prompt)
			if want := strings.Join(standin.Answer(prompt), ""); err != nil || r.text != want || !r.done || r.outcome != "done" {
				t.Errorf("stream %d: got %+v, %v, want the text %q", i, r, err, want)
			}
		})
	}
	for s.tokens() < before+begun {
		time.Sleep(time.Millisecond)
	}
	return wg.Wait
}

func pauseAll(engines []*pausingEngine, d time.Duration) {
	for _, e := range engines {
		e.pause()
	}
	time.Sleep(d)
	for _, e := range engines {
		e.resume()
	}
}

// longSilence is longer than the deadline between tokens of the test's classes.
const longSilence = 3 * time.Second

// Guards against answers that break off because all engines are silent at once:
// the retry budget is used up by the first of them.
func TestSilenceOfAllEnginesBreaksNoAnswer(t *testing.T) {
	t.Parallel()
	const streams = 24
	s := startPausingSite(t, 3, 16)
	wait := s.stream(t, "stream", streams, 60)
	pauseAll(s.engines, longSilence)
	wait()
	if n, _ := s.requests(); n > streams*11/10+4 {
		t.Errorf("engines received %d requests for %d answers", n, streams)
	}
}

// Guards against second attempts that use up the retry budget while all engines
// are silent, so that none is left for an engine that hangs.
func TestSharedSilenceUsesNoRetries(t *testing.T) {
	t.Parallel()
	const streams = 24
	s := startPausingSite(t, 3, 16)
	wait := s.stream(t, "stream", streams, 60)
	pauseAll(s.engines, 2600*time.Millisecond)
	wait()
	if n, _ := s.requests(); n != streams {
		t.Errorf("engines received %d requests for %d answers", n, streams)
	}
}

// Guards against answers of requests that must not run twice, which break off
// though their engine goes on.
func TestSilentEngineOfARequestThatMustNotRunTwiceIsWaitedFor(t *testing.T) {
	t.Parallel()
	s := startPausingSite(t, 2, 4)
	wait := s.stream(t, "streamOnce", 4, 60)
	pauseAll(s.engines, longSilence)
	wait()
	if n, _ := s.requests(); n != 4 {
		t.Errorf("engines received %d requests for 4 answers", n)
	}
}

// Guards against an answer that is given up for silence before there is a slot
// on another engine: the only other one is busy until the answer is whole.
func TestSilentEngineIsWaitedForWhileTheOthersAreBusy(t *testing.T) {
	t.Parallel()
	s := startPausingSite(t, 2, 1)
	waitBoth := s.stream(t, "stream", 2, 300)
	pauseAll(s.engines[:1], longSilence)
	waitBoth()
	if n, _ := s.requests(); n != 2 {
		t.Errorf("engines received %d requests for 2 answers", n)
	}
}

// Guards against an engine that hangs for good and is not left though another
// one can take over, and against attempts that go on after they have lost.
func TestHungEngineIsLeft(t *testing.T) {
	t.Parallel()
	s := startPausingSite(t, 2, 4)
	wait := s.stream(t, "stream", 4, 100)
	hung := s.engines[0]
	before, _ := hung.counts()
	hung.pause()
	defer hung.resume()
	wait()
	s.waitForEnd()
	if n, _ := s.requests(); n != 4+before {
		t.Errorf("engines received %d requests, %d of 4 were on the hung one", n, before)
	}
}

func chatRequest(t *testing.T, s *standin.Site, class string) *http.Request {
	t.Helper()
	body := standin.ChatBody(string(standin.SampleModel), "Which slots are open?", true)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Settings[0].CallerAddress+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+standin.StudioKey)
	req.Header.Set("Beechhead-Class", class)
	return req
}

// Guards against attempts that go on after their caller has left.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	t.Parallel()
	s := startPausingSite(t, 2, 4)
	for _, e := range s.engines {
		e.pause()
		defer e.resume()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req := chatRequest(t, s.Site, "stream")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := http.DefaultClient.Do(req.WithContext(ctx)); err == nil {
			_ = resp.Body.Close()
			t.Errorf("status %d of engines that are silent", resp.StatusCode)
		}
	}()
	for _, open := s.requests(); open < 2; _, open = s.requests() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	s.waitForEnd()
}

// Guards against a silent engine that is given up for one whose first event is
// an error, though it goes on.
func TestErrorOfAnotherEngineDoesNotEndTheSilentOne(t *testing.T) {
	t.Parallel()
	var requests atomic.Int32
	failed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathChat {
			_, _ = io.WriteString(w, "{}")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		if requests.Add(1) > 1 {
			_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"out of memory\"}}\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(failed)
			return
		}
		_, _ = io.WriteString(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"nine \"}}]}\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-failed:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"thirty\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	s := startSiteWith(t, 1, func(tab *table.Table) { tab.Endpoints[0].URL = server.URL })
	r := sendChat(t, s, "summary", "Which slots are open?")
	if n := requests.Load(); r.text != "nine thirty" || !r.done || n != 2 {
		t.Errorf("got %+v with %d requests", r, n)
	}
}

// Guards against a stream with two ids: an engine is silent after an event
// without text, and another one begins the answer.
func TestStreamHasOneIDAfterSilence(t *testing.T) {
	t.Parallel()
	var requests atomic.Int32
	engines := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathChat {
			_, _ = io.WriteString(w, "{}")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := requests.Add(1)
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"engine-%d\",\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n", n)
		if n == 1 {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"engine-%d\",\"choices\":[{\"delta\":{\"content\":\"nine\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", n)
	})
	server := httptest.NewServer(engines)
	t.Cleanup(server.Close)
	s := startSiteWith(t, 1, func(tab *table.Table) { tab.Endpoints[0].URL = server.URL })
	resp, err := http.DefaultClient.Do(chatRequest(t, s, "summary"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || strings.Contains(string(data), "engine-2") || !strings.Contains(string(data), "nine") || !strings.HasSuffix(string(data), "[DONE]\n\n") {
		t.Errorf("got %s, %v", data, err)
	}
}
