package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
)

// serveOK answers each request on a connection.
func serveOK(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a request that needs an unused connection being sent over a used one, and
// against connections beyond the limit of the endpoint.
func TestUnusedConnectionsReplaceIdleOnes(t *testing.T) {
	const address, limit = "x", 2
	open := 0
	p := NewPool(clockwork.NewRealClock(), func(context.Context, string) (net.Conn, error) {
		here, there := net.Pipe()
		go serveOK(there)
		open++
		return &countedConn{Conn: here, onClose: func() { open-- }}, nil
	})
	p.SetMaxIdle(limit)
	for range 10 {
		x, err := p.Send(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Unused: true})
		if err != nil {
			t.Fatal(err)
		}
		if carried := x.Conn().Carried; carried != 0 {
			t.Errorf("the connection has carried %d requests", carried)
		}
		if open > limit {
			t.Errorf("%d connections, at most %d are allowed", open, limit)
		}
		if _, err := x.Response(); err != nil { //nolint:bodyclose // the exchange ends with its connection
			t.Fatal(err)
		}
		x.Finish()
	}
	if c := p.take(address, true); c != nil {
		t.Error("a used connection counts as unused")
	}
}

// countedConn is a connection that reports once that it was closed.
type countedConn struct {
	net.Conn
	onClose func()
	closed  bool
}

// Close closes the connection.
func (c *countedConn) Close() error {
	if !c.closed {
		c.closed = true
		c.onClose()
	}
	return c.Conn.Close()
}
