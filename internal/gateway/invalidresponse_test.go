package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// addInvalidEndpoint registers an endpoint that sends the same bytes in response to each
// request.
func (s *testSite) addInvalidEndpoint(id, service, response string) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
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
					if _, err := io.WriteString(c, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	entry := standin.NewEntry(service, l.Addr().String(), false)
	entry["born"] = time.Now().UnixMilli()
	s.store.Put(platform.TableEngines, id, entry)
}

// Guards against a status code that HTTP does not have ending the daemon, or reaching
// callers, on each kind of route and beside sound endpoints.
func TestInvalidStatusEndsOneAttempt(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			s := newTestSite(t, 1)
			invalid := "HTTP/1.1 " + status + " \r\nContent-Length: 0\r\n\r\n"
			s.addInvalidEndpoint("llm-9", "llm", invalid)
			s.addInvalidEndpoint("app-9", "app", invalid)
			d := s.daemons[0]
			s.await("all endpoints known", func() bool { return len(d.g.holder.Endpoints()) == 6 })
			for i := range 20 {
				if a := s.call(d, http.MethodGet, "/look/x", nil, ""); a.err != nil || a.status != http.StatusOK {
					t.Errorf("safe request: status %d, %v", a.status, a.err)
				}
				if a := s.chatAlone(d, i); a.err != nil || a.status != http.StatusOK {
					t.Errorf("resumable stream: status %d, %v", a.status, a.err)
				}
				for name, a := range map[string]response{
					"unsafe request": s.call(d, http.MethodPost, "/pay/x", nil, "p"),
					"stream":         s.chat(d, "draft"),
				} {
					if a.err != nil || a.status != http.StatusOK && a.status != http.StatusBadGateway {
						t.Errorf("%s: status %d, %v", name, a.status, a.err)
					}
				}
			}
			if d.g.metrics.Count("attempts.wrongAnswer") == 0 {
				t.Error("no invalid response was met")
			}
		})
	}
}
