package factsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

const (
	outageTime = 4500 * time.Millisecond
	// outageCalls bounds the calls of a large fleet to a store that is
	// unavailable for outageTime.
	outageCalls = 300
	// recoveryTime is how soon after an outage all hosts must know what has
	// changed.
	recoveryTime = 1200 * time.Millisecond
)

// Guards against a fleet in which every host calls the store while it is
// unavailable.
func TestFewDaemonsProbeUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, fleetHosts)
		startFleet(s)
		time.Sleep(2 * stableTime)
		before := s.store.callCount()
		s.store.setUnavailable(true)
		time.Sleep(outageTime)
		n := s.store.callCount() - before
		t.Logf("%d calls", n)
		if n > outageCalls {
			t.Errorf("%d calls to the store in %v", n, outageTime)
		}
		s.store.setUnavailable(false)
		s.store.put("c", "2")
		time.Sleep(recoveryTime)
		for i := range s.daemons {
			if v := s.daemon(i).holder.Summary().Config; v != 2 {
				t.Errorf("host %d knows configuration %d %v after the outage", i, v, recoveryTime)
			}
		}
		s.killAll()
	})
}

// Guards against hosts that wait for readers whose calls the store rejects,
// though it would accept their own.
func TestOthersReadWhenReadersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, fleetHosts)
		startFleet(s)
		time.Sleep(2 * stableTime)
		first := s.daemon(0).view.Active().HighCapacityOrder(readerKey).First(fleetHosts / 20)
		refused := map[membership.HostID]bool{}
		for _, h := range first {
			refused[h.ID] = true
		}
		s.store.refuse(refused)
		s.store.put("c", "2")
		time.Sleep(bound)
		for i := range s.daemons {
			if v := s.daemon(i).holder.Summary().Config; v != 2 {
				t.Errorf("host %d knows configuration %d %v after the edit", i, v, bound)
			}
		}
		s.killAll()
	})
}
