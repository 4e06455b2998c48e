package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// slowCall is a request whose response is read only when the test wants it.
type slowCall struct {
	id   string
	conn net.Conn
}

// startSlowCall sends a request for a stream whose events have padding.
func (s *testSite) startSlowCall(d *testDaemon) *slowCall {
	s.t.Helper()
	c, err := net.Dial("tcp", net.JoinHostPort(d.ip, strconv.Itoa(testCallerPort)))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	call := &slowCall{id: nextID(), conn: c}
	_, err = fmt.Fprintf(c, "POST /draft/x%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 20000\r\n%s: 10,10\r\n%s: aa:8,bb:2\r\nContent-Length: 0\r\n\r\n",
		standin.PaddingQuery(slowPadding), standin.SampleHost, platform.HeaderRequestID, call.id, platform.HeaderAPIKey, standin.SampleKey,
		platform.HeaderDeadline, platform.HeaderTokens, platform.HeaderParts)
	if err != nil {
		s.t.Fatal(err)
	}
	return call
}

// read reads the response to its end.
func (c *slowCall) read() (body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	plain, _ := standin.SplitVersions(string(data))
	return plain, err
}

// newSlowSite starts a daemon whose host has some memory, and engines that send 8 MB and cut
// off what is not read.
func newSlowSite(t *testing.T, memoryMB float64) *testSite {
	s := newTestSiteWith(t, 1, func(conf *settings.Settings, d *standin.Document) {
		conf.Gateway.Machine = &settings.Machine{ProcessorShare: 1, ProcessorSpeed: 1, LinkMbps: 1000, MemoryMB: memoryMB}
		for _, route := range d.Routes {
			route["timeout-ms"] = 20000
		}
	})
	for _, e := range s.engines {
		e.Events, e.Delay, e.CutUnread = slowEvents, 0, 2*time.Second
	}
	return s
}

const (
	slowEvents  = 1000
	slowPadding = 8 << 10
)

// run returns the only execution of a request; a zero one before it has begun.
func (s *testSite) run(id string) standin.Run {
	if runs := s.runs(id); len(runs) > 0 {
		return runs[0]
	}
	return standin.Run{}
}

// Guards against engines that wait for slow callers, and cut off their responses.
func TestEnginesDoNotWaitForSlowCallers(t *testing.T) {
	s := newSlowSite(t, 256)
	call := s.startSlowCall(s.daemons[0])
	s.await("the end of the engine's work", func() bool { return s.run(call.id).Done })
	if f := s.daemons[0].g.backlog.Figures(); f.Held == 0 || f.Responses != 1 {
		t.Errorf("figures %+v", f)
	}
	if body, err := call.read(); err != nil || body != fullStream(call.id, slowEvents) {
		t.Errorf("received %d bytes, %v", len(body), err)
	}
	s.await("nothing held", func() bool { return s.daemons[0].g.backlog.Figures().Held == 0 })
}

// Guards against a daemon without the setting that differs from before: it holds nothing, and
// the engine waits.
func TestNothingIsHeldWithoutTheSetting(t *testing.T) {
	s := newSlowSite(t, 0)
	for _, e := range s.engines {
		// The buffers of the connections may take many megabytes.
		e.Events = 1 << 30
	}
	call := s.startSlowCall(s.daemons[0])
	s.await("the engine's cut", func() bool { return s.run(call.id).Cut })
	if s.daemons[0].g.backlog != nil {
		t.Error("there is a budget")
	}
	if body, err := call.read(); err == nil {
		t.Errorf("a response that was cut off looks complete with %d bytes", len(body))
	}
}

// Guards against engines that wait for a full budget, answers that look complete although
// their callers gave way, and callers that keep up and pay for it.
func TestSlowCallersGiveWay(t *testing.T) {
	s := newSlowSite(t, 64)
	d := s.daemons[0]
	slow := []*slowCall{s.startSlowCall(d), s.startSlowCall(d)}
	s.await("a caller that gives way", func() bool { return d.g.backlog.Figures().GaveWay > 0 })
	if a := s.call(d, http.MethodPost, "/pay/x"+standin.PaddingQuery(1<<20), nil, "money"); a.status != http.StatusOK || !strings.HasSuffix(a.body, standin.Padding(standin.PaddingQuery(1<<20))) {
		t.Errorf("status %d, %d bytes, %v", a.status, len(a.body), a.err)
	}
	whole := 0
	for _, call := range slow {
		body, err := call.read()
		if err == nil && body != fullStream(call.id, slowEvents) {
			t.Errorf("%d bytes look complete", len(body))
		}
		if err == nil {
			whole++
		}
		if s.run(call.id).Cut {
			t.Error("an engine has cut off a response")
		}
	}
	s.await("nothing held", func() bool { return d.g.backlog.Figures().Held == 0 })
	if gone := d.g.backlog.Figures().GaveWay; gone+int64(whole) != int64(len(slow)) {
		t.Errorf("%d gave way, %d were served, of %d", gone, whole, len(slow))
	}
}

// Guards against engines that go on for a caller that has left, while it had not read
// everything.
func TestCallerThatLeavesEndsWhatIsHeld(t *testing.T) {
	s := newSlowSite(t, 256)
	for _, e := range s.engines {
		e.Events = 1 << 30
		e.Delay = time.Millisecond
	}
	d := s.daemons[0]
	call := s.startSlowCall(d)
	s.await("something held", func() bool { return d.g.backlog.Figures().Held > 0 })
	_ = call.conn.Close()
	s.await("the end", func() bool { return d.g.inProgress.Load() == 0 && d.g.backlog.Figures().Held == 0 })
}
