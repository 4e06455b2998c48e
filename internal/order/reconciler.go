// Package order reconciles engines with the table: each engine loads the model
// of its pool and its adapters. Engines are divided into groups, and only the
// holder of a group's lease sends orders to its engines. See
// docs/design/leases.md.
package order

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// Groups is the number of engine groups, each with its own lease. It must
	// not change: an engine that moved to another group would receive fencing
	// numbers of two unrelated leases, which can't be compared.
	Groups = 32
	// tickInterval is the time between reconciliations of all groups.
	tickInterval = 2 * time.Second
)

// Group is the number of a group of engines.
type Group int

// Name returns the name of the group's lease.
func (g Group) Name() string { return fmt.Sprintf("orders/%02d", int(g)) }

// GroupOf returns the group of an engine. It depends only on the URL, so that
// table rows that refer to the same engine are in the same group.
func GroupOf(e *table.Endpoint) Group { return Group(xxhash.Sum64String(e.URL) % Groups) }

// Reconciler sends the orders of one daemon. All exported fields must be set
// before use.
type Reconciler struct {
	Clock   clockwork.Clock
	Metrics *metric.Registry
	// OwnsGroup reports whether this daemon should hold a group's lease. Two
	// daemons may both return true for a while; the lease determines which of
	// them sends orders.
	OwnsGroup func(Group) bool
	// Table returns the current table, or nil if there is none.
	Table func() *table.Table
	// State reads the state of an engine; Order sends it an order.
	State func(context.Context, *table.Endpoint) (engine.State, error)
	Order func(context.Context, *table.Endpoint, engine.Order) error
	// NewHolder returns a new lease holder. Holders are not safe for concurrent
	// use, so each group has its own.
	NewHolder func() *lease.Holder

	once   sync.Once
	groups []*group
}

// Run reconciles all groups periodically until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := r.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			for g, engines := range r.enginesByGroup() {
				running.Go(func() { r.group(Group(g)).tryReconcile(ctx, engines) })
			}
		}
	}
}

// ReconcileGroup reconciles one group once.
func (r *Reconciler) ReconcileGroup(ctx context.Context, g Group) {
	r.group(g).tryReconcile(ctx, r.enginesByGroup()[g])
}

func (r *Reconciler) group(g Group) *group {
	r.once.Do(func() {
		for n := range Group(Groups) {
			r.groups = append(r.groups, newGroup(r, n))
		}
	})
	return r.groups[g]
}

// enginesByGroup returns the table's engines, indexed by group.
func (r *Reconciler) enginesByGroup() [][]*table.Endpoint {
	byGroup := make([][]*table.Endpoint, Groups)
	t := r.Table()
	if t == nil {
		return byGroup
	}
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		if e.Kind == table.KindEngine {
			g := GroupOf(e)
			byGroup[g] = append(byGroup[g], e)
		}
	}
	return byGroup
}
