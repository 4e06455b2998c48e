package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/duty"
	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/httpresponse"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/truetime"
	"github.com/beechhead/beechhead/internal/usage"
	"github.com/beechhead/beechhead/pkg/table"

	wire "github.com/beechhead/beechhead/platform"
)

// duties are the calls to the platform that one daemon at a time makes.
type duties struct {
	tenure   *duty.Tenure
	exchange *duty.Exchange
	// reporter and scaler are nil if the platform does not ask for them.
	reporter *duty.Reporter
	scaler   *duty.Scaler
}

// Values for platforms that state none. Without a window, usage is counted but not
// reported.
const (
	defaultLeaseDuration = 3 * time.Second
	defaultUsageWindow   = 5 * time.Second
)

// buildDuties creates the components for the duties, if there are any.
func (g *Gateway) buildDuties() {
	conf := g.conf().Gateway.Duties
	if conf == nil || len(conf.Names) == 0 {
		return
	}
	self := func() membership.HostID { return g.view.Self().ID }
	clock := truetime.NewClock(g.boot, time.Now)
	window := cmp.Or(conf.UsageWindow.Std(), defaultUsageWindow)
	ledger, totals := usage.NewLedger(window), autoscale.NewTotals()
	holder := lease.NewHolder(g.clock, g.store, g.metrics)
	holder.Boot, holder.Terms = g.boot, duty.Terms(cmp.Or(conf.LeaseDuration.Std(), defaultLeaseDuration))
	renewer := lease.NewRenewer(holder, duty.LeaseName)
	d := &duties{}
	d.tenure = &duty.Tenure{
		Clock: g.clock, Boot: g.boot, Logger: g.logger, Metrics: g.metrics,
		Self: self, Hosts: g.view.Active, Renewer: renewer, ChecksFence: conf.ChecksFence,
		WhileHeld: func(context.Context) {},
	}
	d.exchange = &duty.Exchange{
		Clock: g.clock, Boot: g.boot, Time: clock,
		Self: g.view.Self, Hosts: g.view.Active,
		Counter: usage.NewCounter(window, clock.Now), Ledger: ledger,
		Demand: autoscale.NewMeter(), Totals: totals, Tenure: d.tenure,
		Send:   g.sendDutyReport,
		Length: window,
	}
	api := wire.DutyAPI(conf.URL, &http.Client{Transport: httpresponse.Transport{Next: endpoint.NewTransport()}})
	if slices.Contains(conf.Names, wire.DutyUsage) && conf.UsageWindow > 0 {
		d.reporter = g.newReporter(d.tenure, conf, clock, ledger, renewer, api)
		d.tenure.WhileHeld = d.reporter.Step
	}
	if slices.Contains(conf.Names, wire.DutyScaling) {
		d.scaler = &duty.Scaler{
			Clock: g.clock, Boot: g.boot, Logger: g.logger, Metrics: g.metrics, Tenure: d.tenure,
			Candidate: d.tenure.Eligible, Pools: g.scalablePools,
			MaxOrders: duty.OrdersPerRound(conf.CallsPerSecond),
			Load:      func(pool table.Pool) (autoscale.Load, int) { return totals.Load(pool, g.boot.Now()) },
			Order:     api.OrderEngines,
		}
	}
	g.duties = d
}

func (g *Gateway) newReporter(tenure *duty.Tenure, conf *settings.Duties, clock *truetime.Clock, ledger *usage.Ledger, renewer *lease.Renewer, api duty.API) *duty.Reporter {
	return &duty.Reporter{
		Clock: g.clock, Logger: g.logger, Metrics: g.metrics, Tenure: tenure, Ledger: ledger, Now: clock.Now,
		Sources: g.usageSources,
		Read: func(ctx context.Context) ([]platform.FeedRow, error) {
			rows, err := g.store.Snapshot(ctx, duty.TableUsage)
			return rows.Rows, err
		},
		Fix:    renewer.Renew,
		Send:   api.ReportUsage,
		Length: conf.UsageWindow.Std(),
		Due:    conf.UsageDue.Std(),
	}
}

