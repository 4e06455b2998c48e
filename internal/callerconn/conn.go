package callerconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/framing"
)

const (
	// receiveBuffer is the size in bytes of the kernel's buffer for what a caller sends. By
	// itself it grows to some MB, which no budget covers.
	receiveBuffer = 64 << 10
	// unreadCost is what a caller may have in that buffer while it is not read.
	unreadCost Bytes = receiveBuffer
	// lingerTime is how long the rest of a refused request is read, so that its sender gets
	// the refusal.
	lingerTime = 200 * time.Millisecond
	// retryAfter is the Retry-After value in seconds when there is no room for a head.
	retryAfter = 1
)

// errTrailersTooLarge reports that the trailers of a request exceed the limit of heads.
var errTrailersTooLarge = errors.New("the trailers are too large")

// Costs is how much a part of a request makes the daemon hold.
type Costs struct {
	// Line is what a line of a head costs, in addition to its bytes.
	Line Bytes
	// Head and Body are what a byte costs.
	Head, Body Bytes
}

// opaqueHead is what an encrypted byte costs that may belong to a head: its lines may have
// four bytes each.
func (c *Costs) opaqueHead() Bytes { return c.Head + c.Line/4 }

// Listener accepts connections and accounts for them.
type Listener struct {
	net.Listener
	Budget *Budget
	Costs  Costs
	// HeadLimit returns the bound on a head in bytes; zero means no bound. It is not needed
	// if Opaque is set.
	HeadLimit func() int64
	// Opaque means that the bytes are those of TLS, so that requests are not seen in them.
	// Handlers then account for them with a Holding.
	Opaque bool
}

// Accept waits for the next connection for which there is a place, and returns it as a
// *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, listener: l}
		if conn.account = l.Budget.open(conn.interrupt); conn.account == nil {
			_ = c.Close()
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBuffer)
		}
		return conn, nil
	}
}

// OnState follows the requests of a connection; it is for http.Server.ConnState.
func OnState(c net.Conn, s http.ConnState) {
	conn := unwrap(c)
	if conn == nil {
		return
	}
	switch s {
	case http.StateActive:
		conn.active = true
		conn.account.begin(conn.listener.Opaque)
	case http.StateIdle:
		conn.active = false
		more := !conn.scanner.IsBetween()
		conn.account.finish(more, conn.scanner.IsInHead())
		if more {
			runtime.Gosched()
		}
	}
}

// unwrap returns the connection below one with TLS; nil if it is none of a Listener.
func unwrap(c net.Conn) *Conn {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

type connKey struct{}

// WithConn adds a connection to the context of its requests; it is for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(c))
}

// FromContext returns the connection of a request; nil if it is none of a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	account  *account
	// The following are used by one goroutine at a time, as Read is.
	scanner framing.Scanner
	// records takes the place of scanner on an opaque connection.
	records recordScanner
	// active is set while a handler serves a request, or reads its body.
	active bool
	// ended is set when nothing more is to be read.
	ended    bool
	conflict atomic.Bool
	once     sync.Once
}

// Conflict reports whether a request with conflicting lengths was read.
func (c *Conn) Conflict() bool { return c.conflict.Load() }

// interrupt makes Read return, and Write if nobody reads what it writes. A response that is
// ended by that must not look complete.
func (c *Conn) interrupt(writing bool) {
	if !writing {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.SetDeadline(time.Unix(1, 0))
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.account.writing.Store(c.listener.Budget.clock.Now().UnixNano())
	defer c.account.writing.Store(0)
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.once.Do(c.account.close)
	return c.Conn.Close()
}

// Read reads from the connection. While a request is served, nothing but one byte of the
// next one is read.
func (c *Conn) Read(p []byte) (n int, err error) {
	switch {
	case c.ended:
		return 0, io.EOF
	case c.account.hasGivenWay():
		return 0, c.endRead(ErrGaveWay)
	case c.scanner.HeadTooLarge() && !c.active:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, true)
	}
	n, err = c.Conn.Read(p)
	if n == 0 {
		if err != nil && c.account.hasGivenWay() {
			return 0, c.endRead(ErrGaveWay)
		}
		return 0, err
	}
	if c.listener.Opaque {
		return n, c.receiveOpaque(p[:n], err)
	}
	serving := c.account.isServing()
	progress := c.scan(p[:n])
	switch {
	case serving && !c.account.holdUnread():
		return 0, c.discard()
	case serving:
		return n, err
	case c.scanner.HeadTooLarge() && !c.active:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, true)
	case c.scanner.HeadTooLarge() && !progress.whole:
		return 0, c.endRead(errTrailersTooLarge)
	}
	if err := c.account.receive(progress); err != nil {
		return 0, c.endRead(err)
	}
	if !progress.whole {
		// Others have their turns between the parts of a long request.
		runtime.Gosched()
	}
	return n, err
}

// receiveOpaque accounts for encrypted bytes that may belong to a head.
func (c *Conn) receiveOpaque(p []byte, err error) error {
	data := c.records.scan(p)
	if c.account.isServing() {
		return err
	}
	costs := &c.listener.Costs
	cost := costs.opaqueHead()*Bytes(data) + costs.Head*Bytes(len(p)-data)
	if receiveErr := c.account.receive(progress{bytes: int64(len(p)), cost: cost, inHead: true}); receiveErr != nil {
		c.ended = true
		return receiveErr
	}
	return err
}

// scan follows what was read.
func (c *Conn) scan(p []byte) progress {
	c.scanner.HeadLimit = c.listener.HeadLimit()
	before := c.scanner.Usage()
	c.scanner.Scan(p)
	if c.scanner.Conflict() {
		c.conflict.Store(true)
	}
	after, costs := c.scanner.Usage(), &c.listener.Costs
	return progress{
		bytes: int64(len(p)),
		cost: costs.Line*Bytes(after.Lines-before.Lines) + costs.Head*Bytes(after.Head-before.Head) +
			costs.Body*Bytes(after.Body-before.Body),
		whole:  after.Requests > before.Requests,
		inHead: c.scanner.IsInHead(),
	}
}

// endRead returns the error of a Read for which there is no room. If no handler responds,
// it does so, unless nothing of a request has come or it has come too slowly.
func (c *Conn) endRead(cause error) error {
	c.ended = true
	switch {
	case c.active:
		return cause
	case c.account.isLate() || c.account.isIdle():
		return io.EOF
	}
	return c.refuse(http.StatusServiceUnavailable, errors.Is(cause, ErrNoRoom))
}

// refuse responds to a request that no handler serves yet. It returns io.EOF, for which
// net/http sends no response of its own. With linger, the sender may still be sending.
func (c *Conn) refuse(status int, linger bool) error {
	c.ended = true
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		head += fmt.Sprintf("Retry-After: %d\r\n", retryAfter)
	}
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, head+"\r\n"); err != nil || !linger {
		return io.EOF
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
	return io.EOF
}

// discard reads until the connection ends or a deadline, and drops what comes. The
// connection then ends with the request that is served.
func (c *Conn) discard() error {
	c.ended = true
	var buf [1 << 10]byte
	for {
		if _, err := c.Conn.Read(buf[:]); err != nil {
			return err
		}
	}
}
