package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/http1"
)

// Guards against the end of a tunnel whose endpoint does not read a long body for a
// while, or whose user does not read a long response, though all machines acknowledge.
func TestEitherEndOfATunnelMayStopReading(t *testing.T) {
	t.Parallel()
	const (
		// pause is longer than unacknowledged data is waited for.
		pause = 5 * time.Second
		// size is more than the buffers on the way take.
		size = 32 << 20
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		time.Sleep(pause)
		if n, _ := io.Copy(io.Discard, req.Body); n != size {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
		_, _ = c.Write(make([]byte, size))
	}()
	x := sendThrough(t, l.Addr().String(), size)
	resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
	if err != nil {
		t.Fatal("the body did not arrive: ", err)
	}
	time.Sleep(pause)
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes of the response, %v", n, err)
	}
}

// sendThrough sends a request with a body of a given size through a tunnel.
func sendThrough(t *testing.T, address string, size int) *http1.Exchange {
	t.Helper()
	host, _ := newHost(t, 1, "works", new(atomic.Int64))
	pool := http1.NewPool(clockwork.NewRealClock(), func(ctx context.Context, address string) (net.Conn, error) {
		return Through(http1.Dial)(ctx, host, address)
	})
	x, err := pool.Send(t.Context(), address, &http1.Request{
		Method: http.MethodPost, Target: "/x", Host: "x.example", Body: make([]byte, size),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Abort)
	return x
}

// Guards against a response without a length that looks complete at the other end of a
// tunnel although the endpoint's connection was reset while a body was written to it.
func TestResetWhileABodyIsCarriedIsNoEnd(t *testing.T) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			reset(c)
			_ = c.Close()
		}()
		x := sendThrough(t, l.Addr().String(), 16<<20)
		resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("the response %q looks complete", body)
		}
		_ = l.Close()
	}
}

// Guards against the loss of the end of a response whose endpoint has closed its
// connection while the daemon that uses the tunnel still waits for its slow caller.
func TestSlowUserGetsTheEndOfAClosedTunnel(t *testing.T) {
	t.Parallel()
	const (
		pause = 5 * time.Second
		size  = 1 << 20
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = c.Write(make([]byte, size))
	}()
	x := sendThrough(t, l.Addr().String(), 0)
	resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(pause)
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes of %d, %v", n, size, err)
	}
}
