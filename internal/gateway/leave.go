package gateway

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	wire "github.com/beechhead/beechhead/platform"
)

const (
	// takeFor is how long a leaving daemon still takes requests: callers keep
	// an answer of addresses for some seconds. What is taken later may not end
	// within the grace.
	takeFor = 2500 * time.Millisecond
	// closeAfter is when idle connections begin to be closed. By then most
	// callers have asked for addresses again and left by themselves.
	closeAfter = 1200 * time.Millisecond
	// departLinger is how long news of the departure may take to reach all.
	departLinger = 200 * time.Millisecond
	// leaveCheck is how often a leaving daemon looks whether it has done.
	leaveCheck = 50 * time.Millisecond
)

// Drain starts the graceful stop.
func (g *Gateway) Drain() { g.drainOnce.Do(func() { close(g.draining) }) }

// leaving tells whether the graceful stop has begun.
func (g *Gateway) leaving() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

// leave waits for the graceful stop and carries it out: no more callers are
// sent here, connections are closed between requests, and what runs is ended.
func (g *Gateway) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.draining:
	}
	began := g.clock.Now()
	g.logger.Info("leaving", "inProgress", g.inProgress.Load())
	g.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	g.unregister(ctx)
	g.wait(ctx, closeAfter-g.clock.Since(began))
	g.callers.SetKeepAlivesEnabled(false)
	g.wait(ctx, takeFor-g.clock.Since(began))
	stopped, cancel := context.WithTimeout(ctx, g.conf().Gateway.Grace.Std())
	defer cancel()
	if err := g.callers.Shutdown(stopped); err != nil {
		g.logger.Warn("requests are cut off", "inProgress", g.inProgress.Load(), "error", err)
	}
	for g.inProgress.Load() > 0 && stopped.Err() == nil {
		g.wait(ctx, leaveCheck)
	}
	g.view.Depart()
	g.beats.Refresh(ctx)
	g.wait(ctx, departLinger)
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

// unregister takes this daemon off the list in the store, as far as the store
// can be reached at once.
func (g *Gateway) unregister(ctx context.Context) {
	if !g.listedSelf.Swap(false) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout/2)
	defer cancel()
	if err := g.store.RemoveRow(ctx, wire.TableHosts, string(g.view.Self().ID)); err != nil {
		g.logger.Warn("not taken off the list in the store", "error", err)
	}
}
