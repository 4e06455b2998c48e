// Package endpoint sends HTTP requests to endpoints: each at most once, with
// certainty about whether a byte of it was written, and over connections that
// are watched for silence.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Timings of the connections to endpoints.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// Keepalives find an idle connection that the network has lost track of
	// within keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// userTimeout ends a connection whose sent bytes nobody acknowledges.
	userTimeout = 8 * time.Second
	// bufferSize is that of a connection's reader and writer. Thousands of
	// idle streams are open at once, and the events of a stream are short.
	bufferSize = 2 << 10
	// maxIdlePerEndpoint covers an endpoint's usual concurrency.
	maxIdlePerEndpoint = 256
)

// NewTransport returns a transport whose connections count what they write.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return SetUserTimeout(c, userTimeout) },
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
}

var errSealed = errors.New("the connection takes no more writes")

// conn is a connection that knows whether writes were begun on it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// writes counts writes begun. A write begun may have sent a byte.
	writes int
	// sealed connections begin no more writes.
	sealed bool
	// taken counts the requests that used the connection.
	taken int
	// busy is true from a request's start until its answer was read whole.
	busy bool
	// onClose is called once, when the connection closes.
	onClose func()
}

// Write writes unless the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	f := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if f != nil {
		f()
	}
	return c.Conn.Close()
}

// seal ends writing for good and returns the number of writes begun. The
// transport's write loop may still be about to write when a request has
// already failed; after the seal it no longer can, so that the number is final.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// take marks the connection as used by a request. It returns which use of the
// connection this is, and the number of writes begun before.
func (c *conn) take(onClose func()) (use, writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
	c.busy = true
	c.onClose = onClose
	return c.taken, c.writes
}

// release ends a use. The transport tells of a connection's return to the
// pool only after another request may have taken it; the number of the use
// shows that.
func (c *conn) release(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == use {
		c.busy = false
	}
}

// closeIfIdle seals and closes the connection unless a request uses it. A
// request that takes it at the same moment finds it sealed, has written
// nothing, and goes to another connection.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy
	c.sealed = c.sealed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
