package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// newLeavingSite starts a site whose first host will leave, with a short grace period and
// routes that allow for long requests. The other hosts stay.
func newLeavingSite(t *testing.T, hosts int) (s *testSite, leaving *testDaemon) {
	s = newTestSiteWith(t, hosts, func(conf *settings.Settings, doc *standin.Document) {
		conf.Gateway.Grace = table.Duration(4 * time.Second)
		for _, r := range doc.Routes {
			r["timeout-ms"], r["target-latency-ms"] = 60000, 4000
		}
	})
	return s, s.daemons[0]
}

// leave sends a host the signal, and kills it at the end of the grace period.
func (d *testDaemon) leave() {
	d.g.Drain()
	kill := time.AfterFunc(d.g.conf().Gateway.Grace.Std(), d.cancel)
	<-d.done
	kill.Stop()
	_ = d.g.callerHTTP.Close()
}

// longCall sends a request whose caller waits for longer than the grace period.
func (s *testSite) longCall(d *testDaemon, route string) response {
	s.t.Helper()
	header := map[string]string{platform.HeaderDeadline: "30000"}
	if isStreamRoute(route) {
		header[platform.HeaderTokens], header[platform.HeaderParts] = testTokens, testParts
	}
	return s.call(d, http.MethodPost, "/"+route+"/x", header, "p")
}

const (
	testTokens = "1200,30"
	testParts  = "aa:800,bb:300,cc:100"
)

func isStreamRoute(route string) bool { return route == "draft" || route == "chat" }

// wantRefused checks that a caller is told that its request was not run, and that it may
// ask elsewhere at once.
func (s *testSite) wantRefused(what string, a response) {
	s.t.Helper()
	switch {
	case a.err != nil || a.status != http.StatusServiceUnavailable:
		s.t.Errorf("%s: status %d, %v, want 503", what, a.status, a.err)
	case a.header.Get(platform.HeaderRetryAfter) == "":
		s.t.Errorf("%s: headers %v, want %s", what, a.header, platform.HeaderRetryAfter)
	case len(s.runs(a.id)) > 0:
		s.t.Errorf("%s: run, though its caller was told that it was not", what)
	}
}

// Guards against requests that wait for an engine when their host leaves, and are killed with
// it without a response.
func TestWaitingRequestsAreRefusedBeforeTheirHostEnds(t *testing.T) {
	s, leaving := newLeavingSite(t, 2)
	for _, e := range s.engines {
		e.Events, e.Delay = 80, 100*time.Millisecond
	}
	var wg sync.WaitGroup
	const running, waiting = 16, 3
	for range running {
		wg.Go(func() {
			if a := s.longCall(s.daemons[1], "draft"); a.status != http.StatusOK {
				t.Errorf("stream at the host that stays: status %d, %v", a.status, a.err)
			}
		})
	}
	s.await("all places taken", func() bool { return s.runCount() == running })
	for range waiting {
		wg.Go(func() {
			s.wantRefused("waiting stream", s.longCall(leaving, "draft"))
		})
	}
	s.await("requests wait", func() bool { return leaving.g.inProgress.Load() == waiting })
	leaving.leave()
	wg.Wait()
}

// Guards against requests that wait for the end of a back-off when their host leaves.
func TestRequestsThatBackOffAreRefusedBeforeTheirHostEnds(t *testing.T) {
	s, leaving := newLeavingSite(t, 1)
	s.setFaults(standin.EngineFaults{BackoffSeconds: 6, BackoffShare: 1})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			s.wantRefused("call", s.longCall(leaving, "pay"))
		})
	}
	s.await("requests wait", func() bool {
		names, _ := leaving.g.notices.BackingOff("app")
		return len(names) == 2
	})
	leaving.leave()
	wg.Wait()
}

// slowCaller sends a request whose last byte it keeps back.
type slowCaller struct {
	id   string
	conn net.Conn
}

func (s *testSite) newSlowCaller(d *testDaemon, route string) *slowCaller {
	s.t.Helper()
	c, err := net.Dial("tcp", net.JoinHostPort(d.ip, strconv.Itoa(testCallerPort)))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	caller := &slowCaller{id: nextID(), conn: c}
	tokens := ""
	if isStreamRoute(route) {
		tokens = platform.HeaderTokens + ": " + testTokens + "\r\n" + platform.HeaderParts + ": " + testParts + "\r\n"
	}
	_, err = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 30000\r\n%sContent-Length: 2\r\n\r\np", route,
		standin.SampleHost, platform.HeaderRequestID, caller.id, platform.HeaderAPIKey, standin.SampleKey, platform.HeaderDeadline, tokens)
	if err != nil {
		s.t.Fatal(err)
	}
	return caller
}

