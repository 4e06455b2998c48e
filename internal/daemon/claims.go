package daemon

import (
	"context"
	"time"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/platform"
)

// claimsLinger bounds how long a leaving daemon waits until the ends of its
// claims are stored. Longer would keep a host that is being replaced through
// an outage of any length; repeats of what is lost are told so.
const claimsLinger = 30 * time.Second

// sweepLease is held by the daemon that sweeps claims.
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

// sweepClaims deletes old claims while this daemon holds the lease for it.
func (d *Daemon) sweepClaims(ctx context.Context) {
	keeper := lease.NewRenewer(d.newLeases(), sweepLease)
	d.claims.Sweep(ctx, func(ctx context.Context) bool {
		return keeper.EnsureHeld(ctx, 0)
	})
}

func (d *Daemon) newLeases() *lease.Holder {
	return lease.NewHolder(d.clock, d.platform.For(platform.UseLeases), d.metrics)
}

// awaitClaims waits until the ends of this daemon's claims are stored.
func (d *Daemon) awaitClaims(ctx context.Context) {
	until := d.clock.Now().Add(claimsLinger)
	for d.claims.PendingCount() > 0 && d.clock.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(tickInterval):
		}
	}
}
