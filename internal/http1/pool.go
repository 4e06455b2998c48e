// Package http1 sends requests to endpoints over kept HTTP/1.1 connections,
// one at a time on each. Unlike net/http's transport it never repeats a
// request, tells for certain whether a byte of it was written, and copes with
// endpoints that answer early, twice or with what belongs to another request.
package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// ErrNotSent says that no byte of the request was written to the endpoint.
var ErrNotSent = errors.New("not sent")

const (
	// defaultIdle is how long a connection is kept whose endpoint names no
	// time. Endpoints close idle ones after some seconds.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the endpoint's own time a connection
	// is given up, so that a request does not cross its close.
	idleMargin = 700 * time.Millisecond
	// bufferSize is that of a connection's reader: an event is short.
	bufferSize = 2 << 10
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	clock clockwork.Clock
	// dial opens a connection to an address.
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time
	// Opened counts connections.
	Opened atomic.Int64
	// maxIdle bounds the idle connections to one address; zero does not.
	maxIdle atomic.Int64
}

// SetMaxIdle bounds the idle connections to one address; zero does not.
// Endpoints reset what exceeds their limit for all callers together, and the
// request on it with it.
func (p *Pool) SetMaxIdle(n int) { p.maxIdle.Store(int64(n)) }

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock, dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{clock: clock, dial: dial, idle: map[string][]*conn{}, swept: clock.Now()}
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused says that it has carried an exchange before.
	reused bool
	// until is when an idle connection is given up.
	until time.Time
}

// take returns an idle connection to the address that seems alive, or nil.
func (p *Pool) take(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if p.clock.Now().Before(c.until) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *conn, idle time.Duration) {
	if idle <= 0 {
		_ = c.Close()
		return
	}
	c.until = p.clock.Now().Add(idle)
	c.reused = true
	if !p.keep(address, c) {
		_ = c.Close()
	}
	p.sweep()
}

// keep adds an idle connection unless there are enough.
func (p *Pool) keep(address string, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if most := int(p.maxIdle.Load()); most > 0 && len(p.idle[address]) >= most {
		return false
	}
	p.idle[address] = append(p.idle[address], c)
	return true
}

// sweepInterval is the time between two searches for connections that have
// been idle for too long.
const sweepInterval = time.Second

// sweep closes what has been idle for too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	now := p.clock.Now()
	if now.Sub(p.swept) < sweepInterval {
		p.mu.Unlock()
		return
	}
	p.swept = now
	var expired []*conn
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = keep
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Drop closes the idle connections to an address, after one of them was found
// silent or cut: what has lost track of one has often lost the others too.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return p.opened(c), nil
}

// opened counts a new connection.
func (p *Pool) opened(c net.Conn) *conn {
	p.Opened.Add(1)
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, bufferSize)}
}
