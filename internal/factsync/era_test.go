package factsync

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
)

const (
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 3 * time.Second
	// awayTime is how long the store is away before.
	awayTime = 400 * time.Millisecond
	// returnCalls bounds the calls right after its return: what a start of 120
	// daemons costs.
	returnCalls = 31
)

// check compares what the daemons count with what they should: the configuration,
// and which endpoints are ready.
func (s *simSite) check(t *testing.T, when string, config catalog.Version, ready map[int]bool) {
	t.Helper()
	wrong := map[string]int{}
	for i := range s.daemons {
		d := s.daemon(i)
		if v := d.holder.Summary().Config; v != config {
			wrong[fmt.Sprintf("configuration %d instead of %d", v, config)]++
		}
		for n, want := range ready {
			e, ok := d.holder.Endpoint(facts.EndpointID(endpointKey(n)))
			if got := ok && !e.Gone && !e.Draining; got != want {
				wrong[fmt.Sprintf("endpoint %d ready: %v instead of %v", n, got, want)]++
			}
		}
	}
	for what, hosts := range wrong {
		t.Errorf("%s: %s at %d hosts", when, what, hosts)
	}
}

// Guards against daemons that hold on to what a store has lost, or take each
// other's word at versions that are given out again, when it comes back from a
// copy; and against old rows that bring back what has ended.
func TestStoreComesBackFromACopy(t *testing.T) {
	for _, hosts := range []int{13, fleetHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCopy(t, newDarkSite(1, hosts)) })
		})
	}
}

func playCopy(t *testing.T, s *simSite) {
	startFleet(s)
	time.Sleep(window)
	address := func(i int) string { return "10.0.0." + strconv.Itoa(i) }
	// Written after the copy was made: an edit, a departure that was told
	// before, one that was not, and a new endpoint.
	time.Sleep(copyAge)
	s.store.put("c", "2")
	s.store.put(endpointKey(1), address(1)+" draining")
	s.store.put(endpointKey(2), "")
	s.store.put(endpointKey(7), address(7))
	time.Sleep(bound)
	s.check(t, "before", 2, map[int]bool{0: true, 1: false, 2: false, 7: true})
	s.store.setAway(true)
	time.Sleep(awayTime)
	s.store.comeBack(copyAge)
	before := s.store.called()
	time.Sleep(bound / 2)
	n := s.store.called() - before
	t.Logf("%d hosts: %d calls", len(s.daemons), n)
	if n > returnCalls {
		t.Errorf("%d calls to the store in %v after its return, at most %d may be", n, bound/2, returnCalls)
	}
	s.check(t, "right after the return", 2, map[int]bool{0: true, 1: false, 2: false, 7: true})
	// It comes back a second time at once, from a copy that is as old.
	s.store.comeBack(copyAge)
	time.Sleep(bound / 2)
	s.check(t, "right after another return", 2, map[int]bool{0: true, 1: false, 2: false})
	// A version that was given out before is given out again for other news.
	s.store.put(endpointKey(3), address(3)+" draining")
	time.Sleep(bound)
	s.check(t, "first news of the new era", 2, map[int]bool{0: true, 1: false, 2: false, 3: false})
	// The operator and the endpoints write again what is lost.
	s.store.put(endpointKey(1), address(1)+" draining")
	s.store.put(endpointKey(2), "")
	s.store.put(endpointKey(7), address(7))
	s.store.put("c", "2")
	time.Sleep(bound)
	s.check(t, "written again", 2, map[int]bool{0: true, 1: false, 2: false, 7: true})
	s.store.put(endpointKey(4), "")
	s.store.put("c", "3")
	time.Sleep(bound)
	s.check(t, "news of the new era", 3, map[int]bool{0: true, 1: false, 2: false, 3: false, 4: false, 7: true})
	// An endpoint that has gone with what was lost does not stay.
	s.store.put(endpointKey(8), address(8))
	time.Sleep(bound)
	s.store.setAway(true)
	time.Sleep(awayTime)
	s.store.comeBack(copyAge)
	time.Sleep(window + bound)
	s.check(t, "after the second return", 3, map[int]bool{8: false})
	s.powerOff()
}
