package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// startServer starts a server whose connections are accounted for by a budget.
func startServer(t *testing.T, b *Budget, headLimit int64, h http.HandlerFunc) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ConnState: OnState, MaxHeaderBytes: 1 << 30}
	costs := Costs{Line: 256, Head: 3, Body: 2}
	go func() {
		_ = server.Serve(&Listener{Listener: l, Budget: b, Costs: costs, HeadLimit: func() int64 { return headLimit }})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func newBudget(maxConns int) *Budget {
	return NewBudget(clockwork.NewRealClock(), 1<<20, maxConns)
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func readResponse(r *bufio.Reader) (status int, body []byte, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Guards against pipelined requests that are taken for more than they are, or dropped.
func TestPipelinedRequests(t *testing.T) {
	address := startServer(t, newBudget(4), 1<<10, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
	c, r := dial(t, address)
	const n = 1000
	go func() {
		for i := range n {
			fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", i)
		}
	}()
	for i := range n {
		_, body, err := readResponse(r)
		if want := fmt.Sprintf("/%d abc", i); err != nil || string(body) != want {
			t.Fatalf("response %d is %q, %v; want %q", i, body, err, want)
		}
	}
}

// Guards against heads over the limit that are held, and against a refusal that its caller
// does not get.
func TestHeadOverTheLimit(t *testing.T) {
	const limit = 8 << 10
	address := startServer(t, newBudget(4), limit, func(http.ResponseWriter, *http.Request) {})
	for size, want := range map[int]int{limit: http.StatusOK, limit + 1: http.StatusRequestHeaderFieldsTooLarge, 1 << 20: http.StatusRequestHeaderFieldsTooLarge} {
		c, r := dial(t, address)
		for range 2 { // The second request of a connection is bounded as well.
			head := "GET / HTTP/1.1\r\nHost: a\r\nLong: "
			go func() { fmt.Fprint(c, head+strings.Repeat("l", size-len(head)-4)+"\r\n\r\n") }()
			status, _, err := readResponse(r)
			if err != nil || status != want {
				t.Fatalf("head of %d bytes: status %d, %v; want status %d", size, status, err, want)
			}
			if want != http.StatusOK {
				break
			}
		}
	}
}

// Guards against small requests that find no room and whose callers are not told to come
// back, however they are sent.
func TestNoRoomIsToldToCallers(t *testing.T) {
	b := newBudget(16)
	release := make(chan struct{})
	address := startServer(t, b, 0, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.URL.Path == "/full" {
			<-release
		}
	})
	var full []*bufio.Reader
	var held Bytes
	for _, size := range []int{430_000, 30_000, 30_000, 30_000} {
		c, r := dial(t, address)
		full = append(full, r)
		fmt.Fprintf(c, "POST /full HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
		held += Bytes(2 * size)
		for i := 0; b.Figures().Held < held; i++ {
			if i == 10_000 {
				t.Fatal("the request does not come whole")
			}
			time.Sleep(time.Millisecond)
		}
	}
	for name, request := range map[string]string{
		"whole":     "GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("l", 3000) + "\r\n\r\n",
		"body":      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("b", 3000),
		"long head": "GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("l", 9000) + "\r\n\r\n",
	} {
		c, r := dial(t, address)
		fmt.Fprint(c, request)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("%s: %v", name, resp)
		}
	}
	close(release)
	for i, r := range full {
		if status, _, err := readResponse(r); err != nil || status != http.StatusOK {
			t.Errorf("request %d that was served: status %d, %v", i, status, err)
		}
	}
}

// Guards against what a request has held being counted after it was answered.
func TestAnsweredRequestsHoldNothing(t *testing.T) {
	for _, opaque := range []bool{false, true} {
		b := newBudget(4)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ConnState: OnState, ConnContext: WithConn, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			h := NewHolding(r.Context())
			defer h.Release()
			if err := h.AddHead(1000, 20); err != nil {
				t.Error(err)
			}
			body, err := ReadBody(h.Body(r.Body), r.ContentLength, 0)
			if err != nil || len(body) != 30_000 {
				t.Errorf("body of %d bytes, %v", len(body), err)
			}
			if f := b.Figures(); f.Held < 60_000 {
				t.Errorf("%d bytes are held while the request runs", f.Held)
			}
		})}
		go func() {
			_ = server.Serve(&Listener{Listener: l, Budget: b, Costs: Costs{Line: 256, Head: 3, Body: 2}, HeadLimit: func() int64 { return 0 }, Opaque: opaque})
		}()
		c, r := dial(t, l.Addr().String())
		for range 50 {
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n%s", strings.Repeat("b", 30_000))
			if _, _, err := readResponse(r); err != nil {
				t.Fatal(err)
			}
		}
		_ = server.Close()
		for range 1000 {
			if f := b.Figures(); f.Connections == 0 && f.Held == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if f := b.Figures(); f.Connections != 0 || f.Held != 0 || b.large != 0 || b.ending != 0 {
			t.Errorf("opaque %v: %+v, %d large, %d ending after the server has ended", opaque, f, b.large, b.ending)
		}
	}
}

// Guards against bodies that are cut or padded, and buffers larger than what has come.
func TestReadBody(t *testing.T) {
	for _, tt := range []struct{ size, length, limit, want int64 }{
		{0, 0, 0, 0}, {0, -1, 10, 0}, {1, 1, 0, 1}, {10, -1, 10, 10}, {11, -1, 10, 11}, {100, -1, 10, 11},
		{firstBody, firstBody, 0, firstBody}, {firstBody + 1, firstBody + 1, 1 << 20, firstBody + 1},
		{100_000, 100_000, 1 << 20, 100_000}, {100_000, -1, 1 << 20, 100_000}, {100_000, -1, 0, 100_000}, {1 << 20, -1, 1 << 20, 1 << 20},
	} {
		body, err := ReadBody(strings.NewReader(strings.Repeat("b", int(tt.size))), tt.length, tt.limit)
		if err != nil || int64(len(body)) != tt.want {
			t.Errorf("%+v: %d bytes, %v", tt, len(body), err)
		}
		if most := max(bodyGrowth*tt.size, firstBody); int64(cap(body)) > most || tt.length >= 0 && int64(cap(body)) > max(tt.length, 1) {
			t.Errorf("%+v: a buffer of %d bytes", tt, cap(body))
		}
	}
	if _, err := ReadBody(iotest.TimeoutReader(strings.NewReader("bb")), 2, 0); err != nil && !errors.Is(err, iotest.ErrTimeout) {
		t.Errorf("error of a body that does not come: %v", err)
	}
	if _, err := ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), 2, 0); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error of a body that ends early: %v", err)
	}
}
