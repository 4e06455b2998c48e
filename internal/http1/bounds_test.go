package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessEndpoint answers each request with start and then repeats part until the peer
// closes the connection. The channel receives the number of bytes that it wrote then.
func endlessEndpoint(t *testing.T, start, part string) (address string, written <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	counts := make(chan int, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				n, err := io.WriteString(c, start)
				more := strings.Repeat(part, 1+4096/len(part))
				for err == nil {
					var m int
					m, err = io.WriteString(c, more)
					n += m
				}
				counts <- n
			}()
		}
	}()
	return l.Addr().String(), counts
}

// maxUnread is more than the buffers of both ends of a connection take.
const maxUnread = 16 << 20

// Guards against endpoints that send bytes without end which are no response, and so take
// memory and hold the request until its deadline.
func TestEndlessResponsesEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tt := range map[string]struct{ start, part string }{
		"status line":             {"", "x"},
		"empty lines":             {"", "\r\n"},
		"reason":                  {"HTTP/1.1 200 ", "x"},
		"header":                  {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued header":        {"HTTP/1.1 200 OK\r\nA: b\r\n", " b\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"informational head":      {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"foreign responses":       {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"foreign body":            {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"foreign chunks":          {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":              {chunked, "0"},
		"chunk extension":         {chunked + "1;", "x"},
		"chunk extensions":        {chunked, "1;abcdefghijklmnopqrstuvwxyz=abcdefghijklmnopqrstuvwxyz\r\nx\r\n"},
		"trailer":                 {chunked + "1\r\nx\r\n0\r\nA: ", "x"},
		"trailers":                {chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, written := endlessEndpoint(t, tt.start, tt.part)
			p := newTestPool()
			if body, err := exchangeOnce(p, address, "1"); err == nil {
				t.Errorf("a response of %d bytes", len(body))
			}
			if n := <-written; n > maxUnread {
				t.Errorf("the endpoint has written %d bytes", n)
			}
			if p.Alive(address) {
				t.Error("the connection was kept")
			}
		})
	}
}

// Guards against a connection that is kept although its endpoint goes on after a complete
// response.
func TestBytesAfterAResponseEndTheConnection(t *testing.T) {
	address, written := endlessEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", "x")
	p := newTestPool()
	if got, err := exchangeOnce(p, address, "1"); err != nil || got != "done" {
		t.Fatalf("response %q, %v", got, err)
	}
	for p.Alive(address) {
		time.Sleep(time.Millisecond)
	}
	if n := <-written; n > maxUnread {
		t.Errorf("the endpoint has written %d bytes", n)
	}
}

// Guards against a refusal whose body has no end, or does not come, and so keeps the request
// from going to another endpoint.
func TestSkippedBodiesEnd(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\n"
	for name, tt := range map[string]struct{ start, part string }{
		"without length": {head + "\r\n", "x"},
		"long":           {head + "Content-Length: 1000000000\r\n\r\n", "x"},
		"chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := endlessEndpoint(t, tt.start, tt.part)
			p := newTestPool()
			x, err := p.Send(t.Context(), address, &Request{Method: http.MethodPost, Target: "/x", Host: "x.example"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := x.Response(); err != nil { //nolint:bodyclose // the exchange ends with its connection
				t.Fatal(err)
			}
			x.Skip()
			if n := <-written; n > maxUnread {
				t.Errorf("the endpoint has written %d bytes", n)
			}
			if p.Alive(address) {
				t.Error("the connection was kept")
			}
		})
	}
	t.Run("missing", func(t *testing.T) {
		e := newEndpoint(t, [][]step{{{Read: true, Write: head + "Content-Length: 4\r\n\r\n"}}})
		p := newTestPool()
		x, err := p.Send(t.Context(), e.listener.Addr().String(), &Request{Method: http.MethodPost, Target: "/x", Host: "x.example"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := x.Response(); err != nil { //nolint:bodyclose // the exchange ends with its connection
			t.Fatal(err)
		}
		x.Skip()
		if p.Alive(e.listener.Addr().String()) {
			t.Error("the connection was kept")
		}
	})
}

// Guards against a probe whose response has no end.
func TestEndlessProbeEnds(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n\r\n"} {
		address, written := endlessEndpoint(t, start, "x")
		_, err := newTestPool().Send(t.Context(), address, &Request{
			Method: http.MethodPost, Target: "/x", Host: "x.example", Probe: &Probe{Target: "/report", Host: "x.example"},
		})
		if err == nil {
			t.Error("the request was sent")
		}
		if n := <-written; n > maxUnread {
			t.Errorf("the endpoint has written %d bytes", n)
		}
	}
}

// Guards against a request that waits for an endpoint which reads its head or body slowly,
// beyond the request's end, and against other requests that wait for it.
func TestEndpointThatReadsNothingHoldsUpOnlyItsRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	answer := []step{{Read: true, Write: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"}}
	for name, r := range map[string]*Request{
		"body": {Body: make([]byte, maxUnread)},
		"head": {Header: http.Header{"A": {strings.Repeat("x", maxUnread)}}},
	} {
		t.Run(name, func(t *testing.T) {
			r.Method, r.Target, r.Host = http.MethodPost, "/x", "x.example"
			p := newTestPool()
			other := newEndpoint(t, [][]step{answer})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				x, err := p.Send(ctx, l.Addr().String(), r)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, x.Abort)
				defer stop()
				if _, err := x.Response(); err == nil { //nolint:bodyclose // there is none
					t.Error("a response")
				}
				if x.bodyWritten != nil {
					<-x.bodyWritten
				}
			}()
			if _, err := l.Accept(); err != nil {
				t.Fatal(err)
			}
			if got, err := exchangeOnce(p, other.listener.Addr().String(), "1"); err != nil || got != "done" {
				t.Errorf("another request: %q, %v", got, err)
			}
			cancel()
			<-ended
		})
	}
}
