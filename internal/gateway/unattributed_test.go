package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// extra names the responses of a server that answer no request.
type extra int

const (
	extraNone extra = iota
	// extraRefusal is a second copy of a refusal.
	extraRefusal
	// extraAfterWhole is a refusal that follows a whole response.
	extraAfterWhole
	// extraBefore is a refusal right before the response to a request.
	extraBefore
)

const (
	// extraEvery is how many responses come between two extra ones.
	extraEvery = 5
	// extraWork is how long a request takes.
	extraWork = 10 * time.Millisecond
)

// extraConduct holds the ways in which a server refuses requests and sends extra refusals.
type extraConduct struct {
	extra extra
	delay time.Duration
	// refuseEvery is the number of requests of which one is refused.
	refuseEvery int
	// refusal is the status of refusals; withID makes them carry the id of their request.
	refusal int
	withID  bool
}

// extraServer is an instance of a plain service that refuses some requests and sends
// extra refusals, which answer no request.
type extraServer struct {
	extraConduct

	mu       sync.Mutex
	requests int
	answered int
	runs     map[string]int
	opened   int
}

func (e *extraServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.opened++
		e.mu.Unlock()
		go e.serveConn(c)
	}
}

func (e *extraServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		e.answer(c, req.Header.Get(platform.HeaderRequestID))
	}
}

// begin counts a request and reports whether it is run.
func (e *extraServer) begin(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	if e.refuseEvery > 0 && e.requests%e.refuseEvery == 0 {
		return false
	}
	e.runs[id]++
	return true
}

// sendsExtra reports whether an extra refusal goes with a response.
func (e *extraServer) sendsExtra() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered++
	return e.answered%extraEvery == 0
}

func (e *extraServer) answer(c net.Conn, id string) {
	if !e.begin(id) {
		refusal := e.refusalTo(id)
		_, _ = io.WriteString(c, refusal)
		if e.extra == extraRefusal {
			e.later(c, refusal)
		}
		return
	}
	time.Sleep(extraWork)
	before := ""
	sends := e.sendsExtra()
	if sends && e.extra == extraBefore {
		before = e.refusalTo("")
	}
	_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
		before, platform.HeaderRequestID, id, platform.HeaderSignature, len(id), id)
	if sends && e.extra == extraAfterWhole {
		e.later(c, e.refusalTo(""))
	}
}

// later sends an extra refusal after the delay.
func (e *extraServer) later(c net.Conn, refusal string) {
	go func() {
		time.Sleep(e.delay)
		_, _ = io.WriteString(c, refusal)
	}()
}

func (e *extraServer) refusalTo(id string) string {
	echoed := ""
	if e.withID && id != "" {
		echoed = platform.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", e.refusal, echoed, platform.HeaderNotExecuted)
}

// startExtraServers starts and registers three servers.
func (s *testSite) startExtraServers(conduct extraConduct) (servers []*extraServer) {
	s.t.Helper()
	for i := range 3 {
		e := &extraServer{extraConduct: conduct, runs: map[string]int{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = l.Close() })
		go e.serve(l)
		servers = append(servers, e)
		s.store.Put(platform.TableEngines, fmt.Sprintf("extra-%d", i), standin.NewEntry("extra", l.Addr().String(), false))
	}
	return servers
}

// addExtraService adds a service with an unsafe and a safe route to a document.
func addExtraService(_ *settings.Settings, d *standin.Document) {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": standin.SampleHost, "prefix": "/" + name + "/", "type": kind, "service": "extra",
			"timeout-ms": 5000, "target-latency-ms": 300, "priority": 1, "attempts": attempts,
		}
	}
	d.Routes = append(d.Routes, route("bill", "unsafe", 1), route("view", "safe", 2))
	d.Services = append(d.Services, map[string]any{"name": "extra", "max-connections": 200})
}

// extraResult counts how the requests of a play ended. whole, refused and unknown are
// those of unsafe requests.
type extraResult struct {
	whole, refused, unknown int
	twice, ranRefused       int
	safeWhole, safeFailed   int
	wrong, opened           int
}

