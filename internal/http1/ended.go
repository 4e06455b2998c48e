package http1

import (
	"context"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// Ended tells whether nobody listens at an address any longer: its machine
// refuses connections. A connection that opens is kept for the next request.
func (p *Pool) Ended(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return endpoint.Refused(err)
	}
	p.put(address, p.opened(c), defaultIdle)
	return false
}
