package http1

import (
	"context"
	"syscall"

	"github.com/go-faster/errors"
)

// Ended tells whether nobody listens at an address any longer: its machine
// refuses connections. A connection that opens is kept for the next request.
func (p *Pool) Ended(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(address, p.opened(c), defaultIdle)
	return false
}
