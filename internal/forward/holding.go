package forward

import (
	"github.com/beechhead/beechhead/internal/responseroom"
)

// hold returns a holding for the response of an attempt. giveWay ends the attempt; nil if it
// never gives way.
func (r *run) hold(room *responseroom.Room, giveWay func()) *responseroom.Holding {
	h := room.Open(giveWay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdings = append(r.holdings, h)
	return h
}

// closeHoldings releases the buffers of all attempts. It must be called without mu.
func (r *run) closeHoldings() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.holdings {
		h.Close()
	}
}
