package factsync

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

const (
	// fleetHosts is the size of a large fleet, someHosts that of a smaller one in
	// which beacons are forwarded as well.
	fleetHosts = 120
	someHosts  = 2 * maxDirectHosts
	// startCalls bounds the calls to the store until all hosts of a fleet that
	// starts at once have the facts, startTime the time that it takes.
	startCalls = 50
	startTime  = 1500 * time.Millisecond
	// maxAnswersPerHost bounds the requests that one host answers after a change:
	// the first hosts of the groups of two readers, and its heartbeat partners.
	maxAnswersPerHost = 2*11 + 8
	// listReadDelay is when a daemon that knows no other host has read the list of
	// hosts.
	listReadDelay = 210 * time.Millisecond
	// startSpread is the time within which the hosts of a fleet start.
	startSpread = 300 * time.Millisecond
)

// startFleet starts all hosts within startSpread.
func startFleet(s *simSite) {
	for i := range s.daemons {
		time.AfterFunc(time.Duration(s.pick(int(startSpread))), func() { s.start(i) })
	}
}

// newStoppedSite returns a site on which no daemon runs.
func newStoppedSite(seed uint64, hosts int) *simSite {
	s := newSimSite(simParams{seed: seed})
	s.hosts = hosts
	for i := range hosts {
		d := s.newDaemon(i)
		d.dead, d.stop = true, func() {}
		s.daemons = append(s.daemons, d)
	}
	return s
}

func (s *simSite) informedHosts() (n int) {
	for i := range s.daemons {
		if sum := s.daemon(i).holder.Summary(); sum.Config > 0 && sum.Position > 0 {
			n++
		}
	}
	return n
}

func (s *simSite) killAll() {
	for i := range s.daemons {
		s.kill(i)
	}
	time.Sleep(stableTime)
}

// Guards against a fleet in which every host reads the store when all of them
// start at once, or to which the facts spread slowly from the few that do.
func TestStartOfALargeFleet(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			s := newStoppedSite(seed, fleetHosts)
			for range 2 {
				before := s.store.callCount()
				startFleet(s)
				time.Sleep(startSpread)
				began := time.Now()
				for s.informedHosts() < fleetHosts && time.Since(began) < startTime {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("seed %d: %d of %d know all %v after the last start, %d calls", seed, s.informedHosts(), fleetHosts, time.Since(began), s.store.callCount()-before)
				if n := s.informedHosts(); n < fleetHosts {
					t.Errorf("seed %d: %d of %d hosts know all after %v", seed, n, fleetHosts, startTime)
				}
				if n := s.store.callCount() - before; n > startCalls {
					t.Errorf("seed %d: %d calls to the store", seed, n)
				}
				s.killAll()
			}
		})
	}
}

// Guards against a fleet in which every host reads the store while the
// operators have not written a configuration yet.
func TestStartBeforeTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, someHosts)
		s.store.put("c", "")
		startFleet(s)
		time.Sleep(stableTime)
		before := s.store.callCount()
		time.Sleep(stableTime)
		// Two readers poll two feeds, each poll takes less than a second.
		if n, most := s.store.callCount()-before, int(4*2*stableTime/time.Second); n > most {
			t.Errorf("%d calls to the store in %v, %d are allowed", n, stableTime, most)
		}
		s.store.put("c", "2")
		time.Sleep(bound)
		if n := s.informedHosts(); n < someHosts {
			t.Errorf("%d of %d hosts know the configuration after %v", n, someHosts, bound)
		}
		s.killAll()
	})
}

// Guards against a host that waits for others forever: all hosts that its
// settings name are down.
func TestStartWithoutOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, someHosts)
		lone := someHosts - 1
		s.start(lone)
		time.Sleep(discoveryTime + bound/4)
		if sum := s.daemon(lone).holder.Summary(); sum.Config == 0 || sum.Position == 0 {
			t.Errorf("a single host knows configuration %d and position %d", sum.Config, sum.Position)
		}
		s.killAll()
	})
}

