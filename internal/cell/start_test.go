package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

const startCell = "pool@r/0"

// newStarter returns the coordinator host-00 of a pool of four slots, which has just got
// its first table and knows no host yet.
func newStarter() *takeover {
	c := newTakeover()
	c.Configure(takeoverTable("pool"))
	return c
}

// meet makes the coordinator know that the hosts are ready, with the given capacities,
// and that some others start.
func (c *takeover) meet(starting int, capacities ...uint32) {
	var hosts []membership.Host
	for i, capacity := range capacities {
		hosts = append(hosts, membership.Host{ID: membership.HostID(fmt.Sprintf("host-%02d", i)), Incarnation: 1, State: membership.Ready, Region: "r", Capacity: capacity})
	}
	c.hosts = membership.NewSnapshot(hosts)
	c.SetStarting(starting)
}

// reportAndReserve reports a host's state, which is one waiting request, or none if the
// sequence is zero.
func (c *takeover) reportAndReserve(host string, sequence uint64) {
	batch := &peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true, Reported: []string{startCell}}
	if sequence > 0 {
		batch.Reserves = []*peerv1.Reserve{{Sequence: sequence, Cell: startCell, Class: "c"}}
	}
	c.attach(host).Handle(batch)
}

// Guards against a coordinator that takes the fleet for ready because it had met one host,
// or none, when its first request came: it grants slots that others grant as well.
func TestCoordinatorLearnsThatTheFleetStarts(t *testing.T) {
	c := newStarter()
	c.reportAndReserve("host-00", 7)
	c.meet(2, 1, 1)
	c.run(4 * takeoverTick)
	c.reportAndReserve("host-01", 0)
	c.run(2 * takeoverTick)
	if at, ok := c.granted[7]; ok {
		t.Errorf("granted at %v, while two of four hosts start", at)
	}
	c.meet(0, 1, 1, 100, 1)
	c.run(2 * takeoverTick)
	if at, ok := c.granted[7]; ok {
		t.Errorf("granted at %v, while another host coordinates the cell", at)
	}
	c.meet(0, 2, 1, 1, 1)
	c.run(recoveryTimeout)
	if _, ok := c.granted[7]; !ok {
		t.Error("not granted by the host that ranks first")
	}
}

// Guards against a coordinator that grants before any other host has heard that it is
// ready, so that another one grants the same slots meanwhile.
func TestCoordinatorWaitsUntilAnotherHostKnowsIt(t *testing.T) {
	for _, tt := range []struct{ reports, want time.Duration }{
		{8 * takeoverTick, 8 * takeoverTick},
		{0, recoveryTimeout},
	} {
		c := newStarter()
		c.meet(0, 100, 1)
		c.reportAndReserve("host-00", 7)
		if tt.reports > 0 {
			c.run(tt.reports)
			c.reportAndReserve("host-01", 0)
		}
		c.run(recoveryTimeout)
		if at, ok := c.granted[7]; !ok || at != tt.want {
			t.Errorf("another host reports at %v: granted at %v (granted: %v), want %v", tt.reports, at, ok, tt.want)
		}
	}
}

// Guards against slots that are granted twice while a cell moves to a host that has become
// ready a moment later: grants move there with the requests that run, and the slots that
// this frees must not go to a host that has not heard of the move.
func TestMovedSlotsAreNotGrantedAgain(t *testing.T) {
	c := newStarter()
	c.meet(0, 1)
	c.run(takeoverTick)
	c.reportAndReserve("host-00", 1)
	holder := c.attach("host-01")
	holder.Handle(&peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true, Reserves: []*peerv1.Reserve{
		{Sequence: 2, Cell: startCell, Class: "c"}, {Sequence: 3, Cell: startCell, Class: "c"}, {Sequence: 4, Cell: startCell, Class: "c"},
	}})
	if len(c.granted) != 4 {
		t.Fatalf("%d of 4 slots granted", len(c.granted))
	}
	c.reserve("host-02", 5, "pool")
	c.meet(0, 1, 1, 1, 100)
	c.run(takeoverTick)
	holder.Handle(&peerv1.ReservationsRequest{
		Batch: 2, Cancels: []uint64{2},
		Releases: []*peerv1.Release{{Sequence: 2, Cell: startCell, Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}},
	})
	c.run(4 * takeoverTick)
	if at, ok := c.granted[5]; ok {
		t.Errorf("a slot that moved to host-03 was granted again at %v", at)
	}
	c.run(recoveryTimeout)
	if _, ok := c.granted[5]; !ok {
		t.Error("not granted after the start to a host that can't reach host-03")
	}
}

// Guards against a daemon that joins a fleet that serves and makes requests wait for
// longer than until the others have reported, or are silent, or can't be reached.
func TestJoiningCoordinatorGrantsAtOnce(t *testing.T) {
	const fleet = 20
	capacities := append([]uint32{100}, make([]uint32, fleet-1)...)
	for _, tt := range []struct {
		name string
		// reporting is the number of other hosts that report, one after the other from
		// the first tick on, four in each.
		reporting int
		want      time.Duration
	}{
		{"all report", fleet - 1, 5 * takeoverTick},
		{"one host is silent", fleet - 2, 9 * takeoverTick},
		{"one host reports", 1, 5 * takeoverTick},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newStarter()
			c.meet(0, capacities...)
			c.reportAndReserve("host-00", 7)
			for i := range tt.reporting {
				if i%4 == 0 {
					c.run(takeoverTick)
				}
				c.reportAndReserve(fmt.Sprintf("host-%02d", 1+i), 0)
			}
			c.run(recoveryTimeout)
			if at, ok := c.granted[7]; !ok || at != tt.want {
				t.Errorf("granted at %v (granted: %v), want %v", at, ok, tt.want)
			}
		})
	}
}

// Guards against a daemon whose own requests wait for the coordinator that has just
// become unreachable, after it has taken the cell over.
func TestStartingDaemonServesInPlaceOfASuspect(t *testing.T) {
	c := newStarter()
	c.meet(0, 1, 100)
	c.reportAndReserve("host-00", 7)
	suspects := map[membership.HostID]bool{"host-01": true}
	c.clock.Advance(takeoverTick)
	c.Tick(c.hosts, suspects)
	if at, ok := c.granted[7]; !ok || at != takeoverTick {
		t.Errorf("granted at %v (granted: %v), want %v", at, ok, takeoverTick)
	}
}
