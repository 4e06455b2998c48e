package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// addRestarted registers an engine that sends two events without a length and closes the
// connection in order. Its address leads to a process that has started after the registered
// one, if restarted is set.
func (s *testSite) addRestarted(id string, restarted bool) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	born := time.Now().UnixMilli()
	entry := standin.NewEntry("llm", l.Addr().String(), false)
	entry["born"] = born
	if restarted {
		born += 1000
	}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Method == http.MethodGet {
				report := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv-used":0,"kv-total":100000,"handles":0,"born":%d}`, born)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
				continue
			}
			request := req.Header.Get(platform.HeaderRequestID)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", platform.HeaderRequestID, request, platform.HeaderSignature, fullStream(request, 2))
			return
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	s.store.Put(platform.TableEngines, id, entry)
}

// Guards against a stream without length that ends with its engine and looks complete, since
// the engine is back when its host, which was paused, looks for it; and against one that is
// broken off though its engine has ended it.
func TestStreamOfReplacedEngineIsNotComplete(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted %v", restarted), func(t *testing.T) {
			s := newTestSite(t, 1)
			for _, id := range []string{"llm-1", "llm-2"} {
				s.store.Remove(platform.TableEngines, id)
			}
			s.addRestarted("llm-9", restarted)
			d := s.daemons[0]
			s.await("only it is known", func() bool {
				all := d.g.holder.Endpoints()
				return len(all) == 3
			})
			a := s.longCall(d, "draft")
			if complete := a.err == nil; a.status != http.StatusOK || complete == restarted || a.body != fullStream(a.id, 2) {
				t.Errorf("status %d, %d bytes, %v", a.status, len(a.body), a.err)
			}
		})
	}
}
