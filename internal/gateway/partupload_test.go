package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// addEarlyEndpoint registers an endpoint that responds before it has read the body of a
// request, and resets the connection after a pause. The response must not have a length.
func (s *testSite) addEarlyEndpoint(id, service, body string) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+platform.HeaderRequestID+": "+req.Header.Get(platform.HeaderRequestID)+
					"\r\n"+platform.HeaderSignature+": s\r\n\r\n"+body)
				time.Sleep(time.Duration(n%16) * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	entry := standin.NewEntry(service, l.Addr().String(), false)
	entry["born"] = time.Now().UnixMilli()
	s.store.Put(platform.TableEngines, id, entry)
}

// Guards against a part of an early response that reaches callers as a complete one, also
// through another host, and to a caller that reads nothing before it has sent all.
func TestPartOfEarlyResponseReachesNoCaller(t *testing.T) {
	s := newTestSiteWith(t, 2, func(_ *settings.Settings, doc *standin.Document) {
		doc.Limits = map[string]any{"max-body-bytes": 4 << 20}
	})
	for id := range s.engines {
		s.store.Remove(platform.TableEngines, id)
	}
	s.addEarlyEndpoint("llm-9", "llm", "id: 1\ndata: x\n\n")
	s.addEarlyEndpoint("app-9", "app", "part")
	s.await("only these are known", func() bool {
		return len(s.daemons[0].g.holder.Endpoints()) == 2 && len(s.daemons[1].g.holder.Endpoints()) == 2
	})
	s.daemons[1].path.Break(pathResets)
	body := strings.Repeat("b", 3<<20)
	met := 0
	for range 16 {
		for _, d := range s.daemons {
			for _, route := range routesOfKinds {
				a := s.call(d, http.MethodPost, "/"+route+"/x", nil, body)
				if a.status == http.StatusOK {
					met++
				}
				if a.status == http.StatusOK && a.err == nil {
					t.Errorf("%s at %s: %d bytes count as a complete response", route, d.ip, len(a.body))
				}
			}
		}
	}
	for _, d := range s.daemons {
		met += int(d.g.metrics.Count("attempts.connectionLost") + d.g.metrics.Count("attempts.truncated"))
	}
	if met == 0 {
		t.Error("no part was met")
	}
	if s.daemons[0].g.metrics.Count("tunnels.served") == 0 {
		t.Error("no request went through another host")
	}
}
