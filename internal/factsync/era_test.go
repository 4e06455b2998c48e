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
	// backupAge is how old the backup is from which the store is restored.
	backupAge = 3 * time.Second
	// unavailableTime is how long the store is unavailable before the restore.
	unavailableTime = 400 * time.Millisecond
	// restoreCalls bounds the calls right after a restore: what a start of 120
	// daemons costs.
	restoreCalls = 31
)

// check compares the daemons' facts with the expected ones: the configuration,
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

// Guards against daemons that keep what the store has lost, or accept each
// other's confirmations at versions that are assigned again, when the store is
// restored from a backup; and against old rows that revive departed endpoints.
func TestStoreRestoredFromBackup(t *testing.T) {
	for _, hosts := range []int{13, fleetHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRestoreScenario(t, newStoppedSite(1, hosts)) })
		})
	}
}

func runRestoreScenario(t *testing.T, s *simSite) {
	startFleet(s)
	time.Sleep(stableTime)
	address := func(i int) string { return "10.0.0." + strconv.Itoa(i) }
	// Written after the backup was made: an edit, a departure that was
	// announced, one that was not, and a new endpoint.
	time.Sleep(backupAge)
	s.store.put("c", "2")
	s.store.put(endpointKey(1), address(1)+" draining")
	s.store.put(endpointKey(2), "")
	s.store.put(endpointKey(7), address(7))
	time.Sleep(bound)
	s.check(t, "before", 2, map[int]bool{0: true, 1: false, 2: false, 7: true})
	s.store.setUnavailable(true)
	time.Sleep(unavailableTime)
	s.store.restore(backupAge)
	before := s.store.callCount()
	time.Sleep(bound / 2)
	n := s.store.callCount() - before
	t.Logf("%d hosts: %d calls", len(s.daemons), n)
	if n > restoreCalls {
		t.Errorf("%d calls to the store in %v after the restore, want at most %d", n, bound/2, restoreCalls)
	}
	s.check(t, "right after the restore", 2, map[int]bool{0: true, 1: false, 2: false, 7: true})
	// It is restored again at once, from a backup that is as old.
	s.store.restore(backupAge)
	time.Sleep(bound / 2)
	s.check(t, "right after another restore", 2, map[int]bool{0: true, 1: false, 2: false})
	// A version that was assigned before is assigned again to another change.
	s.store.put(endpointKey(3), address(3)+" draining")
	time.Sleep(bound)
	s.check(t, "first change of the new era", 2, map[int]bool{0: true, 1: false, 2: false, 3: false})
	// The operator and the endpoints write again what was lost.
	s.store.put(endpointKey(1), address(1)+" draining")
	s.store.put(endpointKey(2), "")
	s.store.put(endpointKey(7), address(7))
	s.store.put("c", "2")
	time.Sleep(bound)
	s.check(t, "written again", 2, map[int]bool{0: true, 1: false, 2: false, 7: true})
	s.store.put(endpointKey(4), "")
	s.store.put("c", "3")
	time.Sleep(bound)
	s.check(t, "changes of the new era", 3, map[int]bool{0: true, 1: false, 2: false, 3: false, 4: false, 7: true})
	// An endpoint whose registration was lost with a restore does not stay.
	s.store.put(endpointKey(8), address(8))
	time.Sleep(bound)
	s.store.setUnavailable(true)
	time.Sleep(unavailableTime)
	s.store.restore(backupAge)
	time.Sleep(stableTime + bound)
	s.check(t, "after the last restore", 3, map[int]bool{8: false})
	s.killAll()
}
