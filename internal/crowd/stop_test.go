//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
)

const (
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// stopDelay is the time of a request at a plain service in tests of a stop.
	stopDelay = 4 * time.Second
)

// lateCaller sends a request whose last byte it keeps back.
type lateCaller struct {
	id     string
	conn   net.Conn
	status int
	err    error
}

func newLateCaller(t *testing.T, s *site, route string, number int) *lateCaller {
	t.Helper()
	c, _ := dial(t, s.callers)
	l := &lateCaller{id: fmt.Sprintf("late-%s-%d", route, number), conn: c}
	more := []string{"Content-Length: 2"}
	if route == "draft" {
		more = append(more, platform.HeaderTokens+": 1200,30", platform.HeaderParts+": aa:800,bb:300")
	}
	if _, err := io.WriteString(c, head(route, l.id, more...)+"\r\nb"); err != nil {
		t.Fatal(err)
	}
	return l
}

// finish sends the last byte after some time and reads the response.
func (l *lateCaller) finish(after time.Duration) {
	time.Sleep(after)
	// The host may have refused the request already.
	_, _ = io.WriteString(l.conn, "b")
	_ = l.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	if err != nil {
		l.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, l.err = io.Copy(io.Discard, resp.Body)
	l.status = resp.StatusCode
}

// stop sends SIGTERM, and SIGKILL at the end of the grace period.
func (p *process) stop(t *testing.T) {
	t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			t.Errorf("the daemon has failed: %v", p.err)
		}
	case <-time.After(grace):
		t.Logf("the daemon still runs %v after SIGTERM", grace)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// Guards against requests that come late in the grace period of a host, are passed on and cut
// off with it, or get no response.
func TestStopInCalm(t *testing.T) {
	s := startSite(t, siteOptions{delay: stopDelay, routes: map[string]any{"timeout-ms": 15000, "target-latency-ms": 8000}})
	var learning sync.WaitGroup
	for i := range 8 {
		learning.Go(func() {
			l := newLateCaller(t, s, []string{"pay", "look"}[i%2], i)
			if l.finish(0); l.status != http.StatusOK {
				t.Errorf("before the stop: status %d, %v", l.status, l.err)
			}
		})
	}
	learning.Wait()
	const perRoute = 16
	var callers []*lateCaller
	var wg sync.WaitGroup
	for i := range perRoute {
		for _, route := range []string{"pay", "look", "draft"} {
			callers = append(callers, newLateCaller(t, s, route, 100+i))
		}
	}
	// Their heads have been read when a later request is answered.
	s.checkOrdinary(t, "chat")
	for i, l := range callers {
		wg.Go(func() { l.finish(time.Duration(i) * grace / time.Duration(len(callers))) })
	}
	s.stop(t)
	wg.Wait()
	statuses := map[int]int{}
	for _, l := range callers {
		statuses[l.status]++
		switch ran := s.ran(l.id); {
		case l.err != nil:
			t.Errorf("%s got no whole response (run: %v): status %d, %v", l.id, ran, l.status, l.err)
		case l.status == http.StatusServiceUnavailable && ran:
			t.Errorf("%s was run and refused as not run", l.id)
		}
	}
	t.Logf("responses by status: %v", statuses)
}

// ran reports whether an endpoint has run a request.
func (s *site) ran(id string) bool {
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}
