// Package http1 sends requests to endpoints over persistent HTTP/1.1
// connections without pipelining. Unlike net/http's transport, it never retries
// a request by itself, reports reliably whether any byte of it was written, and
// handles endpoints that respond early, twice, or with the response to another
// request.
package http1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/endpoint"
)

var (
	// ErrNotSent means that no byte of the request was written to the endpoint.
	ErrNotSent = errors.New("not sent")
	// ErrUnconfirmed means that the endpoint was not reached, and that no other
	// daemon could say whether it is reachable.
	ErrUnconfirmed = errors.New("not confirmed by another daemon")
	// ErrMaybeRefused is an ErrUnconfirmed: either the endpoint's machine refuses the
	// connection or the path does.
	ErrMaybeRefused = errors.Wrap(ErrUnconfirmed, "refused")
)

// dialError is an ErrNotSent with the error of opening the connection.
type dialError struct{ cause error }

func (e *dialError) Error() string        { return e.cause.Error() + ": " + ErrNotSent.Error() }
func (e *dialError) Is(target error) bool { return target == ErrNotSent }
func (e *dialError) Unwrap() error        { return e.cause }

const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// states no timeout. Endpoints close idle connections after some seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the endpoint's own idle timeout a
	// connection is closed, so that no request is sent while the endpoint
	// closes the connection.
	idleMargin = 700 * time.Millisecond
	// bufferSize is the size of a connection's read buffer; events are short.
	bufferSize = 2 << 10
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	clock clockwork.Clock
	// dial opens a connection to an address.
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
	// Opened counts the connections that were opened.
	Opened atomic.Int64
	// OnUnexpectedData is called, if set, when an idle connection is closed since the
	// endpoint has sent something on it. It must be set before the first use.
	OnUnexpectedData func(address string, c ConnState)
	// maxIdle bounds the idle connections per address; zero means no bound.
	maxIdle atomic.Int64
}

// SetMaxIdle bounds the idle connections per address; zero means no bound.
// Endpoints have a connection limit for all callers together and reset
// connections that exceed it, along with the requests on them.
func (p *Pool) SetMaxIdle(n int) { p.maxIdle.Store(int64(n)) }

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock, dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{clock: clock, dial: dial, idle: map[string][]*conn{}, lastSweep: clock.Now()}
}

// ConnState describes a connection at one moment.
type ConnState struct {
	// Age is the time since the connection was opened.
	Age time.Duration
	// Carried is the number of requests that were written to it before, probes among
	// them.
	Carried int
	// Number counts the connections of the pool from 1 on.
	Number int64
	// Written and Read count the bytes that were written to it and read from it.
	Written, Read int64
}

func (p *Pool) state(c *conn) ConnState {
	return ConnState{Age: p.clock.Since(c.openedAt), Carried: c.requests, Number: c.number, Written: c.written.Load(), Read: c.read.Load()}
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	// number is the ConnState's.
	number int64
	// written and read count the bytes that were written and read.
	written, read atomic.Int64
	// requests counts the requests that were written, probes among them.
	requests int
	// reused is set once the connection has carried an exchange.
	reused bool
	// expiresAt is when the connection is closed if it is still idle.
	expiresAt time.Time
	// probesConfigured is set once probes were configured; they may be off.
	probesConfigured bool
	// allowance is how many more bytes may be read; negative means any number.
	allowance int64
}

// Read reads from the connection. A reset is never an io.EOF.
func (c *conn) Read(p []byte) (n int, err error) {
	switch {
	case c.allowance == 0:
		return 0, ErrTooLong
	case c.allowance > 0:
		p = p[:min(int64(len(p)), c.allowance)]
	}
	n, err = c.Conn.Read(p)
	c.read.Add(int64(n))
	if c.allowance > 0 {
		c.allowance -= int64(n)
	}
	return n, endpoint.EndError(c.Conn, err)
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// via returns the address of the daemon that carries the connection; "" if it is
// a direct one.
func (c *conn) via() string {
	if carried, ok := c.Conn.(interface{ Via() string }); ok {
		return carried.Via()
	}
	return ""
}

// take removes an idle connection to the address that appears intact from the
// pool and returns it, or nil if there is none. If unused is set, it takes only
// connections that have carried no request.
func (p *Pool) take(address string, unused bool) *conn {
	for {
		c := p.pop(address, unused)
		if c == nil {
			return nil
		}
		if p.isUsable(address, c) {
			c.stopProbes()
			return c
		}
		_ = c.Close()
	}
}

// isUsable reports whether an idle connection can carry a request.
func (p *Pool) isUsable(address string, c *conn) bool {
	if !p.clock.Now().Before(c.expiresAt) {
		return false
	}
	state := idleState(c.Conn)
	if state == idleHasData && p.OnUnexpectedData != nil {
		p.OnUnexpectedData(address, p.state(c))
	}
	return state == idleIntact
}

func (p *Pool) pop(address string, unused bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !unused || c.requests == 0 {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom closes the oldest idle connection to the address if there are as many as are
// allowed, so that a new one takes its place and the endpoint's limit is kept.
func (p *Pool) makeRoom(address string) {
	p.mu.Lock()
	list := p.idle[address]
	limit := int(p.maxIdle.Load())
	if limit <= 0 || len(list) < limit {
		p.mu.Unlock()
		return
	}
	oldest := list[0]
	p.idle[address] = slices.Delete(list, 0, 1)
	p.mu.Unlock()
	_ = oldest.Close()
}

func (p *Pool) put(address string, c *conn, idle time.Duration) {
	if idle <= 0 {
		_ = c.Close()
		return
	}
	c.expiresAt = p.clock.Now().Add(idle)
	c.reused = true
	if !p.addIdle(address, c) {
		_ = c.Close()
	}
	p.sweep()
}

// addIdle adds an idle connection and reports whether the limit allowed it.
func (p *Pool) addIdle(address string, c *conn) bool {
	c.startProbes()
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit := int(p.maxIdle.Load()); limit > 0 && len(p.idle[address]) >= limit {
		return false
	}
	p.idle[address] = append(p.idle[address], c)
	return true
}

// sweepInterval is the minimum time between two searches for expired idle
// connections.
const sweepInterval = time.Second

// sweep closes expired idle connections.
func (p *Pool) sweep() {
	p.mu.Lock()
	now := p.clock.Now()
	if now.Sub(p.lastSweep) < sweepInterval {
		p.mu.Unlock()
		return
	}
	p.lastSweep = now
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address. It is called after one
// connection was found stalled or lost, since the others often are as well.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseIdleIf closes the idle connections for which drop returns true; via is the
// address of the daemon that carries a connection, or "".
func (p *Pool) CloseIdleIf(drop func(via string) bool) {
	var dropped []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if drop(c.via()) {
				dropped = append(dropped, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

func (p *Pool) dialConn(ctx context.Context, address string) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return p.newConn(c), nil
}

// newConn counts a new connection and adds its reader.
func (p *Pool) newConn(c net.Conn) *conn {
	conn := &conn{Conn: c, number: p.Opened.Add(1), allowance: -1, openedAt: p.clock.Now()}
	conn.reader = bufio.NewReaderSize(conn, bufferSize)
	return conn
}
