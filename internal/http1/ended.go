package http1

import (
	"context"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// Alive tells whether an idle connection to an address shows that somebody
// listens there.
func (p *Pool) Alive(address string) bool {
	c := p.take(address)
	if c == nil {
		return false
	}
	if !p.keep(address, c) {
		_ = c.Close()
	}
	return true
}

// Ended tells whether nobody listens at an address any longer: its machine
// refuses connections. A connection that opens is kept for the next request.
func (p *Pool) Ended(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return endpoint.IsConnectionRefused(err)
	}
	p.put(address, p.opened(c), defaultIdle)
	return false
}