// sendDutyReport sends a datagram to other daemons.
func (g *Gateway) sendDutyReport(addresses []string, r *peerv1.DutyReport) {
	if g.beacons != nil && len(addresses) > 0 {
		_ = g.sendBeacon(addresses, &peerv1.Beacon{Duty: r})
	}
}

// onDatagram handles a datagram of another daemon.
func (g *Gateway) onDatagram(b *peerv1.Beacon) {
	switch {
	case b.GetStream() != nil:
		g.streams.Receive(b.GetStream())
	case b.GetDuty() == nil:
		g.sync.OnBeacon(b)
	case g.duties != nil:
		g.duties.exchange.Receive(b.GetDuty())
	}
}

// run starts the goroutines of the duties.
func (d *duties) run(ctx context.Context, grp *errgroup.Group) {
	if d == nil {
		return
	}
	grp.Go(func() error { d.exchange.Run(ctx); return nil })
	grp.Go(func() error { d.tenure.Run(ctx); return nil })
	if d.reporter != nil {
		grp.Go(func() error { d.reporter.Run(ctx); return nil })
	}
	if d.scaler != nil {
		grp.Go(func() error { d.scaler.Run(ctx); return nil })
	}
}

// usageSources returns the daemons whose counts are expected.
func (g *Gateway) usageSources() (all []usage.Source) {
	for _, h := range g.view.Hosts().All() {
		all = append(all, usage.Source{Host: string(h.ID), Incarnation: h.Incarnation})
	}
	return all
}

// maxScalingAge is the age of the list of endpoints up to which engines are ordered
// by it.
const maxScalingAge = 2 * time.Second

// scalablePools returns the pools whose engines can be ordered, or nil if what is
// known of the engines is too old.
func (g *Gateway) scalablePools() (pools []duty.ScalablePool) {
	c := g.holder.Catalog()
	age, ok := g.holder.EndpointsAge()
	if c == nil || !ok || age > maxScalingAge {
		return nil
	}
	var known []facts.Endpoint
	for i := range c.Pools {
		p := &c.Pools[i]
		if p.Scaling == nil {
			continue
		}
		if known == nil {
			known = g.holder.Endpoints()
		}
		pools = append(pools, duty.ScalablePool{Name: p.Name, Slots: p.Slots, Spec: p.Scaling, Zones: scalingZones(p.Scaling, p.Name, known)})
	}
	return pools
}

// scalingZones returns the state of a pool in the zones in which it can be scaled.
func scalingZones(spec *autoscale.Spec, pool table.Pool, known []facts.Endpoint) (zones []autoscale.Zone) {
	index := map[string]int{}
	for name := range spec.ZonePrices {
		index[name] = len(zones)
		zones = append(zones, autoscale.Zone{Name: name})
	}
	for _, e := range known {
		i, ok := index[e.Zone]
		if !ok || e.Pool != pool || e.Draining {
			continue
		}
		kind := autoscale.OnDemand
		if e.Spot {
			kind = autoscale.Spot
		}
		zones[i].Ready[kind]++
	}
	return zones
}

// reserve reserves a slot and measures the demand of its pool.
func (g *Gateway) reserve(ctx context.Context, r placement.Request) (*placement.Grant, error) {
	if g.duties == nil {
		return g.placer.Reserve(ctx, r)
	}
	demand := g.duties.exchange.Demand
	demand.Wait(r.Pool)
	grant, err := g.placer.Reserve(ctx, r)
	demand.EndWait(r.Pool)
	if err != nil {
		return nil, err
	}
	demand.Begin(r.Pool, grant.Choice.PrefillTime)
	grant.OnRelease = func() { demand.End(r.Pool) }
	return grant, nil
}

// countBegun counts a request that an endpoint has begun to run.
func (g *Gateway) countBegun(account table.AccountName) {
	if g.duties != nil && account != "" {
		g.duties.exchange.Counter.Add(account)
	}
}
