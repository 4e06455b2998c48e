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

// orphanSite is a coordinator with an entry daemon beside it.
type orphanSite struct {
	*Coordinator
	clock *clockwork.FakeClock
	entry membership.Host
	// resp has the last answer to the entry daemon.
	resp *peerv1.ReservationsResponse
}

func newOrphanSite() *orphanSite {
	clock := clockwork.NewFakeClock()
	tbl := &table.Table{Classes: []table.Class{{Name: "c", Weight: 1, Pools: []table.Pool{"model"}}}}
	tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: "e", Kind: table.KindEngine, Pool: "model", Region: "r", Concurrency: 1, MemoryTokens: 1000})
	tbl.BuildIndex()
	s := &orphanSite{Coordinator: NewCoordinator(clock, "host", DefaultSize, settings.PolicyCells), clock: clock}
	s.entry = membership.Host{ID: "entry", Incarnation: 7, State: membership.Ready, Region: "r"}
	s.Configure(tbl)
	s.Tick(membership.NewSnapshot([]membership.Host{s.selfHost()}), nil)
	clock.Advance(time.Second)
	return s
}

func (s *orphanSite) selfHost() membership.Host {
	return membership.Host{ID: "host", Incarnation: 1, State: membership.Ready, Region: "r"}
}

func (s *orphanSite) attach(incarnation uint64) *Session {
	return s.Attach(&peerv1.Hello{Host: "entry", Incarnation: incarnation}, func(r *peerv1.ReservationsResponse) { s.resp = r })
}

func reserve(batch, sequence uint64) *peerv1.ReservationsRequest {
	return &peerv1.ReservationsRequest{Batch: batch, Reserves: []*peerv1.Reserve{{Sequence: sequence, Cell: orphanCell, Class: "c"}}}
}

func (s *orphanSite) running() int { return s.Status().Cells[0].Running }

// A coordinator is paused while an entry daemon reserves a place and ends. It
// wakes, hears that the daemon is gone, and then reads the batch that lay in
// its socket. Callers of all daemons then wait for ever: the place is taken by
// nobody.
func TestBatchAfterItsDaemonsEndTakesNoPlace(t *testing.T) {
	s := newOrphanSite()
	session := s.attach(7)
	s.DropHost("entry", 7)
	if session.Handle(reserve(1, 1)); s.running() != 0 {
		t.Fatal("a daemon that is gone holds a place")
	}
	if !s.resp.GetReset_() || s.resp.GetAcked() != 1 {
		t.Errorf("the daemon is not asked to report again, if it lives: %v", s.resp)
	}
	session.Handle(&peerv1.ReservationsRequest{Batch: 2, HoldingsComplete: true, Reserves: reserve(0, 1).Reserves})
	if s.running() != 1 {
		t.Error("a daemon that reports again gets no place")
	}
}

// The same, but the batch opens a new session, so that nothing tells it from
// one of a daemon that lives. The place comes free within seconds all the same.
func TestOrphansAreDropped(t *testing.T) {
	tests := []struct {
		name  string
		alive uint64
		// silent is how long nothing comes from the daemon.
		silent time.Duration
		want   int
	}{
		{"the daemon has started again", 8, time.Second, 0},
		{"the daemon is gone and silent", 0, orphanSilence, 0},
		{"the view has lost the daemon, which still sends", 0, time.Second, 1},
		{"the daemon lives and is silent", 7, time.Minute, 1},
		{"the view has not heard of the new start yet", 6, time.Minute, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newOrphanSite()
			s.DropHost("entry", 7)
			s.attach(7).Handle(&peerv1.ReservationsRequest{Batch: 1, HoldingsComplete: true, Reserves: reserve(0, 1).Reserves})
			if s.running() != 1 {
				t.Fatal("not granted")
			}
			s.clock.Advance(tt.silent)
			alive := []membership.Host{s.selfHost()}
			if tt.alive > 0 {
				s.entry.Incarnation = tt.alive
				alive = append(alive, s.entry)
			}
			dropped := s.Sweep(func() *membership.Snapshot { return membership.NewSnapshot(alive) })
			if s.running() != tt.want || dropped != 1-tt.want {
				t.Errorf("%d places are taken, %d were dropped, want %d taken", s.running(), dropped, tt.want)
			}
			if again := s.Sweep(func() *membership.Snapshot { return membership.NewSnapshot(alive) }); again != 0 {
				t.Error("swept again at once")
			}
		})
	}
}
