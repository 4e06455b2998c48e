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

// suspectsBound is how soon all hosts must keep a request back after the third
// endpoint has ended under it, wherever each of them was seen to end.
const suspectsBound = 3 * time.Second

var suspectsHosts = flag.Int("suspectsHosts", fleetHosts, "size of the large fleet in the test of news about requests that end endpoints")

// Guards against hosts that still send a request under which endpoints have
// ended elsewhere, when the time for the news is over; two of them are paused.
func TestSuspectsAreKnownInTime(t *testing.T) {
	for _, hosts := range []int{13, *suspectsHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDarkSite(1, hosts)
				startFleet(s)
				time.Sleep(window)
				var most time.Duration
				for round := range 5 {
					most = max(most, s.spreadSuspect(t, quarantine.Fingerprint(round+1)))
				}
				t.Logf("%d hosts: %v", hosts, most)
				s.powerOff()
			})
		})
	}
}

// spreadSuspect has three endpoints end under a request, each at another host,
// and returns how long it takes until all hosts that are not paused keep it
// back.
func (s *simSite) spreadSuspect(t *testing.T, f quarantine.Fingerprint) time.Duration {
	n := len(s.daemons)
	paused := s.daemon(s.pick(n))
	go paused.pause(suspectsBound)
	for i := 0; i < 3; {
		if d := s.daemon(s.pick(n)); d != paused {
			d.beats.Suspects.RecordTermination(f, table.EndpointName(fmt.Sprint("engine-", i)))
			i++
		}
	}
	began := time.Now()
	for time.Since(began) < suspectsBound {
		time.Sleep(10 * time.Millisecond)
		if s.allKeep(f, paused) {
			break
		}
	}
	if !s.allKeep(f, paused) {
		t.Errorf("request %d is still sent %v later", f, suspectsBound)
	}
	took := time.Since(began)
	time.Sleep(window)
	return took
}

func (s *simSite) allKeep(f quarantine.Fingerprint, but *simDaemon) bool {
	for i := range s.daemons {
		if d := s.daemon(i); d != but && !d.beats.Suspects.IsQuarantined(f) {
			return false
		}
	}
	return true
}
