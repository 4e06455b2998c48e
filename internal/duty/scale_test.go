package duty_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/duty"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
	wire "github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// scalingSite is a daemon that holds the lease, before two zones.
type scalingSite struct {
	t      *testing.T
	boot   *boottime.Fake
	tenure *duty.Tenure
	scaler *duty.Scaler
	zones  []autoscale.Zone
	load   autoscale.Load
	err    error
	// refuse, if set, reports whether there are no engines for an order.
	refuse func(o duty.EngineOrder) bool
	orders []string
}

func newScalingSite(t *testing.T, onDemand, spot int) *scalingSite {
	t.Helper()
	s := &scalingSite{t: t, boot: &boottime.Fake{}}
	s.boot.Advance(time.Hour)
	for _, name := range []string{"a", "b"} {
		z := autoscale.Zone{Name: name}
		z.Ready[autoscale.OnDemand], z.Ready[autoscale.Spot] = onDemand, spot
		s.zones = append(s.zones, z)
	}
	clock := promptClock{clockwork.NewFakeClock()}
	store := standin.NewStore()
	client := platform.NewClientWith(clock, "http://store", handlerTransport{store.Handler()}, time.Minute, nil).WithWire(wire.StoreProtocol())
	metrics, logger := metric.NewRegistry(), slog.New(slog.NewTextHandler(io.Discard, nil))
	holder := lease.NewHolder(clock, client, metrics)
	holder.Boot, holder.Terms = s.boot, duty.Terms(simTurn)
	s.tenure = &duty.Tenure{
		Clock: clock, Boot: s.boot, Logger: logger, Metrics: metrics, ChecksFence: true,
		Self:      func() membership.HostID { return "h" },
		Hosts:     func() *membership.Snapshot { return membership.NewSnapshot([]membership.Host{{ID: "h"}}) },
		Renewer:   lease.NewRenewer(holder, duty.LeaseName),
		WhileHeld: func(context.Context) {},
	}
	s.scaler = &duty.Scaler{
		Clock: clock, Boot: s.boot, Logger: logger, Metrics: metrics, Tenure: s.tenure, MaxOrders: 10,
		Candidate: s.tenure.Eligible,
		Pools:     s.pools(20),
		Load:      func(table.Pool) (autoscale.Load, int) { return s.load, 1 },
		Order: func(_ context.Context, _ duty.Authority, o duty.EngineOrder) error {
			s.orders = append(s.orders, fmt.Sprintf("%s %s %d", o.Zone, o.Kind, o.Engines))
			if s.refuse != nil && s.refuse(o) {
				return duty.ErrConflict
			}
			return s.err
		},
	}
	return s
}

// pools returns the site's pool, of which a zone may have so many engines.
func (s *scalingSite) pools(most int) func() []duty.ScalablePool {
	spec := &autoscale.Spec{Max: most, Boot: 4 * time.Second, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 2}}
	return func() []duty.ScalablePool {
		return []duty.ScalablePool{{Name: "p", Slots: 64, Spec: spec, Zones: slices.Clone(s.zones)}}
	}
}

// run makes decisions for some time and returns the orders.
func (s *scalingSite) run(t time.Duration) string {
	s.orders = nil
	for end := s.boot.Now() + t; s.boot.Now() < end; {
		s.boot.Advance(time.Second / 2)
		s.tenure.Step(context.Background())
		s.scaler.Step(context.Background())
	}
	return strings.Join(s.orders, ", ")
}

func (s *scalingSite) want(what, got, want string) {
	s.t.Helper()
	if got != want {
		s.t.Errorf("%s: orders %q, want %q", what, got, want)
	}
}

// Guards against on-demand engines that are ordered down before all have
// registered, and before spot engines are ready in their place.
func TestStartOfASite(t *testing.T) {
	s := newScalingSite(t, 4, 0)
	s.want("as engines register", s.run(2*time.Second), "a spot 8, b spot 8")
	s.zones[1].Ready[autoscale.OnDemand] = 6
	s.want("as further ones register", s.run(2*time.Second), "a spot 10, b spot 10")
	s.zones[0].Ready[autoscale.Spot] = 7
	s.want("as spot engines become ready", s.run(time.Second), "a onDemand 3, b onDemand 0")
	s.zones[0].Ready[autoscale.Spot], s.zones[1].Ready[autoscale.Spot] = 10, 10
	s.want("when all are ready", s.run(time.Second), "a onDemand 0")
}

// Guards against engines that are ordered down by a daemon that has not observed
// the load, after all daemons were killed in a burst.
func TestStartInABurst(t *testing.T) {
	s := newScalingSite(t, 0, 6)
	s.load = autoscale.Load{Prefill: 1, Running: 40}
	s.want("before the load is known", s.run(4*time.Second), "")
	s.want("once it is known", s.run(4*time.Second), "a spot 4, b spot 4")
}

// Guards against orders that are repeated at once where there are no engines or
// where the platform accepts no more calls, and against those that are given up.
func TestRefusedOrders(t *testing.T) {
	s := newScalingSite(t, 0, 4)
	s.run(time.Second)
	s.zones[1].Ready[autoscale.Spot] = 0
	s.err = duty.ErrConflict
	s.want("a zone is reclaimed", s.run(3*time.Second), "b spot 4")
	s.err = nil
	s.want("engines are available again", s.run(time.Second), "b spot 4")
	s.want("an order is under way", s.run(7*time.Second), "")
	s.want("its engines have not appeared", s.run(2*time.Second), "b spot 4")
	s.zones[0].Ready[autoscale.Spot] = 0
	s.err = duty.ErrThrottled
	s.want("too many calls", s.run(time.Second), "a spot 4")
}

// Guards against on-demand engines that are given up while they boot, each time that
// spot engines of a reclaimed zone are asked for again.
func TestReclaimedZoneKeepsItsOnDemandEngines(t *testing.T) {
	s := newScalingSite(t, 0, 10)
	s.load = autoscale.Load{Prefill: 8, Running: 100}
	s.run(6 * time.Second)
	s.zones[0].Ready[autoscale.Spot], s.zones[0].Ready[autoscale.OnDemand] = 0, 0
	s.refuse = func(o duty.EngineOrder) bool { return o.Zone == "a" && o.Kind == autoscale.Spot }
	s.scaler.Pools = s.pools(15)
	orders := s.run(20 * time.Second)
	if strings.Contains(orders, "a onDemand 0") || !strings.Contains(orders, "a onDemand") {
		t.Errorf("orders %q; on-demand engines of the reclaimed zone are wanted all the time", orders)
	}
}
