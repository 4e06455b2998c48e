package daemon

import (
	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/order"
	"github.com/beechhead/beechhead/pkg/table"
)

// newOrders returns the reconciler that gives orders to engines. Only the ready
// host with the highest rendezvous score for a group competes for its lease.
// This distributes the groups over the hosts, and only one or two daemons
// request a lease from the store.
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
			if v := d.replica.Current(); v != nil {
				return v.Table
			}
			return nil
		},
		State:     engines.State,
		Order:     engines.Order,
		NewHolder: d.newLeases,
	}
}
