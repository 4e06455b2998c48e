package factsync

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

// suspectsBound is how soon all hosts must quarantine a request after the
// third endpoint has terminated while it ran there, whichever hosts saw the
// endpoints terminate.
const suspectsBound = 3 * time.Second

var suspectsHosts = flag.Int("suspectsHosts", fleetHosts, "size of the large fleet in the test of how suspect requests are reported")

// Guards against hosts that still send a request on after suspectsBound though
// endpoints have terminated under it elsewhere; one host is paused meanwhile.
func TestSuspectsAreKnownInTime(t *testing.T) {
	for _, hosts := range []int{13, *suspectsHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppedSite(1, hosts)
				startFleet(s)
				time.Sleep(stableTime)
				var longest time.Duration
				for round := range 5 {
					longest = max(longest, s.spreadSuspect(t, quarantine.Fingerprint(round+1)))
				}
				t.Logf("%d hosts: %v", hosts, longest)
				s.killAll()
			})
		})
	}
}

// spreadSuspect makes three endpoints terminate under a request, each at a
// random host, and returns how long it takes until all hosts that are not
// paused quarantine it.
func (s *simSite) spreadSuspect(t *testing.T, f quarantine.Fingerprint) time.Duration {
	n := len(s.daemons)
	paused := s.daemon(s.pick(n))
	go paused.pause(suspectsBound)
	for i := 0; i < 3; {
		if d := s.daemon(s.pick(n)); d != paused {
			d.heartbeats.Quarantine.RecordTermination(f, table.EndpointName(fmt.Sprint("engine-", i)))
			i++
		}
	}
	began := time.Now()
	for time.Since(began) < suspectsBound {
		time.Sleep(10 * time.Millisecond)
		if s.allQuarantined(f, paused) {
			break
		}
	}
	if !s.allQuarantined(f, paused) {
		t.Errorf("request %d is still sent %v later", f, suspectsBound)
	}
	took := time.Since(began)
	time.Sleep(stableTime)
	return took
}

func (s *simSite) allQuarantined(f quarantine.Fingerprint, except *simDaemon) bool {
	for i := range s.daemons {
		if d := s.daemon(i); d != except && !d.heartbeats.Quarantine.IsQuarantined(f) {
			return false
		}
	}
	return true
}
