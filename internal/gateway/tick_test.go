package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// Guards against daemons that wake up as often without requests as with them, and
// against a batch that waits for an idle daemon's next tick.
func TestIdleDaemonTicksSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fleetDaemon(t, smallFleet, smallFleet)
		g.awaitTick(t.Context())
		ticks := 0
		for began := time.Now(); time.Since(began) < time.Second; ticks++ {
			g.awaitTick(t.Context())
			g.tickOnce(t.Context())
		}
		if most := int(time.Second / idleTickInterval); ticks > most {
			t.Errorf("%d ticks in a second without requests, want at most %d", ticks, most)
		}
		time.AfterFunc(idleTickInterval/2, func() {
			session := g.coordinator.Attach(&peerv1.Hello{Host: "front-z1-1", Incarnation: 1}, func(*peerv1.ReservationsResponse) {})
			session.Handle(&peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true})
		})
		began := time.Now()
		g.awaitTick(t.Context())
		if waited := time.Since(began); waited != idleTickInterval/2 {
			t.Errorf("the tick after a batch waited for %v", waited-idleTickInterval/2)
		}
	})
}

// Guards against a daemon that ticks on after its end.
func TestTicksEndWithTheDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fleetDaemon(t, smallFleet, smallFleet)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if g.awaitTick(ctx) {
			t.Error("another tick after the end")
		}
	})
}
