package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// pathFault is the way in which a daemon's path to the engines fails.
type pathFault string

const (
	// pathWorks is the state without fault.
	pathWorks pathFault = "works"
	// pathHangs delivers nothing, on open and on new connections.
	pathHangs pathFault = "hangs"
	// pathResets resets open connections and refuses new ones.
	pathResets pathFault = "resets"
	// pathRefusesNew refuses new connections, while open ones work.
	pathRefusesNew pathFault = "refuses new connections"
)

// deadAfter is how long after the fault the kernel closes a connection that
// hangs, because its keep-alive probes are not acknowledged.
const deadAfter = 3 * time.Second

// enginePath is the network path of one daemon to the engines.
type enginePath struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	fault pathFault
	// brokenAt is when the fault began.
	brokenAt time.Time
	// unaffected has addresses that the fault does not concern.
	unaffected map[string]bool
	conns      map[*pathConn]bool
}

// Break begins a fault at all addresses but some, or ends it with pathWorks.
func (p *enginePath) Break(f pathFault, unaffected ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.brokenAt, p.unaffected = f, time.Now(), map[string]bool{}
	for _, address := range unaffected {
		p.unaffected[address] = true
	}
	for c := range p.conns {
		switch {
		case p.unaffected[c.address]:
		case f == pathResets:
			_ = c.Conn.Close()
		case f == pathHangs:
			c.hang()
		}
	}
}

func (p *enginePath) state(address string) pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "" || p.unaffected[address] {
		return pathWorks
	}
	return p.fault
}

// Dial opens a connection over the path.
func (p *enginePath) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.state(address) {
	case pathHangs:
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, errors.Wrap(os.ErrDeadlineExceeded, "dial "+address)
	case pathResets, pathRefusesNew:
		return nil, errors.Wrap(syscall.ECONNREFUSED, "dial "+address)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &pathConn{Conn: conn, path: p, address: address, hanging: make(chan struct{}), closed: make(chan struct{})}
	if p.conns == nil {
		p.conns = map[*pathConn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

// pathConn is a connection over an enginePath.
type pathConn struct {
	net.Conn
	path    *enginePath
	address string

	hangOnce, closeOnce sync.Once
	// hanging and closed are closed when the connection begins to hang, and when
	// it is closed.
	hanging, closed chan struct{}

	mu       sync.Mutex
	deadline time.Time
	// deadAt is when the kernel closes a connection that hangs.
	deadAt time.Time
}

func (c *pathConn) hang() {
	c.hangOnce.Do(func() {
		c.mu.Lock()
		c.deadAt = time.Now().Add(deadAfter)
		c.mu.Unlock()
		close(c.hanging)
		// Ends a read in progress, which then waits as a hanging one does.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
}

func (c *pathConn) hangs() bool {
	select {
	case <-c.hanging:
		return true
	default:
		return false
	}
}

func (c *pathConn) Read(b []byte) (int, error) {
	if !c.hangs() {
		n, err := c.Conn.Read(b)
		if !c.hangs() {
			return n, err
		}
	}
	for {
		c.mu.Lock()
		deadline, deadAt := c.deadline, c.deadAt
		c.mu.Unlock()
		now := time.Now()
		switch {
		case !deadline.IsZero() && !now.Before(deadline):
			return 0, os.ErrDeadlineExceeded
		case !now.Before(deadAt):
			return 0, syscall.ETIMEDOUT
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (c *pathConn) Write(b []byte) (int, error) {
	if !c.hangs() {
		return c.Conn.Write(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.deadAt) {
		return 0, syscall.ETIMEDOUT
	}
	return len(b), nil
}

func (c *pathConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.hangs() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *pathConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.path.mu.Lock()
		delete(c.path.conns, c)
		c.path.mu.Unlock()
	})
	return c.Conn.Close()
}

// SyscallConn lets daemons see whether an idle connection has been closed, as they do
// with their own.
func (c *pathConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
