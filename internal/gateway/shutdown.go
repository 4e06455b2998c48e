package gateway

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	wire "github.com/beechhead/beechhead/platform"
)

const (
	// keepAlivePeriod is the delay before idle connections are closed. By then
	// most callers have resolved the addresses again and moved to other hosts.
	keepAlivePeriod = 1200 * time.Millisecond
	// flushTime is the time allowed for writing the last responses.
	flushTime = 100 * time.Millisecond
	// departureDelay is the time allowed for notifying all hosts of the
	// departure.
	departureDelay = 200 * time.Millisecond
	// leavePollInterval is the interval at which a leaving daemon checks
	// whether all requests have ended.
	leavePollInterval = 50 * time.Millisecond
	// leavingRetryAfter is the Retry-After value of refusals that name none: other daemons
	// may serve the request.
	leavingRetryAfter = 200 * time.Millisecond
)

// Drain starts the graceful shutdown.
func (g *Gateway) Drain() { g.grace.Begin(g.conf().Gateway.Grace.Std()) }

// leaving reports whether the graceful shutdown has begun.
func (g *Gateway) leaving() bool {
	return g.grace.HasBegun()
}

// shutDown waits for the graceful shutdown to be started and carries it out:
// the host is no longer returned to callers, connections are closed between
// requests, and requests in progress are completed. All times count from the signal, as the
// one does after which the process is killed.
func (g *Gateway) shutDown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.grace.Begun():
	}
	g.logger.Info("leaving", "inProgress", g.inProgress.Load())
	g.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	g.unregister(ctx)
	g.wait(ctx, keepAlivePeriod-g.grace.Elapsed())
	g.callerHTTP.SetKeepAlivesEnabled(false)
	g.wait(ctx, g.grace.AcceptTime()-g.grace.Elapsed())
	stopped, cancel := context.WithTimeout(ctx, g.grace.LastResponse(false)+flushTime-g.boot.Now())
	defer cancel()
	if err := g.callerHTTP.Shutdown(stopped); err != nil && g.inProgress.Load() > 0 {
		g.logger.Warn("requests are cut off", "inProgress", g.inProgress.Load(), "error", err)
	}
	for (g.inProgress.Load() > 0 || g.tunnels.Open() > 0) && stopped.Err() == nil {
		g.wait(ctx, leavePollInterval)
	}
	if g.duties != nil {
		// Before the departure: daemons that know of it expect no counts of this one any
		// more, and may fix a window without them.
		g.duties.exchange.Flush()
	}
	g.view.Depart()
	g.heartbeats.Refresh(ctx)
	g.wait(ctx, departureDelay)
	g.logger.Info("left")
	return nil
}

func (g *Gateway) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-g.clock.After(d):
	}
}

// unregister removes this daemon from the list in the store. It makes only one
// attempt, with a short timeout.
func (g *Gateway) unregister(ctx context.Context) {
	if !g.selfRegistered.Swap(false) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout/2)
	defer cancel()
	if err := g.store.RemoveRow(ctx, wire.TableHosts, string(g.view.Self().ID)); err != nil {
		g.logger.Warn("not taken off the list in the store", "error", err)
	}
}
