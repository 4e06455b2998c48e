package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// cutHeads are heads of responses whose bodies would have a length, chunks, or neither.
var cutHeads = []string{
	"HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: s\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: s\r\n\r\n",
}

// cutServer answers each request with one byte more of a head than the one before, and
// closes the connection in order.
type cutServer struct{ answered atomic.Int64 }

func (e *cutServer) serve(l net.Listener) {
	for {
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
			n := int(e.answered.Add(1) - 1)
			head := fmt.Sprintf(cutHeads[n%len(cutHeads)], platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID), platform.HeaderSignature)
			_, _ = io.WriteString(c, head[:min(1+n/len(cutHeads), len(head))])
		}()
	}
}

// Guards against a response whose endpoint stops in its head being forwarded as a whole one,
// directly and through another daemon.
func TestHeadsThatStopAreNotForwarded(t *testing.T) {
	s := newTestSiteWith(t, 2, addExtraService)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &cutServer{}
	go e.serve(l)
	s.store.Put(platform.TableEngines, "cut", standin.NewEntry("extra", l.Addr().String(), false))
	s.await("the server is asked", func() bool {
		s.call(s.daemons[0], http.MethodPost, "/bill/x", nil, "")
		s.call(s.daemons[1], http.MethodPost, "/bill/x", nil, "")
		return e.answered.Load() > 1
	})
	s.daemons[0].path.Break(pathHangs)
	for _, d := range s.daemons {
		e.answered.Store(0)
		for n := 0; n < len(cutHeads)*120; n++ {
			if a := s.call(d, http.MethodPost, "/bill/x", nil, ""); a.err == nil && a.status == http.StatusOK {
				t.Errorf("after %d answers: status 200 with the body %q", e.answered.Load(), a.body)
			}
		}
		if got := e.answered.Load(); got < int64(len(cutHeads)*100) {
			t.Errorf("%s: the server has answered %d requests", d.ip, got)
		}
	}
	if s.daemons[1].g.metrics.Count("tunnels.served") == 0 {
		t.Error("no request went through the other daemon")
	}
}
