package http1

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// scriptedEndpoint is an endpoint on the loopback interface. It runs one list
// of steps on each connection that it accepts, in order.
type scriptedEndpoint struct {
	listener net.Listener
	requests chan string
}

// step is an action on a connection: read a request if Read is set, write
// Write, then close or reset the connection.
type step struct {
	Read  bool
	Write string
	Close bool
	Reset bool
}

func newEndpoint(t *testing.T, conns [][]step) *scriptedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &scriptedEndpoint{listener: l, requests: make(chan string, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, steps := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go e.runSteps(c, steps)
		}
	}()
	return e
}

func (e *scriptedEndpoint) runSteps(c net.Conn, steps []step) {
	r := bufio.NewReader(c)
	for _, s := range steps {
		if s.Read {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			e.requests <- req.Method + " " + req.RequestURI + " " + string(body)
		}
		_, _ = io.WriteString(c, s.Write)
		switch {
		case s.Reset:
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case s.Close:
			_ = c.Close()
		}
	}
}

func newTestPool() *Pool {
	return NewPool(clockwork.NewRealClock(), Dial)
}

// exchangeOnce sends one request and returns the body of its response.
func exchangeOnce(p *Pool, address, id string) (string, error) {
	x, err := p.Send(context.Background(), address, &Request{
		ID:      id,
		Method:  http.MethodPost,
		Target:  "/a?b=%7c|",
		Host:    "x.example",
		Header:  http.Header{"Id": {id}},
		Body:    []byte(id),
		NamedID: func(h http.Header) string { return h.Get("Id") },
	})
	if err != nil {
		return "", err
	}
	resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
	if err != nil {
		x.Abort()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		x.Abort()
		return string(body), err
	}
	x.Finish()
	return string(body), nil
}

// TestScripts runs the faulty endpoints in testdata/scripts.json. For each
// request it checks the body that the caller gets, or "error", and in the end
// the number of connections opened.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		Name   string
		Conns  [][]step
		Want   []string
		Opened int64
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, tt := range scripts {
		t.Run(tt.Name, func(t *testing.T) {
			e := newEndpoint(t, tt.Conns)
			p := newTestPool()
			for i, want := range tt.Want {
				id := string(rune('1' + i))
				got, err := exchangeOnce(p, e.listener.Addr().String(), id)
				if err != nil {
					got = "error"
				}
				if got != want {
					t.Errorf("request %s: %q (%v), want %q", id, got, err, want)
				}
			}
			if opened := p.Opened.Load(); opened != tt.Opened {
				t.Errorf("%d connections, want %d", opened, tt.Opened)
			}
		})
	}
}

// The endpoint receives the request target byte for byte.
func TestTargetIsUnchanged(t *testing.T) {
	e := newEndpoint(t, [][]step{{{Read: true, Write: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}})
	if _, err := exchangeOnce(newTestPool(), e.listener.Addr().String(), "1"); err != nil {
		t.Fatal(err)
	}
	if got := <-e.requests; got != "POST /a?b=%7c| 1" {
		t.Errorf("the endpoint received %q", got)
	}
}

// If the address has no listener, the request was certainly not sent.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := exchangeOnce(newTestPool(), l.Addr().String(), "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// An endpoint rejects a large request before it has read the body, and keeps
// the connection open. It would read the next request on it as the rest of the
// body, so the connection must not be reused.
func TestEarlyResponsePreventsReuse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = bufio.NewReader(c).ReadString('\n')
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		}
	}()
	p := newTestPool()
	for range 2 {
		x, err := p.Send(context.Background(), l.Addr().String(), &Request{
			Method: http.MethodPost,
			Target: "/",
			Host:   "x.example",
			Body:   []byte(strings.Repeat("x", 64<<20)),
		})
		if err != nil {
			t.Fatal(err)
		}
		resp, err := x.Response() //nolint:bodyclose // the exchange ends with its connection
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "no" {
			t.Fatalf("response %q, %v", body, err)
		}
		x.Finish()
	}
	if opened := p.Opened.Load(); opened != 2 {
		t.Errorf("%d connections, want one per request", opened)
	}
}

// Each daemon keeps idle connections to each endpoint. If their total exceeded
// the endpoint's connection limit, the endpoint would reset some of them.
func TestIdleConnectionsAreBounded(t *testing.T) {
	p := NewPool(clockwork.NewFakeClock(), nil)
	p.SetMaxIdle(2)
	for range 3 {
		a, b := net.Pipe()
		t.Cleanup(func() { _ = b.Close() })
		p.put("x", &conn{Conn: a, reader: bufio.NewReader(a)}, defaultIdleTimeout)
	}
	if n := len(p.idle["x"]); n != 2 {
		t.Errorf("%d connections are idle, want 2", n)
	}
}

// Guards against data on an idle connection that closes it without a trace.
func TestUnexpectedDataIsReported(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	late := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, answer)
		<-late
		_, _ = io.WriteString(c, answer)
	}()
	p := newTestPool()
	var reported []ConnState
	p.OnUnexpectedData = func(_ string, c ConnState) { reported = append(reported, c) }
	address := l.Addr().String()
	if _, err := exchangeOnce(p, address, "1"); err != nil {
		t.Fatal(err)
	}
	if !p.Alive(address) {
		t.Fatal("the connection is not kept")
	}
	close(late)
	for end := time.Now().Add(10 * time.Second); p.Alive(address) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if len(reported) != 1 || reported[0].Carried != 1 {
		t.Errorf("reported %+v, want a connection that has carried one request", reported)
	}
}
