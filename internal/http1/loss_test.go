package http1

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against the end of a connection whose endpoint is stopped for longer than
// tcpUserTimeout while a long body is written: its machine acknowledges, but accepts no
// more data.
func TestEndpointMayStopReadingALongBody(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	// More than the buffers of both ends take.
	body := make([]byte, 16<<20)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(2 * tcpUserTimeout)
		if n, _ := io.Copy(io.Discard, req.Body); n == int64(len(body)) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		}
	}()
	p := NewPool(clockwork.NewRealClock(), Dial)
	x, err := p.Send(t.Context(), l.Addr().String(), &Request{Method: http.MethodPost, Target: "/x", Host: "x.example", Body: body})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Abort()
	resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, []byte("done")) {
		t.Errorf("response %q, %v", got, err)
	}
	x.Finish()
	checkTimes(t, x.conn.Conn)
}

// Guards against a response without a length that looks complete although its connection
// was reset: the error is reported once, and the goroutine that writes a long body may get
// it.
func TestResetWhileABodyIsWrittenIsNoEnd(t *testing.T) {
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
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
		p := NewPool(clockwork.NewRealClock(), Dial)
		x, err := p.Send(t.Context(), l.Addr().String(), &Request{Method: http.MethodPost, Target: "/x", Host: "x.example", Body: make([]byte, 16<<20)})
		if err != nil {
			t.Fatal(err)
		}
		resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("the response %q looks complete", body)
		}
		x.Abort()
		_ = l.Close()
	}
}
