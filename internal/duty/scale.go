package duty

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/pkg/table"
)

// ScalablePool is a pool whose engines can be ordered, with its present state.
type ScalablePool struct {
	Name  table.Pool
	Slots int
	Spec  *autoscale.Spec
	// Zones are those in which the pool's engines are priced.
	Zones []autoscale.Zone
}

const (
	// scaleInterval is the interval between two decisions.
	scaleInterval = 500 * time.Millisecond
	// unavailableTime is how long a kind of engines that was not available in a
	// zone is not ordered there.
	unavailableTime = 3 * time.Second
	// settleBoots is the time, in boot times, after which an order whose engines
	// have not appeared is sent again.
	settleBoots = 2
	// throttleTime is how long no order is sent after too many calls.
	throttleTime = time.Second
	// lowerShare is the part of the engines needed earlier below which fewer are
	// ordered.
	lowerShare = 0.85
	// initialTime is the time without new registrations after which all engines
	// that the operators have started are known.
	initialTime = 2500 * time.Millisecond
)

// OrdersPerRound returns the number of orders in a round that use half of the
// calls that the platform accepts per second.
func OrdersPerRound(callsPerSecond float64) int {
	return max(1, int(callsPerSecond*scaleInterval.Seconds()/2))
}

// Scaler orders engines while this daemon holds the lease.
type Scaler struct {
	Clock   clockwork.Clock
	Boot    boottime.Clock
	Logger  *slog.Logger
	Metrics *metric.Registry
	Tenure  *Tenure
	// Candidate reports whether this daemon may come to hold the lease.
	Candidate func() bool
	// Pools returns the pools, or nil if what is known of the engines is too old
	// to decide.
	Pools func() []ScalablePool
	// Load returns what all daemons ask of a pool, and how many daemons have
	// reported.
	Load func(pool table.Pool) (autoscale.Load, int)
	// MaxOrders bounds the orders of one round, so that they stay within the
	// calls that the platform accepts.
	MaxOrders int
	// Order sends an order.
	Order func(ctx context.Context, a Authority, o EngineOrder) error

	pools   map[table.Pool]*poolHistory
	orders  map[subject]placed
	blocked map[subject]time.Duration
	// fence is that of the lease under which orders and blocked were gathered.
	fence uint64
	// throttledUntil is the time before which no order is sent.
	throttledUntil time.Duration
}

// poolHistory holds the observations of a pool.
type poolHistory struct {
	load autoscale.History
	// initial is the number of engines that the operators have started, changedAt
	// when that was last seen to grow.
	initial   int
	changedAt time.Duration
	// needed is the number of engines that were needed last.
	needed int
}

// subject identifies the engines that an order concerns.
type subject struct {
	pool table.Pool
	zone string
	kind autoscale.Kind
}

// placed is the last order of a subject.
type placed struct {
	engines int
	at      time.Duration
}

// Run orders engines until ctx is cancelled.
func (s *Scaler) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(scaleInterval):
			s.step(ctx)
		}
	}
}

func (s *Scaler) step(ctx context.Context) {
	if !s.Candidate() {
		return
	}
	pools := s.Pools()
	for i := range pools {
		s.observe(&pools[i])
	}
	if len(pools) == 0 {
		return
	}
	a, ok := s.Tenure.Authority()
	if !ok {
		return
	}
	if s.fence != a.Fence {
		s.fence = a.Fence
		s.orders, s.blocked = map[subject]placed{}, map[subject]time.Duration{}
	}
	sent := 0
	for _, p := range pools {
		needed, load := s.needed(&p)
		if needed == 0 {
			continue
		}
		if sent += s.order(ctx, &p, load, needed, s.MaxOrders-sent); sent >= s.MaxOrders {
			return
		}
	}
}

// order sends the orders for a pool that are due, and returns their number. Spot
// engines are ordered first: where there are none, the plan is another one, and the
// on-demand engines that were ordered in their place go on booting.
func (s *Scaler) order(ctx context.Context, p *ScalablePool, load autoscale.Load, needed, most int) (sent int) {
	for _, kind := range []autoscale.Kind{autoscale.Spot, autoscale.OnDemand} {
		s.markBlocked(p)
		for _, target := range autoscale.Plan(p.Spec, p.Zones, needed) {
			if sent >= most || s.Boot.Now() < s.throttledUntil {
				return sent
			}
			if target.Kind == kind && s.mayOrder(p, target) && s.due(p, target) {
				sent++
				s.send(ctx, p, target, load, needed)
			}
		}
	}
	return sent
}

