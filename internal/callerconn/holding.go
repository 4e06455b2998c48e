package callerconn

import (
	"context"
	"io"
)

// Holding is what one request makes the daemon hold, if its connection is opaque. The zero
// value accounts for nothing.
type Holding struct {
	conn *Conn
	held Bytes
}

// NewHolding returns the holding of a request. It must be released.
func NewHolding(ctx context.Context) *Holding {
	c := FromContext(ctx)
	if c == nil || !c.listener.Opaque {
		return &Holding{}
	}
	return &Holding{conn: c}
}

// AddHead accounts for a head with so many bytes and lines.
func (h *Holding) AddHead(size, lines int) error {
	if h.conn == nil {
		return nil
	}
	costs := &h.conn.listener.Costs
	return h.add(costs.Head*Bytes(size) + costs.Line*Bytes(lines))
}

func (h *Holding) add(n Bytes) error {
	a := h.conn.account
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if err := a.budget.reserve(a, n); err != nil {
		return err
	}
	h.held += n
	return nil
}

// Body returns a reader that accounts for the body of the request.
func (h *Holding) Body(r io.Reader) io.Reader {
	if h.conn == nil {
		return r
	}
	return &heldBody{Reader: r, holding: h}
}

type heldBody struct {
	io.Reader
	holding *Holding
}

// Read reads from the body.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		if err := b.holding.add(b.holding.conn.listener.Costs.Body * Bytes(n)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Release ends the holding.
func (h *Holding) Release() {
	if h.conn == nil {
		return
	}
	a := h.conn.account
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	n := min(h.held, a.held)
	if h.held = 0; n > 0 {
		a.release(n)
	}
}
