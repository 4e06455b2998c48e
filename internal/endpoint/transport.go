// Package endpoint sends HTTP requests to endpoints. It sends each request at
// most once unless told otherwise, knows whether any byte of it was written,
// and replaces connections that may have stalled.
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

// Timeouts and sizes of the connections to endpoints.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// TCP keep-alives detect an idle connection that the network has lost track
	// of within keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// userTimeout closes a connection whose sent bytes are not acknowledged.
	userTimeout = 8 * time.Second
	// bufferSize is the size of a connection's read buffer and of its write
	// buffer. It is small because thousands of idle streams are open at once
	// and the events of a stream are short.
	bufferSize = 2 << 10
	// maxIdlePerEndpoint covers the usual concurrency of an endpoint.
	maxIdlePerEndpoint = 256
)

// NewTransport returns a transport whose connections count their writes.
func NewTransport() *http.Transport { return newTransport(userTimeout) }

// maxHead bounds the head of a response, in bytes.
const maxHead = 64 << 10

// newTransport returns a transport with a given user timeout.
func newTransport(userTimeout time.Duration) *http.Transport {
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
			return &conn{Conn: c, userTimeout: userTimeout}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,

		MaxResponseHeaderBytes: maxHead,
	}
}

var errWritesBlocked = errors.New("the connection takes no more writes")

// conn is a connection that counts the writes started on it.
type conn struct {
	net.Conn
	// userTimeout is the user timeout that was set when the connection was opened.
	userTimeout time.Duration

	mu sync.Mutex
	// writes counts the writes that were started. Each may have sent a byte.
	writes int
	// writesBlocked makes further writes fail.
	writesBlocked bool
	// uses counts the requests that used the connection.
	uses int
	// busy is set from the start of a request until its response was read
	// completely.
	busy bool
	// onClose is called once, when the connection closes.
	onClose func()
}

// Write writes b unless writes are blocked.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection and calls onClose if it has not been called yet.
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

// blockWrites blocks writes permanently and returns the number of writes
// started. When a request has failed, the transport's write loop may still be
// about to write. After this call it can't, so that the number is final.
func (c *conn) blockWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}

// acquire marks the connection as used by a request. It returns the sequence
// number of this use and the number of writes started before.
func (c *conn) acquire(onClose func()) (use, writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	c.busy = true
	c.onClose = onClose
	return c.uses, c.writes
}

// release marks the end of a use. The transport may report that a connection
// has returned to the pool only after another request has acquired it, which
// the sequence number shows.
func (c *conn) release(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		c.busy = false
	}
}

// closeIfIdle blocks writes on the connection and closes it unless a request
// uses it. A request that acquires it at the same moment can't write to it and
// uses another connection.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy
	c.writesBlocked = c.writesBlocked || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