// markBlocked records in the zones of a pool which kinds were not available lately.
func (s *Scaler) markBlocked(p *ScalablePool) {
	for i := range p.Zones {
		for kind := range p.Zones[i].Blocked {
			key := subject{p.Name, p.Zones[i].Name, autoscale.Kind(kind)}
			p.Zones[i].Blocked[kind] = s.Boot.Now() < s.blocked[key]
		}
	}
}

// observe records the load of a pool, and how many engines were there before the
// load was known: the on-demand engines that the operators have started, or the
// spot engines that would remain without those of one zone.
func (s *Scaler) observe(p *ScalablePool) {
	if s.pools == nil {
		s.pools = map[table.Pool]*poolHistory{}
	}
	h := s.pools[p.Name]
	if h == nil {
		h = &poolHistory{}
		s.pools[p.Name] = h
	}
	onDemand, spot := 0, 0
	for _, z := range p.Zones {
		onDemand += z.Ready[autoscale.OnDemand]
		spot += z.Ready[autoscale.Spot]
	}
	if present := max(onDemand, spot-spot/max(1, len(p.Zones))); present > h.initial {
		h.initial, h.changedAt = present, s.Boot.Now()
	}
	if load, daemons := s.Load(p.Name); daemons > 0 && load != (autoscale.Load{}) {
		h.load.Add(s.Boot.Now(), load.Need(p.Slots))
	}
}

// needed returns how many engines of a pool to have ready, and its load; zero if
// that is unknown. Until the load has been observed for some time, it is as many
// as the operators have started. It is lowered only if that is worth an order.
func (s *Scaler) needed(p *ScalablePool) (int, autoscale.Load) {
	h := s.pools[p.Name]
	load, _ := s.Load(p.Name)
	needed, ok := h.load.Engines(p.Spec.Boot)
	if !ok {
		needed = h.initial
	}
	if needed > h.needed || float64(needed) < lowerShare*float64(h.needed) {
		h.needed = needed
	}
	return h.needed, load
}

// mayOrder reports whether enough is known for an order. Before the load is known,
// engines may still register, and since an order is an absolute number, one that
// leaves them out would end them.
func (s *Scaler) mayOrder(p *ScalablePool, t autoscale.Target) bool {
	h := s.pools[p.Name]
	if _, ok := h.load.Engines(p.Spec.Boot); ok {
		return true
	}
	if t.Kind == autoscale.Spot {
		return t.Engines >= p.ready(t)
	}
	return s.Boot.Now()-h.changedAt >= initialTime
}

// ready returns how many engines of a target's zone and kind are ready.
func (p *ScalablePool) ready(t autoscale.Target) int {
	for _, z := range p.Zones {
		if z.Name == t.Zone {
			return z.Ready[t.Kind]
		}
	}
	return 0
}

// due reports whether an order has to be sent: the target differs from the last
// order, or the engines have not followed it.
func (s *Scaler) due(p *ScalablePool, t autoscale.Target) bool {
	ready := p.ready(t)
	last, ok := s.orders[subject{p.Name, t.Zone, t.Kind}]
	if !ok {
		return ready != t.Engines
	}
	if last.engines != t.Engines {
		return true
	}
	return ready != t.Engines && s.Boot.Now()-last.at > settleBoots*p.Spec.Boot
}

func (s *Scaler) send(ctx context.Context, p *ScalablePool, t autoscale.Target, load autoscale.Load, needed int) {
	a, ok := s.Tenure.Authority()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := subject{p.Name, t.Zone, t.Kind}
	err := s.Order(ctx, a, EngineOrder{Pool: p.Name, Target: t})
	s.orders[key] = placed{t.Engines, s.Boot.Now()}
	s.Logger.Info("engines ordered", "pool", p.Name, "zone", t.Zone, "kind", t.Kind.String(), "engines", t.Engines, "needed", needed,
		"prefill", load.Prefill, "running", load.Running, "waiting", load.Waiting, "fence", a.Fence, "error", err)
	switch {
	case err == nil:
		s.Metrics.Inc("scaling.ordered")
	case errors.Is(err, ErrConflict):
		// Either there are no such engines now, or the lease is lost, which the
		// next renewal shows.
		s.Metrics.Inc("scaling.unavailable")
		s.blocked[key] = s.Boot.Now() + unavailableTime
		delete(s.orders, key)
	case errors.Is(err, ErrThrottled):
		s.Metrics.Inc("scaling.throttled")
		s.throttledUntil = s.Boot.Now() + throttleTime
		delete(s.orders, key)
	default:
		s.Metrics.Inc("scaling.failed")
	}
}
