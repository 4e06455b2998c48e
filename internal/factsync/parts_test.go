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

var partsHosts = flag.Int("partsHosts", 13, "size of the fleet in the test of how suspect parts are reported")

// partsBeside is the number of other parts of the requests on an endpoint that
// terminates, none of which has completed.
const partsBeside = 128

// Guards against hosts that still send requests with a part of prompts on after
// suspectsBound though endpoints have terminated under it elsewhere, and against news of
// sound parts that holds it up; one host is paused meanwhile.
func TestSuspectPartsAreKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppedSite(1, *partsHosts)
		startFleet(s)
		time.Sleep(stableTime)
		before := s.callBytes()
		var longest time.Duration
		for round := range 3 {
			longest = max(longest, s.spreadPart(t, round))
		}
		perHost := (s.callBytes() - before) / int64(*partsHosts)
		t.Logf("%d hosts: %v, %d bytes of heartbeats a host in %v", *partsHosts, longest, perHost, 3*stableTime)
		s.killAll()
	})
}

// spreadPart makes three endpoints terminate under a part, each at a random host and each
// with other parts, and returns how long it takes until all hosts that are not paused
// quarantine it.
func (s *simSite) spreadPart(t *testing.T, round int) time.Duration {
	part := quarantine.PartKeyOf("llm", uint64(round))
	n := len(s.daemons)
	paused := s.daemon(s.pick(n))
	go paused.pause(suspectsBound)
	for i := 0; i < 3; {
		d := s.daemon(s.pick(n))
		if d == paused {
			continue
		}
		keys := []quarantine.PartKey{part}
		for k := range partsBeside {
			keys = append(keys, quarantine.PartKeyOf("llm", uint64(1000*(round*3+i+1)+k)))
		}
		d.heartbeats.Parts.RecordTermination(keys, table.EndpointName(fmt.Sprintf("engine-%d-%d", round, i)))
		i++
	}
	began := time.Now()
	for time.Since(began) < suspectsBound && !s.allQuarantinePart(part, paused) {
		time.Sleep(10 * time.Millisecond)
	}
	if !s.allQuarantinePart(part, paused) {
		t.Errorf("part %v is still sent %v later", part, suspectsBound)
	}
	took := time.Since(began)
	time.Sleep(stableTime)
	return took
}

func (s *simSite) allQuarantinePart(part quarantine.PartKey, except *simDaemon) bool {
	for i := range s.daemons {
		if d := s.daemon(i); d != except && d.heartbeats.Parts.QuarantinedCount() == 0 {
			return false
		} else if _, found, _ := d.heartbeats.Parts.Quarantined([]quarantine.PartKey{part}, neverTry); d != except && !found {
			return false
		}
	}
	return true
}

func neverTry(bool) bool { return false }

// callBytes returns the size of all heartbeats so far.
func (s *simSite) callBytes() (n int64) {
	for i := range s.daemons {
		n += s.daemon(i).callBytes.Load()
	}
	return n
}
