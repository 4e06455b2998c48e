package cell_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// fuzzTable returns a table with one class and one engine of concurrency 2.
func fuzzTable() *table.Table {
	return &table.Table{
		Classes:   []table.Class{{Name: "a", Weight: 1, Pools: []table.Pool{"m"}, MaxWait: table.Duration(time.Second), Idempotent: true}},
		Endpoints: []table.Endpoint{{Name: "e", Kind: table.KindEngine, Pool: "m", URL: "http://127.0.0.1:1", Concurrency: 2}},
	}
}

// FuzzCoordinator checks that no batch from a peer crashes a coordinator, and
// that the coordinator still grants a slot to another peer after the first peer
// and its grants have been dropped.
func FuzzCoordinator(f *testing.F) {
	add := func(m *peerv1.ReservationsRequest) {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	reserve := &peerv1.Reserve{Sequence: 1, Cell: string(cell.NewPlan(fuzzTable(), 8).Cells("m")[0]), Class: "a", Account: "x"}
	add(&peerv1.ReservationsRequest{Reserves: []*peerv1.Reserve{reserve, reserve, {}}})
	add(&peerv1.ReservationsRequest{Releases: []*peerv1.Release{{Sequence: 7, Cell: reserve.GetCell()}}, Cancels: []uint64{1, 1}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var req peerv1.ReservationsRequest
		if proto.Unmarshal(data, &req) != nil {
			return
		}
		clock := clockwork.NewFakeClock()
		c := cell.NewCoordinator(clock, "host-1", 8, settings.PolicyCells)
		c.Configure(fuzzTable())
		hosts := membership.NewSnapshot([]membership.Host{{ID: "host-1", State: membership.Ready}})
		c.Tick(hosts, nil)
		hostile := c.Attach(&peerv1.Hello{Host: "host-2", Incarnation: 2}, func(*peerv1.ReservationsResponse) {})
		hostile.Handle(&req)
		// End the recovery, in which a new coordinator waits for reports.
		clock.Advance(time.Minute)
		c.Tick(hosts, nil)
		hostile.Handle(&req)
		c.Tick(hosts, nil)
		hostile.Close()
		c.DropHost("host-2", 2)
		granted := 0
		honest := c.Attach(&peerv1.Hello{Host: "host-1", Incarnation: 1}, func(r *peerv1.ReservationsResponse) { granted += len(r.GetGrants()) })
		honest.Handle(&peerv1.ReservationsRequest{Reserves: []*peerv1.Reserve{proto.CloneOf(reserve)}})
		clock.Advance(time.Minute)
		c.Tick(hosts, nil)
		if granted != 1 {
			t.Fatalf("got %d grants, want 1, after batch %v", granted, &req)
		}
	})
}
