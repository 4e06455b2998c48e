package factsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// maxUpdatesPerHost bounds the updates of one other host that a daemon's heartbeats
// carry while a fleet starts. Its links to partners each carry the states starting
// and ready once in either direction.
const maxUpdatesPerHost = 2 * 2 * membership.Rings

// hostUpdatesTotal returns how many updates of hosts all heartbeats have carried.
func (s *simSite) hostUpdatesTotal() (n int64) {
	for i := range s.daemons {
		n += s.daemon(i).hostUpdates.Load()
	}
	return n
}

// Guards against heartbeats that repeat what their receiver knows: while a fleet
// starts, every host changes, and each repetition costs hosts times hosts.
func TestHostUpdatesAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, fleetHosts)
		s.zones = 6
		startFleet(s)
		time.Sleep(2 * stableTime)
		for i := range s.daemons {
			if n := s.daemon(i).view.Ready().Len(); n != fleetHosts {
				t.Errorf("host %d knows %d of %d hosts", i, n, fleetHosts)
			}
		}
		carried := s.hostUpdatesTotal()
		if n := float64(carried) / (fleetHosts * fleetHosts); n > maxUpdatesPerHost {
			t.Errorf("%.1f updates of each host at each other one, want at most %d", n, maxUpdatesPerHost)
		}
		time.Sleep(stableTime)
		if n := s.hostUpdatesTotal() - carried; n > 0 {
			t.Errorf("%d updates of hosts in %v without a change", n, stableTime)
		}
		s.killAll()
	})
}
