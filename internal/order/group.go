package order

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// callTimeout is the timeout of each call to an engine.
	callTimeout = 3 * time.Second
	// leaseMargin is how long the lease must remain valid when an order is
	// sent: until the call has timed out, plus one second.
	leaseMargin = callTimeout + time.Second
	// maxOrderDelay is how long after its call has ended an order may still
	// take effect at an engine that does not check fencing numbers. It is an
	// assumption about the network and the engine.
	maxOrderDelay = 30 * time.Second
	// convergedInterval and pendingInterval are the times between checks of an
	// engine that is in its wanted state and of one that is not.
	convergedInterval = 15 * time.Second
	pendingInterval   = 2 * time.Second
	// unsupportedInterval is the time between checks of an engine that does not
	// accept orders.
	unsupportedInterval = 10 * time.Minute
)

// group reconciles one group of engines. Only one reconciliation runs at a
// time; a call that finds another one running returns at once.
type group struct {
	r  *Reconciler
	id Group

	mu      sync.Mutex
	renewer *lease.Renewer
	slot    *weightSlot
	// nextCheck is when each engine is due to be checked, by its URL.
	nextCheck map[string]time.Time
}

func newGroup(r *Reconciler, id Group) *group {
	return &group{
		r:         r,
		id:        id,
		renewer:   lease.NewRenewer(r.NewHolder(), id.Name()),
		slot:      newWeightSlot(r.NewHolder()),
		nextCheck: map[string]time.Time{},
	}
}

func (g *group) tryReconcile(ctx context.Context, engines []*table.Endpoint) {
	if !g.mu.TryLock() {
		return
	}
	defer g.mu.Unlock()
	if len(engines) == 0 || !g.r.OwnsGroup(g.id) {
		g.slot.release(ctx)
		g.renewer.Release(ctx)
		clear(g.nextCheck)
		return
	}
	for _, e := range engines {
		// EnsureHeld renews the lease when that is due, including between
		// engines, whose calls can take long.
		if !g.renewer.EnsureHeld(ctx, leaseMargin) {
			clear(g.nextCheck)
			return
		}
		if !g.r.Clock.Now().Before(g.nextCheck[e.URL]) {
			g.nextCheck[e.URL] = g.r.Clock.Now().Add(g.reconcileEngine(ctx, e))
		}
	}
}

// reconcileEngine checks one engine, sends an order if the engine is not in its
// wanted state, and returns the delay until the next check.
func (g *group) reconcileEngine(ctx context.Context, e *table.Endpoint) time.Duration {
	l := g.renewer.Lease()
	if !e.ChecksFence && g.renewer.HeldFor() < maxOrderDelay {
		// An order of the previous holder may still take effect. The engine
		// would not reject it, so the state must be read after that time to
		// include its effect.
		return pendingInterval
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := g.r.State(callCtx, e)
	if err != nil {
		return g.handleError(err)
	}
	o := engine.OrderFor(e)
	o.Fence = l.Fence
	converged := state.Meets(&o)
	fenceKnown := !e.ChecksFence || state.Fence >= o.Fence
	switch {
	case state.Loading:
		g.slot.acquire(ctx, e)
		if converged && fenceKnown {
			return pendingInterval
		}
	case converged:
		g.slot.releaseFor(ctx, e)
		if fenceKnown {
			return convergedInterval
		}
	case !g.slot.acquire(ctx, e):
		g.r.Metrics.Inc("order.waitsForWeights")
		return pendingInterval
	}
	return g.sendOrder(ctx, e, o)
}

// sendOrder sends an order. After a takeover, an engine that checks fencing
// numbers gets an order even if it is already in its wanted state: until it has
// seen the new number, it would accept a late order of the previous holder.
func (g *group) sendOrder(ctx context.Context, e *table.Endpoint, o engine.Order) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The daemon may have been paused since it last checked its lease. A pause
	// between this line and the call is still possible; see
	// docs/design/leases.md.
	if !g.renewer.Valid(leaseMargin) {
		g.r.Metrics.Inc("order.leaseTooShort")
		return 0
	}
	if err := g.r.Order(ctx, e, o); err != nil {
		return g.handleError(err)
	}
	g.r.Metrics.Inc("order.sent")
	return pendingInterval
}

func (g *group) handleError(err error) time.Duration {
	switch {
	case errors.Is(err, engine.ErrOrdersUnsupported):
		g.r.Metrics.Inc("order.unsupported")
		return unsupportedInterval
	case errors.Is(err, engine.ErrStaleFence):
		// Another holder has taken over, so the lease is lost, even if it has
		// not expired by the local clock.
		g.r.Metrics.Inc("order.oldFence")
		g.renewer.Forget()
		return 0
	}
	g.r.Metrics.Inc("order.failed")
	return pendingInterval
}