// finish sends the last byte.
func (c *slowCaller) finish() { _, _ = io.WriteString(c.conn, "p") }

// response reads the response.
func (c *slowCaller) response() (a response) {
	a.id = c.id
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(data), err
	if resp.Close {
		a.header.Set("Connection", "close")
	}
	return a
}

// routesOfKinds has a route of each kind of request.
var routesOfKinds = []string{"pay", "look", "draft", "chat"}

// Guards against requests whose last byte comes so late in the grace period that they can't
// end in it, and that are sent to an engine all the same.
func TestLateRequestsAreRefused(t *testing.T) {
	s, leaving := newLeavingSite(t, 1)
	for _, e := range s.engines {
		e.Events, e.Delay = 10, 200*time.Millisecond
		if e.pool == "app" {
			e.Delay = 2 * time.Second
		}
	}
	var wg sync.WaitGroup
	for range 6 {
		for _, route := range routesOfKinds {
			wg.Go(func() {
				if a := s.longCall(leaving, route); a.status != http.StatusOK {
					t.Errorf("%s before the signal: status %d, %v", route, a.status, a.err)
				}
			})
		}
	}
	wg.Wait()
	early, late := map[string]*slowCaller{}, map[string]*slowCaller{}
	for _, route := range routesOfKinds {
		early[route] = s.newSlowCaller(leaving, route)
		late[route] = s.newSlowCaller(leaving, route)
	}
	s.await("requests read", func() bool { return leaving.g.inProgress.Load() == int64(2*len(routesOfKinds)) })
	go leaving.leave()
	s.await("leaving", leaving.g.leaving)
	for _, c := range early {
		c.finish()
	}
	time.Sleep(2600 * time.Millisecond)
	for _, c := range late {
		c.finish()
	}
	for route, c := range early {
		if a := c.response(); a.err != nil || a.status != http.StatusOK {
			t.Errorf("%s right after the signal: status %d, %v", route, a.status, a.err)
		}
	}
	for route, c := range late {
		a := c.response()
		s.wantRefused(route+" late", a)
		if a.header.Get("Connection") != "close" {
			t.Errorf("%s late: the connection is kept", route)
		}
	}
	<-leaving.done
}

// Guards against a request whose body is still incomplete when its host ends, and that gets
// no response.
func TestIncompleteRequestsAreRefusedBeforeTheirHostEnds(t *testing.T) {
	s, leaving := newLeavingSite(t, 1)
	c := s.newSlowCaller(leaving, "pay")
	s.await("request read", func() bool { return leaving.g.inProgress.Load() == 1 })
	go leaving.leave()
	s.wantRefused("half a request", c.response())
	<-leaving.done
}

// Guards against requests that are with a silent engine when their host ends, and that get
// no response.
func TestUnansweredRequestsEndBeforeTheirHost(t *testing.T) {
	s, leaving := newLeavingSite(t, 1)
	s.setFaults(standin.EngineFaults{Hang: true})
	var wg sync.WaitGroup
	for _, route := range routesOfKinds {
		wg.Go(func() {
			a := s.longCall(leaving, route)
			if a.err != nil || a.status != http.StatusBadGateway {
				t.Errorf("%s: status %d, %v, want 502", route, a.status, a.err)
			}
		})
	}
	s.await("all run", func() bool { return s.runCount() == len(routesOfKinds) })
	leaving.leave()
	wg.Wait()
}

// Guards against streams that are cut off at the end of the grace period and look complete,
// and against a request that must not be repeated and is ended before others.
func TestRunningRequestsUseTheGracePeriod(t *testing.T) {
	s, leaving := newLeavingSite(t, 1)
	for _, e := range s.engines {
		e.Events, e.Delay = 60, 100*time.Millisecond
		if e.pool == "app" {
			e.Delay = 3 * time.Second
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		a := s.longCall(leaving, "draft")
		if a.status != http.StatusOK || a.err == nil || a.body == "" {
			t.Errorf("stream that is too long: status %d, %d bytes, %v, want a part and an error", a.status, len(a.body), a.err)
		}
	})
	wg.Go(func() {
		if a := s.longCall(leaving, "pay"); a.err != nil || a.status != http.StatusOK {
			t.Errorf("call that ends in time: status %d, %v", a.status, a.err)
		}
	})
	s.await("both run", func() bool { return s.runCount() == 2 })
	leaving.leave()
	wg.Wait()
}
