package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against coordinators that send every entry daemon the pressure of calm
// cells again and again: with many cells, each daemon would get a message from each
// coordinator twice a second.
func TestCalmCellsPublishNoPressure(t *testing.T) {
	c := newTakeover()
	tbl := &table.Table{Classes: []table.Class{{Name: "c", Weight: 1, Pools: []table.Pool{"m"}}}}
	for i := range 2 * DefaultSize {
		tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: table.EndpointName(fmt.Sprint("e-", i)), Pool: "m", Region: "r", Concurrency: 4})
	}
	tbl.BuildIndex()
	c.Configure(tbl)
	var received []*peerv1.Pressure
	s := c.Attach(&peerv1.Hello{Host: "host-03", Incarnation: 1}, func(r *peerv1.ReservationsResponse) {
		received = append(received, r.GetPressures()...)
	})
	reserve := func(from, to int) {
		batch := &peerv1.ReservationsRequest{}
		for i := from; i < to; i++ {
			batch.Reserves = append(batch.Reserves, &peerv1.Reserve{Sequence: uint64(i + 1), Cell: "m@r/0", Class: "c"})
		}
		s.Handle(batch)
	}
	permille := func() uint32 { return received[len(received)-1].GetTiers()[0].GetPermille() }

	reserve(0, 1)
	c.run(10 * time.Second)
	if len(received) > 0 {
		t.Fatalf("a calm cell published %v", received)
	}
	reserve(1, DefaultSize)
	c.run(2 * pressureInterval)
	if len(received) == 0 || permille() < pressureStep {
		t.Fatalf("published %v, want the load of the first cell", received)
	}
	n := len(received)
	c.run(2 * pressureRefresh)
	if len(received) == n {
		t.Error("the load was not published again before entry daemons forget it")
	}
	for i := range DefaultSize {
		s.Handle(&peerv1.ReservationsRequest{Releases: []*peerv1.Release{{Sequence: uint64(i + 1), Cell: "m@r/0"}}})
	}
	c.run(2 * pressureInterval)
	if permille() != 0 {
		t.Errorf("the last published pressure is %d, want zero", permille())
	}
}
