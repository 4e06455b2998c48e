package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// An engine that has turned a request away and asked for rest may get
	// maxInRest requests of the host concerned, from restGrace on until the end.
	maxInRest = 2
	restGrace = 500 * time.Millisecond
)

// Guards against requests to engines that have asked a host for rest.
func TestEngineThatAsksForRestGetsFewRequests(t *testing.T) {
	const rest = 3 * time.Second
	s := newTestSite(t, 1)
	for i := range 4 {
		s.addEngine(fmt.Sprint("app-", 3+i), "app")
	}
	s.await("all engines known", func() bool { return len(s.daemons[0].g.holder.Endpoints()) == len(s.engines) })
	resting := []string{"app-1", "app-2", "app-3"}
	for _, id := range resting {
		s.engines[id].SetFaults(standin.EngineFaults{RestSeconds: rest.Seconds(), RestShare: 0.4})
	}
	var mu sync.Mutex
	sent, served := 0, 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for end := time.Now().Add(2 * rest); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				a := s.call(s.daemons[0], http.MethodGet, "/look/x", nil, "")
				mu.Lock()
				sent++
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if served < sent {
		t.Errorf("%d of %d requests served", served, sent)
	}
	for _, id := range resting {
		rests, broken := restsBroken(s.engines[id].Arrivals(), rest)
		if rests == 0 || broken > 0 {
			t.Errorf("%s: %d of %d rests with more than %d requests", id, broken, rests, maxInRest)
		}
	}
}

// restsBroken returns the number of rests, and that of those with too many
// arrivals.
func restsBroken(arrivals []standin.Arrival, rest time.Duration) (rests, broken int) {
	for i, a := range arrivals {
		if !a.TurnedAway {
			continue
		}
		rests++
		got := 0
		for _, b := range arrivals[i:] {
			if since := b.At.Sub(a.At); since >= restGrace && since < rest {
				got++
			}
		}
		if got > maxInRest {
			broken++
		}
	}
	return rests, broken
}

// Guards against callers that are told to return before the only endpoint of a
// service may be used again, and against losing it for longer than it asked.
func TestRestOfTheOnlyEndpoint(t *testing.T) {
	const rest = 3 * time.Second
	s := newTestSite(t, 1)
	for _, id := range []string{"app-1", "app-2"} {
		s.engines[id].SetFaults(standin.EngineFaults{RestSeconds: rest.Seconds()})
	}
	s.call(s.daemons[0], http.MethodGet, "/look/x", nil, "")
	for _, id := range []string{"app-1", "app-2"} {
		if len(s.engines[id].Arrivals()) != 1 {
			t.Fatalf("%s has not asked for rest", id)
		}
	}
	a := s.call(s.daemons[0], http.MethodGet, "/look/x", nil, "")
	after, err := strconv.ParseFloat(a.header.Get(platform.HeaderRetryAfter), 64)
	if a.status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("status %d, Retry-After %q", a.status, a.header.Get(platform.HeaderRetryAfter))
	}
	if len(s.runs(a.id)) > 0 {
		t.Error("a request that was refused as not run has run")
	}
	time.Sleep(time.Duration(after * float64(time.Second)))
	if a := s.call(s.daemons[0], http.MethodGet, "/look/x", nil, ""); a.status != http.StatusOK {
		t.Errorf("after the rest: status %d, %v", a.status, a.err)
	}
}
