package http1

import (
	"context"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// Alive reports whether there is an intact idle connection to an address, which
// shows that the address has a listener.
func (p *Pool) Alive(address string) bool {
	c := p.take(address)
	if c == nil {
		return false
	}
	if !p.addIdle(address, c) {
		_ = c.Close()
	}
	return true
}

// IsListening reports whether the address has a listener: there is an intact idle
// connection to it, or one can be opened, which is kept for the next request.
func (p *Pool) IsListening(ctx context.Context, address string) bool {
	if p.Alive(address) {
		return true
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	p.put(address, p.newConn(c), defaultIdleTimeout)
	return true
}

// HasTerminated reports whether the address has no listener any more, that is, whether
// its machine refuses connections. If a connection can be opened, it is kept
// for the next request.
func (p *Pool) HasTerminated(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return endpoint.IsConnectionRefused(err)
	}
	p.put(address, p.newConn(c), defaultIdleTimeout)
	return false
}
