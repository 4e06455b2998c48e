package daemon

import (
	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/order"
	"github.com/beechhead/beechhead/pkg/table"
)

// newOrders returns what gives orders to engines. A group's lease is for the
// ready host with the highest rendezvous score, so that the groups spread and
// only one or two daemons ask the store for a lease.
func (d *Daemon) newOrders() *order.Reconciler {
	engines := engine.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	return &order.Reconciler{
		Clock:   d.clock,
		Metrics: d.metrics,
		OwnsGroup: func(g order.Group) bool {
			position, ok := d.view.Ready().Order(g.Name()).Position(d.view.Self().ID)
			return ok && position == 0
		},
		Table: func() *table.Table {
			if v := d.keeper.Current(); v != nil {
				return v.Table
			}
			return nil
		},
		State:     engines.State,
		Order:     engines.Order,
		NewHolder: d.newLeases,
	}
}
