// Package cellhost is a daemon's part in placing requests: it answers as the
// coordinator of some cells and has links to those of the others.
package cellhost

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
)

// pausedAfter is how late a tick must be for the daemon to count as having
// been paused.
const pausedAfter = time.Second

// Host joins a daemon's coordinator with its links. All fields must be set
// before it is used. It is safe for concurrent use.
type Host struct {
	Clock       clockwork.Clock
	View        *membership.View
	Peers       *peer.Pool
	Coordinator *cell.Coordinator
	Metrics     *metric.Registry
	// Interval is the time between two ticks.
	Interval time.Duration
	// Refresh brings the view up to date.
	Refresh func(context.Context)

	pauses pauses
}

// Attach opens another daemon's session with this coordinator.
func (h *Host) Attach(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) peer.Session {
	s := h.Coordinator.Attach(hello, send)
	handle := func(req *peerv1.ReservationsRequest) {
		h.awaitTick(context.Background())
		s.Handle(req)
	}
	return peer.Session{Handle: handle, Close: s.Close}
}

// Dial opens a link to a coordinator, which may be this daemon. Each link has
// a connection of its own: a new link replaces a connection that is silent.
func (h *Host) Dial(host membership.Host, handle func(*peerv1.ReservationsResponse)) placement.Link {
	self := h.View.Self()
	hello := &peerv1.Hello{Host: string(self.ID), Incarnation: self.Incarnation}
	if host.ID == self.ID {
		return h.loopback(hello, handle)
	}
	client, closeConnection := h.Peers.Fresh(host.PeerAddress)
	s := client.Reservations(context.Background(), hello, handle)
	go func() {
		<-s.Done()
		closeConnection()
	}()
	return placement.Link{Send: s.Send, Done: s.Done(), Close: s.Close}
}

// loopback is the link to this daemon's own coordinator. Requests are queued
// without a bound, because the placer sends them with its lock held, which the
// answers need as well.
func (h *Host) loopback(hello *peerv1.Hello, handle func(*peerv1.ReservationsResponse)) placement.Link {
	session := h.Coordinator.Attach(hello, handle)
	awake := func(req *peerv1.ReservationsRequest) {
		h.awaitTick(context.Background())
		session.Handle(req)
	}
	q := peer.NewQueue(awake, session.Close)
	return placement.Link{Send: q.Send, Done: q.Done(), Close: q.Close}
}

// pauses finds out whether this daemon was paused: stopped by its machine or
// starved of processor time. It wakes with a view that is as old as the pause
// was long, believing itself the coordinator of cells that others have taken
// over. Until it has asked its peers it must not grant.
type pauses struct {
	mu sync.Mutex
	// last is when the last tick ended, and zero before the first.
	last time.Time
}

// suspected tells whether the last tick is too long ago.
func (p *pauses) suspected(clock clockwork.Clock) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.last.IsZero() && clock.Since(p.last) > pausedAfter
}

// Ticked notes that the daemon runs.
func (h *Host) Ticked() {
	h.pauses.mu.Lock()
	defer h.pauses.mu.Unlock()
	h.pauses.last = h.Clock.Now()
}

// RefreshAfterPause brings the view up to date if the daemon was paused, and
// tells whether it was.
func (h *Host) RefreshAfterPause(ctx context.Context) bool {
	if !h.pauses.suspected(h.Clock) {
		return false
	}
	h.Metrics.Inc("hosts.paused")
	h.View.Forgive()
	h.Refresh(ctx)
	return true
}

// SweepOrphans drops what daemons hold here that have ended.
func (h *Host) SweepOrphans() {
	if n := h.Coordinator.Sweep(h.View.Hosts); n > 0 {
		h.Metrics.Add("cells.orphansDropped", int64(n))
	}
}

// awaitTick returns once the daemon has found out about a pause, if there was
// one. What comes from entry daemons waits here, so that nothing is granted on
// a view from before the pause.
func (h *Host) awaitTick(ctx context.Context) {
	for h.pauses.suspected(h.Clock) {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.After(h.Interval / 10):
		}
	}
}
