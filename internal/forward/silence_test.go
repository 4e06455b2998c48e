package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

const streamHead = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns an event in a chunk.
func chunk(id int) string {
	event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// events returns the events from first to last without chunks.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// serve starts an endpoint that runs handle for each connection after a request
// has arrived. gone is closed when the other side has closed the connection.
func (s *site) serve(t *testing.T, handle func(c net.Conn, gone <-chan struct{})) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.urls = append(s.urls, "http://"+l.Addr().String())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if n, _ := c.Read(make([]byte, 4096)); n == 0 {
					return
				}
				s.mu.Lock()
				s.sent++
				s.mu.Unlock()
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					_, _ = io.Copy(io.Discard, c)
				}()
				handle(c, gone)
			}()
		}
	}()
}

// streamRequest returns a resumable stream that has time left.
func streamRequest() *Request {
	now := boottime.System{}.Now()
	return &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
		Kind: catalog.Stream, Resumable: true, Attempts: 3, StartTarget: time.Millisecond, GapTarget: time.Millisecond,
		ReceivedAt: now, Deadline: now + 20*time.Second, MaySend: func() *outcome.Refusal { return nil },
	}
}

// receive runs a request and returns what its caller receives.
func receive(f *Forwarder, r *Request) (string, error) {
	var body strings.Builder
	err := f.Do(context.Background(), r, Sink{
		Head: func(int, http.Header, int64) {},
		Body: func(p []byte) error { body.Write(p); return nil },
	})
	return body.String(), err
}

// Guards against breaking off the stream of an endpoint that is only silent for a while,
// when no other endpoint may be asked.
func TestSilentStreamWithoutBudgetGoesOn(t *testing.T) {
	s := &site{}
	s.serve(t, func(c net.Conn, _ <-chan struct{}) {
		_, _ = io.WriteString(c, streamHead+chunk(1))
		time.Sleep(2 * minSilence)
		_, _ = io.WriteString(c, chunk(2)+"0\r\n\r\n")
	})
	s.listen(t, streamHead+chunk(2)+"0\r\n\r\n")
	f := newTestForwarder(s)
	f.Budget = func(table.Pool) Budget { return &fixedBudget{} }
	if got, err := receive(f, streamRequest()); err != nil || got != events(1, 2) {
		t.Errorf("received %q, %v, want two events", got, err)
	}
}
