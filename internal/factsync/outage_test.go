package factsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

const (
	outageTime = 4500 * time.Millisecond
	// outageCalls bounds the calls of a large fleet to a store that is away for
	// outageTime.
	outageCalls = 300
	// returnTime is how soon after its return everybody knows what is new.
	returnTime = 1200 * time.Millisecond
)

// Guards against a fleet that calls the store with every host while it is away.
func TestFewDaemonsProbeAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDarkSite(1, fleetHosts)
		startFleet(s)
		time.Sleep(2 * window)
		before := s.store.called()
		s.store.setAway(true)
		time.Sleep(outageTime)
		n := s.store.called() - before
		t.Logf("%d calls", n)
		if n > outageCalls {
			t.Errorf("%d calls to the store in %v", n, outageTime)
		}
		s.store.setAway(false)
		s.store.put("c", "2")
		time.Sleep(returnTime)
		for i := range s.daemons {
			if v := s.daemon(i).holder.Summary().Config; v != 2 {
				t.Errorf("host %d knows configuration %d %v after the store's return", i, v, returnTime)
			}
		}
		s.powerOff()
	})
}

// Guards against hosts that wait for readers which the store turns away, while
// it would answer the others.
func TestOthersReadWhenTheFirstAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDarkSite(1, fleetHosts)
		startFleet(s)
		time.Sleep(2 * window)
		first := s.daemon(0).view.Staying().CapableOrder(readerKey).Hosts[:fleetHosts/20]
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
		s.powerOff()
	})
}
