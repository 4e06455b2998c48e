package cell

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

const orphanCell = "model@r/0"

// orphanFixture is a coordinator of one cell and an entry daemon that sends
// batches to it.
type orphanFixture struct {
	*Coordinator
	clock *clockwork.FakeClock
	entry membership.Host
	// resp is the last response to the entry daemon.
	resp *peerv1.ReservationsResponse
}

func newOrphanFixture() *orphanFixture {
	clock := clockwork.NewFakeClock()
	tbl := &table.Table{Classes: []table.Class{{Name: "c", Weight: 1, Pools: []table.Pool{"model"}}}}
	tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: "e", Kind: table.KindEngine, Pool: "model", Region: "r", Concurrency: 1, MemoryTokens: 1000})
	tbl.BuildIndex()
	s := &orphanFixture{Coordinator: NewCoordinator(clock, "host", DefaultSize, settings.PolicyCells), clock: clock}
	s.entry = membership.Host{ID: "entry", Incarnation: 7, State: membership.Ready, Region: "r"}
	s.Configure(tbl)
	s.Tick(membership.NewSnapshot([]membership.Host{s.selfHost()}), nil)
	clock.Advance(time.Second)
	return s
}

func (s *orphanFixture) selfHost() membership.Host {
	return membership.Host{ID: "host", Incarnation: 1, State: membership.Ready, Region: "r"}
}

func (s *orphanFixture) attach(incarnation uint64) *Session {
	return s.Attach(&peerv1.Hello{Host: "entry", Incarnation: incarnation}, func(r *peerv1.ReservationsResponse) { s.resp = r })
}

func reserve(batch, sequence uint64) *peerv1.ReservationsRequest {
	return &peerv1.ReservationsRequest{Batch: batch, Reserves: []*peerv1.Reserve{{Sequence: sequence, Cell: orphanCell, Class: "c"}}}
}

func (s *orphanFixture) running() int { return s.Status().Cells[0].Running }

// A coordinator is paused while an entry daemon reserves a slot and terminates.
// After the pause it learns that the daemon is gone, and only then reads the
// batch from its socket. It must not grant the slot: nobody would release it,
// and the callers of all daemons would wait for it forever.
func TestBatchAfterItsDaemonsEndTakesNoPlace(t *testing.T) {
	s := newOrphanFixture()
	session := s.attach(7)
	s.DropHost("entry", 7)
	if session.Handle(reserve(1, 1)); s.running() != 0 {
		t.Fatal("a terminated daemon holds a slot")
	}
	if !s.resp.GetReset_() || s.resp.GetAcked() != 1 {
		t.Errorf("response does not ask the daemon to report again: %v", s.resp)
	}
	session.Handle(&peerv1.ReservationsRequest{Batch: 2, HoldingsComplete: true, Reserves: reserve(0, 1).Reserves})
	if s.running() != 1 {
		t.Error("a daemon that reports again gets no slot")
	}
}

// As above, but the batch opens a new session, so it can't be told apart from a
// batch of a running daemon. DropOrphans must free the slot of a terminated
// daemon within seconds, and keep that of a daemon that may still be running.
func TestOrphansAreDropped(t *testing.T) {
	tests := []struct {
		name  string
		alive uint64
		// silent is how long the daemon sends nothing.
		silent time.Duration
		want   int
	}{
		{"the daemon has restarted", 8, time.Second, 0},
		{"the daemon is gone and silent", 0, orphanTimeout, 0},
		{"the daemon is missing from the view but still sends", 0, time.Second, 1},
		{"the daemon is alive and silent", 7, time.Minute, 1},
		{"the view still has the previous incarnation", 6, time.Minute, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newOrphanFixture()
			s.DropHost("entry", 7)
			s.attach(7).Handle(&peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true, Reserves: reserve(0, 1).Reserves})
			if s.running() != 1 {
				t.Fatal("the reservation was not granted")
			}
			s.clock.Advance(tt.silent)
			alive := []membership.Host{s.selfHost()}
			if tt.alive > 0 {
				s.entry.Incarnation = tt.alive
				alive = append(alive, s.entry)
			}
			dropped := s.DropOrphans(func() *membership.Snapshot { return membership.NewSnapshot(alive) })
			if s.running() != tt.want || dropped != 1-tt.want {
				t.Errorf("%d slots in use and %d incarnations dropped, want %d in use", s.running(), dropped, tt.want)
			}
			if again := s.DropOrphans(func() *membership.Snapshot { return membership.NewSnapshot(alive) }); again != 0 {
				t.Error("second sweep ran before sweepInterval had passed")
			}
		})
	}
}
