// Package cellhost connects a daemon to the reservation protocol. It serves the
// sessions of other daemons with the local coordinator and opens links to the
// coordinators of other cells. It also detects that the daemon was paused.
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

// pauseThreshold is the time without a tick after which the daemon is assumed
// to have been paused.
const pauseThreshold = time.Second

// Host provides a daemon's coordinator to other daemons, and links to their
// coordinators. All exported fields must be set before use. It is safe for
// concurrent use.
type Host struct {
	Clock       clockwork.Clock
	View        *membership.View
	Peers       *peer.Pool
	Coordinator *cell.Coordinator
	Metrics     *metric.Registry
	// Interval is the interval between calls of RecordTick.
	Interval time.Duration
	// RefreshView updates the membership view by asking the peers.
	RefreshView func(context.Context)

	pauses pauseDetector
}

// Attach opens a session of another daemon with the local coordinator.
func (h *Host) Attach(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) peer.Session {
	s := h.Coordinator.Attach(hello, send)
	handle := func(req *peerv1.ReservationsRequest) {
		h.awaitTick(context.Background())
		s.Handle(req)
	}
	return peer.Session{Handle: handle, Close: s.Close}
}

// Dial opens a link to the coordinator on host, which may be this daemon itself.
// Each link has its own connection, because a new link is opened to replace one
// whose connection has gone silent.
func (h *Host) Dial(host membership.Host, handle func(*peerv1.ReservationsResponse)) placement.Link {
	self := h.View.Self()
	hello := &peerv1.Hello{Host: string(self.ID), Incarnation: self.Incarnation}
	if host.ID == self.ID {
		return h.loopback(hello, handle)
	}
	client, closeConnection := h.Peers.UnpooledClient(host.PeerAddress)
	s := client.Reservations(context.Background(), hello, handle)
	go func() {
		<-s.Done()
		closeConnection()
	}()
	return placement.Link{Send: s.Send, Done: s.Done(), Close: s.Close}
}

// loopback returns a link to the local coordinator. Its queue is unbounded: the
// placer sends while it holds its mutex, which processing the responses also
// needs, so a full queue would cause a deadlock.
func (h *Host) loopback(hello *peerv1.Hello, handle func(*peerv1.ReservationsResponse)) placement.Link {
	session := h.Coordinator.Attach(hello, handle)
	handleAfterTick := func(req *peerv1.ReservationsRequest) {
		h.awaitTick(context.Background())
		session.Handle(req)
	}
	q := peer.NewLocalStream(handleAfterTick, session.Close)
	return placement.Link{Send: q.Send, Done: q.Done(), Close: q.Close}
}

// pauseDetector detects that the daemon was paused, either suspended by its
// machine or starved of CPU time. After a pause, its membership view is as old as
// the pause was long, and it may still act as the coordinator of cells that other
// daemons have taken over. It must not grant slots before it has updated the
// view from its peers.
type pauseDetector struct {
	mu sync.Mutex
	// lastTick is when RecordTick was last called; zero before the first call.
	lastTick time.Time
}

// suspected reports whether the last tick was more than pauseThreshold ago.
func (p *pauseDetector) suspected(clock clockwork.Clock) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastTick.IsZero() && clock.Since(p.lastTick) > pauseThreshold
}

// RecordTick records that the daemon is running. It must be called at the end of each
// tick, after RefreshAfterPause.
func (h *Host) RecordTick() {
	h.pauses.mu.Lock()
	defer h.pauses.mu.Unlock()
	h.pauses.lastTick = h.Clock.Now()
}

// RefreshAfterPause updates the membership view if the daemon was paused. It
// reports whether it was.
func (h *Host) RefreshAfterPause(ctx context.Context) bool {
	if !h.pauses.suspected(h.Clock) {
		return false
	}
	h.Metrics.Inc("hosts.paused")
	h.View.RestartSuspicion()
	h.RefreshView(ctx)
	return true
}

// DropOrphans drops the grants and waiting requests of terminated daemons from
// the local coordinator.
func (h *Host) DropOrphans() {
	if n := h.Coordinator.DropOrphans(h.View.Hosts); n > 0 {
		h.Metrics.Add("cells.orphansDropped", int64(n))
	}
}

// awaitTick blocks after a pause of the daemon until the next tick has completed
// or ctx is done. Batches of entry daemons wait here, so that no slot is granted
// based on a membership view from before the pause.
func (h *Host) awaitTick(ctx context.Context) {
	for h.pauses.suspected(h.Clock) {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.After(h.Interval / 10):
		}
	}
}