// playExtra has callers send requests over kept connections, two thirds of them unsafe.
func (s *testSite) playExtra(servers []*extraServer, callers, each int) (result extraResult) {
	s.t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for n := range each {
				id, unsafe := nextID(), (i+n)%3 != 0
				status, body := s.callKept(transport, s.daemons[i%len(s.daemons)], id, unsafe)
				runs := 0
				for _, e := range servers {
					e.mu.Lock()
					runs += e.runs[id]
					e.mu.Unlock()
				}
				mu.Lock()
				result.count(unsafe, status, runs, body == id)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, e := range servers {
		e.mu.Lock()
		result.opened += e.opened
		e.mu.Unlock()
	}
	return result
}

func (r *extraResult) count(unsafe bool, status, runs int, own bool) {
	if status == http.StatusOK && !own {
		r.wrong++
	}
	switch {
	case !unsafe && status == http.StatusOK:
		r.safeWhole++
		return
	case !unsafe:
		r.safeFailed++
		return
	case status == http.StatusOK:
		r.whole++
	case status == http.StatusServiceUnavailable:
		r.refused++
		if runs > 0 {
			r.ranRefused++
		}
	default:
		r.unknown++
	}
	if runs > 1 {
		r.twice++
	}
}

// callKept sends one request over a kept connection; the status is 0 if there was no
// response.
func (s *testSite) callKept(transport *http.Transport, d *testDaemon, id string, unsafe bool) (status int, body string) {
	s.t.Helper()
	method, target := http.MethodGet, "/view/x"
	if unsafe {
		method, target = http.MethodPost, "/bill/x"
	}
	req, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s:%d%s", d.ip, testCallerPort, target), nil)
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	req.Host = standin.SampleHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAPIKey, standin.SampleKey)
	req.Header.Set(platform.HeaderDeadline, "5000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// extraPlays are the ways in which servers send extra refusals.
var extraPlays = []struct {
	name    string
	conduct extraConduct
}{
	{"none", extraConduct{extra: extraNone, refuseEvery: 5, refusal: 503}},
	{"a second refusal at once", extraConduct{extra: extraRefusal, refuseEvery: 5, refusal: 503}},
	{"a second refusal after 3 ms", extraConduct{extra: extraRefusal, delay: 3 * time.Millisecond, refuseEvery: 5, refusal: 503}},
	{"a second refusal after 40 ms", extraConduct{extra: extraRefusal, delay: 40 * time.Millisecond, refuseEvery: 5, refusal: 503}},
	{"a second 429 after 40 ms", extraConduct{extra: extraRefusal, delay: 40 * time.Millisecond, refuseEvery: 5, refusal: 429}},
	{"a second 421 after 40 ms", extraConduct{extra: extraRefusal, delay: 40 * time.Millisecond, refuseEvery: 5, refusal: 421}},
	{"a second refusal with its id", extraConduct{extra: extraRefusal, delay: 40 * time.Millisecond, refuseEvery: 5, refusal: 503, withID: true}},
	{"a refusal after a whole response", extraConduct{extra: extraAfterWhole, delay: 5 * time.Millisecond, refusal: 503}},
	{"a refusal before the response", extraConduct{extra: extraBefore, refusal: 503}},
}

// Guards against a refusal that answers an earlier request, or none, and is believed to be
// about the request that waits on the connection: it runs twice, or its caller is told that
// it was not run.
func TestRefusalsOfOtherRequestsAreNotBelieved(t *testing.T) {
	for _, tt := range extraPlays {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSiteWith(t, 3, addExtraService)
			servers := s.startExtraServers(tt.conduct)
			s.await("served", func() bool {
				for _, d := range s.daemons {
					if status, _ := s.callKept(&http.Transport{}, d, nextID(), false); status != http.StatusOK {
						return false
					}
				}
				return true
			})
			result := s.playExtra(servers, 24, 20)
			t.Logf("%+v", result)
			if result.twice > 0 || result.ranRefused > 0 || result.wrong > 0 {
				t.Errorf("%d requests ran twice, %d ran and were refused, %d got another response", result.twice, result.ranRefused, result.wrong)
			}
		})
	}
}
