package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	takeoverHosts = 60
	takeoverTick  = 25 * time.Millisecond
)

// takeover is a new coordinator in a fleet where only some hosts report.
type takeover struct {
	*Coordinator
	clock *clockwork.FakeClock
	hosts *membership.Snapshot
	// granted maps the sequence number of each request to the time at which it
	// was granted a slot.
	granted map[uint64]time.Duration
	began   time.Time
}

func newTakeover() *takeover {
	clock := clockwork.NewFakeClock()
	c := &takeover{
		Coordinator: NewCoordinator(clock, "host-00", DefaultSize, settings.PolicyCells),
		clock:       clock, granted: map[uint64]time.Duration{}, began: clock.Now(),
	}
	// The coordinator is the only host of high capacity, so it coordinates every
	// cell.
	hosts := []membership.Host{{ID: "host-00", Incarnation: 1, State: membership.Ready, Region: "r", Capacity: 100}}
	for i := 1; i < takeoverHosts; i++ {
		hosts = append(hosts, membership.Host{ID: membership.HostID(fmt.Sprintf("host-%02d", i)), Incarnation: 1, State: membership.Ready, Region: "r", Capacity: 1})
	}
	c.hosts = membership.NewSnapshot(hosts)
	return c
}

func takeoverTable(pools ...table.Pool) *table.Table {
	tbl := &table.Table{Classes: []table.Class{{Name: "c", Weight: 1, Pools: pools}}}
	for _, pool := range pools {
		tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: table.EndpointName("e-" + pool), Kind: table.KindService, Pool: pool, Region: "r", Concurrency: 4})
	}
	tbl.BuildIndex()
	return tbl
}

func (c *takeover) run(d time.Duration) {
	for range d / takeoverTick {
		c.clock.Advance(takeoverTick)
		c.Tick(c.hosts, nil)
	}
}

func (c *takeover) attach(host string) *Session {
	return c.Attach(&peerv1.Hello{Host: host, Incarnation: 1}, func(r *peerv1.ReservationsResponse) {
		for _, g := range r.GetGrants() {
			c.granted[g.GetSequence()] = c.clock.Since(c.began)
		}
	})
}

func (c *takeover) reserve(host string, sequence uint64, pool table.Pool) {
	c.attach(host).Handle(&peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true, Reserves: []*peerv1.Reserve{
		{Sequence: sequence, Cell: fmt.Sprintf("%s@r/0", pool), Class: "c"},
	}})
}

func (c *takeover) report(host string, sequence uint64, pool table.Pool) {
	c.attach(host).Handle(&peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true, Holdings: []*peerv1.Holding{
		{Sequence: sequence, Cell: fmt.Sprintf("%s@r/0", pool), Class: "c", Endpoint: string("e-" + pool)},
	}})
}

// The endpoints of a pool are registered after the hosts are known. The first
// requests to the pool must not wait for reports, as no host has grants there.
func TestPoolAddedLaterIsServedAtOnce(t *testing.T) {
	c := newTakeover()
	c.Configure(takeoverTable("early"))
	c.run(time.Second)
	c.Configure(takeoverTable("early", "late"))
	c.run(time.Second)
	asked := c.clock.Since(c.began)
	c.reserve("host-07", 1, "late")
	if at, ok := c.granted[1]; !ok || at > asked {
		t.Errorf("reserved at %v, granted at %v (granted: %v), want granted at once", asked, at, ok)
	}
}

// In a large fleet, hosts without grants do not report. A new coordinator must
// not wait for them until recoveryTimeout.
func TestRecoveryEndsAfterLastReport(t *testing.T) {
	c := newTakeover()
	c.Configure(takeoverTable("pool"))
	c.run(takeoverTick)
	c.report("host-03", 3, "pool")
	c.reserve("host-07", 7, "pool")
	c.run(recoveryTimeout)
	if at, ok := c.granted[7]; !ok || at > recoveryTimeout/2 {
		t.Errorf("granted at %v (granted: %v), although the last report arrived at %v", at, ok, takeoverTick)
	}
}

// A new coordinator must not grant while reports still arrive: it could grant
// slots that are in use.
func TestRecoveryWaitsWhileReportsArrive(t *testing.T) {
	c := newTakeover()
	c.Configure(takeoverTable("pool"))
	c.run(takeoverTick)
	c.reserve("host-07", 7, "pool")
	for i := range 3 {
		c.run(3 * takeoverTick)
		c.report(fmt.Sprintf("host-%02d", 10+i), uint64(10+i), "pool")
	}
	last := c.clock.Since(c.began)
	c.run(recoveryTimeout)
	if at := c.granted[7]; at < last {
		t.Errorf("granted at %v, although a report arrived at %v", at, last)
	}
}

// Guards against daemons that start together and each grant the slots of the same
// endpoints before they hear that the others are ready.
func TestCoordinatorsWaitWhileTheFleetStarts(t *testing.T) {
	alone := membership.NewSnapshot([]membership.Host{{ID: "host-00", Incarnation: 1, State: membership.Ready, Region: "r", Capacity: 1}})
	for _, tt := range []struct {
		name     string
		starting int
		// first is the capacity of another host that is ready after a while; zero if
		// there is none.
		first uint32
		want  time.Duration
	}{
		{"no other host starts", 0, 0, takeoverTick},
		{"the others stay as they are", 4, 0, takeoverTick + recoveryTimeout},
		{"another host turns out to be first", 4, 100, takeoverTick + recoveryTimeout},
		{"this host turns out to be first", 4, 1, 6 * takeoverTick},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTakeover()
			all := c.hosts
			if tt.first == 100 {
				all = membership.NewSnapshot([]membership.Host{alone.All()[0], {ID: "host-01", Incarnation: 1, State: membership.Ready, Region: "r", Capacity: 100}})
			}
			c.hosts = alone
			c.SetStarting(tt.starting)
			c.Configure(takeoverTable("pool"))
			c.run(takeoverTick)
			c.attach("host-00").Handle(&peerv1.ReservationsRequest{
				Batch: 1, HoldingsComplete: true, Reported: []string{"pool@r/0"},
				Reserves: []*peerv1.Reserve{{Sequence: 7, Cell: "pool@r/0", Class: "c"}},
			})
			c.run(4 * takeoverTick)
			if tt.first > 0 {
				c.SetStarting(0)
				c.hosts = all
			}
			c.run(recoveryTimeout)
			if at, ok := c.granted[7]; !ok || at != tt.want {
				t.Errorf("granted at %v (granted: %v), want %v", at, ok, tt.want)
			}
		})
	}
}