// Guards against a reader that answers all hosts of a fleet each time that an
// endpoint changes.
func TestNoHostAnswersAWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, fleetHosts)
		startFleet(s)
		time.Sleep(2 * stableTime)
		before := make([]int64, fleetHosts)
		for i := range s.daemons {
			before[i] = s.daemon(i).answered.Load()
		}
		s.store.put(endpointKey(0), "10.0.0.0 draining")
		time.Sleep(bound)
		total := int64(0)
		for i := range s.daemons {
			n := s.daemon(i).answered.Load() - before[i]
			total += n
			if n > maxAnswersPerHost {
				t.Errorf("host %d answers %d requests after one change, want at most %d", i, n, maxAnswersPerHost)
			}
		}
		if total < fleetHosts-facts.Readers {
			t.Errorf("%d requests reached %d hosts", total, fleetHosts)
		}
		s.killAll()
	})
}

// Guards against hosts that all request every few endpoints while thousands
// register.
func TestRegistrationsAreRequestedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const registered, length = 4000, 8 * time.Second
		s := newStoppedSite(1, fleetHosts)
		s.oneHigh = 10
		startFleet(s)
		time.Sleep(2 * stableTime)
		before := s.answeredTotal()
		for i := range registered {
			s.store.put(endpointKey(100+i), "10.1.0.0")
			time.Sleep(length / registered)
		}
		perHost := float64(s.answeredTotal()-before) / fleetHosts
		if most := 2.2 * length.Seconds(); perHost > most {
			t.Errorf("a host sent %.1f requests while %d endpoints registered in %v, want at most %.1f", perHost, registered, length, most)
		}
		s.store.put(endpointKey(0), "10.0.0.0 draining")
		time.Sleep(bound)
		for i := range s.daemons {
			if e, ok := s.daemon(i).holder.Endpoint(facts.EndpointID(endpointKey(0))); !ok || !e.Draining {
				t.Errorf("host %d does not know %v later that an endpoint is draining", i, bound)
			}
		}
		s.killAll()
	})
}

// answeredTotal returns how many requests all hosts have answered.
func (s *simSite) answeredTotal() (n int64) {
	for i := range s.daemons {
		n += s.daemon(i).answered.Load()
	}
	return n
}

// Guards against a fleet in which every host reads all endpoints from the store
// because the hosts in the settings respond too late to a whole fleet.
func TestStartWithSlowSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, fleetHosts)
		s.listDelay, s.seedDelay = listReadDelay, 2*time.Second
		for i := 10; i < 26; i++ {
			s.listed = append(s.listed, strconv.Itoa(i))
		}
		before := s.store.callCount()
		startFleet(s)
		time.Sleep(startSpread)
		time.Sleep(startTime)
		if n := s.informedHosts(); n < fleetHosts-seedHosts {
			t.Errorf("%d of %d hosts know all after %v", n, fleetHosts, startTime)
		}
		if n := s.store.callCount() - before; n > startCalls {
			t.Errorf("%d calls to the store, want at most %d", n, startCalls)
		}
		s.killAll()
	})
}

// Guards against a request for a list of all endpoints that times out before a small
// host has sent it, and against a beacon that refers all hosts to the reader because
// the host that forwards it has no endpoints yet.
func TestListOfAllEndpointsMayTakeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints, listTime = 3000, time.Second
		s := newStoppedSite(1, 3)
		s.sendRate = endpoints * endpointBytes / listTime.Seconds()
		reader, forwarder, other := s.daemon(0), s.daemon(1), s.daemon(2)
		reader.dead, forwarder.dead = false, false
		list := facts.EndpointUpdate{Whole: true, Position: endpoints, AsOf: 1}
		for i := range endpoints {
			list.Endpoints = append(list.Endpoints, facts.Endpoint{ID: facts.EndpointID(endpointKey(i)), Changed: facts.Position(i + 1)})
		}
		reader.holder.Merge(list)
		forwarder.view.Observe(other.view.Self())
		ctx, cancel := context.WithCancel(t.Context())
		go forwarder.sync.Run(ctx)
		forwarder.sync.OnBeacon(&peerv1.Beacon{Host: string(reader.id), Address: "0", Changed: endpoints, PassTo: []uint32{hostHash(other.id)}})
		time.Sleep(listTime / 2)
		if n := forwarder.sent.Load(); n > 0 {
			t.Errorf("%d bytes of beacons were forwarded before the list arrived", n)
		}
		time.Sleep(listTime)
		if got := forwarder.holder.Summary().Position; got != endpoints {
			t.Errorf("position %d after the list was sent, want %d", got, endpoints)
		}
		if forwarder.sent.Load() == 0 {
			t.Error("the beacon was not forwarded after the list arrived")
		}
		cancel()
		time.Sleep(listFetchTimeout)
	})
}
