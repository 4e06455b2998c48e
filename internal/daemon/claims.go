package daemon

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/platform"
)

// claimsDrainTimeout is the maximum time that a leaving daemon waits until the
// outcomes of its claims are stored. A longer wait would delay the replacement
// of a host for as long as an outage of the store lasts. If an outcome is lost,
// repeats of its request get a response that says so.
const claimsDrainTimeout = 30 * time.Second

// sweepLease is the lease of the daemon that deletes old claims.
const sweepLease = "claimSweep"

func (d *Daemon) newClaims() *claim.Store {
	self := d.view.Self()
	holder := claim.Holder{Host: string(self.ID), Incarnation: self.Incarnation}
	s := claim.NewStore(d.clock, d.platform.For(platform.UseClaims), holder, d.metrics)
	s.HolderGone = func(h claim.Holder) bool {
		known, ok := d.view.Hosts().Find(membership.HostID(h.Host))
		return !ok || known.Incarnation != h.Incarnation
	}
	return s
}

// sweepClaims deletes old claims while this daemon holds sweepLease.
func (d *Daemon) sweepClaims(ctx context.Context) {
	renewer := lease.NewRenewer(d.newLeases(), sweepLease)
	d.claims.Sweep(ctx, func(ctx context.Context) bool {
		return renewer.EnsureHeld(ctx, 0)
	})
}

func (d *Daemon) newLeases() *lease.Holder {
	return lease.NewHolder(d.clock, d.platform.For(platform.UseLeases), d.metrics)
}

// awaitClaims waits until the outcomes of this daemon's claims are stored.
func (d *Daemon) awaitClaims(ctx context.Context) {
	until := d.clock.Now().Add(claimsDrainTimeout)
	for d.claims.PendingCount() > 0 && d.clock.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(tickInterval):
		}
	}
}
