package factsync

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	// fleetHosts is the size of a large fleet, someHosts one whose beacons are
	// passed on as well.
	fleetHosts = 120
	someHosts  = 2 * directHosts
	// startCalls bounds the calls to the store until a fleet that starts at
	// once knows all, startTime the time that it takes.
	startCalls = 50
	startTime  = 1500 * time.Millisecond
	// startSpread is the time within which the hosts of a fleet start.
	startSpread = 300 * time.Millisecond
)

// startFleet starts all hosts within startSpread.
func startFleet(s *simSite) {
	for i := range s.daemons {
		time.AfterFunc(time.Duration(s.pick(int(startSpread))), func() { s.start(i) })
	}
}

// newDarkSite returns a site without power.
func newDarkSite(seed uint64, hosts int) *simSite {
	s := newSimSite(simTerms{seed: seed})
	s.hosts = hosts
	for i := range hosts {
		d := s.newDaemon(i)
		d.dead, d.stop = true, func() {}
		s.daemons = append(s.daemons, d)
	}
	return s
}

func (s *simSite) informed() (n int) {
	for i := range s.daemons {
		if sum := s.daemon(i).holder.Summary(); sum.Config > 0 && sum.Position > 0 {
			n++
		}
	}
	return n
}

func (s *simSite) powerOff() {
	for i := range s.daemons {
		s.kill(i)
	}
	time.Sleep(window)
}

// Guards against a fleet that reads the store with every host when all of them
// start at once, or that takes long to learn from the few that do.
func TestStartOfALargeFleet(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			s := newDarkSite(seed, fleetHosts)
			for range 2 {
				before := s.store.called()
				startFleet(s)
				time.Sleep(startSpread)
				began := time.Now()
				for s.informed() < fleetHosts && time.Since(began) < startTime {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("seed %d: %d of %d know all %v after the last start, %d calls", seed, s.informed(), fleetHosts, time.Since(began), s.store.called()-before)
				if n := s.informed(); n < fleetHosts {
					t.Errorf("seed %d: %d of %d hosts know all after %v", seed, n, fleetHosts, startTime)
				}
				if n := s.store.called() - before; n > startCalls {
					t.Errorf("seed %d: %d calls to the store", seed, n)
				}
				s.powerOff()
			}
		})
	}
}

// Guards against a fleet that reads the store with every host while the
// operators have not written their configuration yet.
func TestStartBeforeTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDarkSite(1, someHosts)
		s.store.put("c", "")
		startFleet(s)
		time.Sleep(window)
		before := s.store.called()
		time.Sleep(window)
		// Two readers wait for news on two feeds, each for less than a second.
		if n, most := s.store.called()-before, int(4*2*window/time.Second); n > most {
			t.Errorf("%d calls to the store in %v, %d are allowed", n, window, most)
		}
		s.store.put("c", "2")
		time.Sleep(bound)
		if n := s.informed(); n < someHosts {
			t.Errorf("%d of %d hosts know the configuration after %v", n, someHosts, bound)
		}
		s.powerOff()
	})
}

// Guards against a host that waits for others for good: all hosts that its
// settings name are down.
func TestStartWithoutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDarkSite(1, someHosts)
		lone := someHosts - 1
		s.start(lone)
		time.Sleep(meetTime + bound/4)
		if sum := s.daemon(lone).holder.Summary(); sum.Config == 0 || sum.Position == 0 {
			t.Errorf("a host alone knows configuration %d and position %d", sum.Config, sum.Position)
		}
		s.powerOff()
	})
}
