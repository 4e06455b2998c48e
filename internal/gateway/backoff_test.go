package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// An engine that has turned a request away and asked for back-off may get
	// maxInBackoff requests of the host concerned, from backoffGrace on until the end.
	maxInBackoff = 2
	backoffGrace = 500 * time.Millisecond
)

// Guards against requests to engines that have asked a host for back-off.
func TestEngineThatAsksForBackoffGetsFewRequests(t *testing.T) {
	const backoff = 3 * time.Second
	s := newTestSite(t, 1)
	for i := range 4 {
		s.addEngine(fmt.Sprint("app-", 3+i), "app")
	}
	s.await("all engines known", func() bool { return len(s.daemons[0].g.holder.Endpoints()) == len(s.engines) })
	backingOff := []string{"app-1", "app-2", "app-3"}
	for _, id := range backingOff {
		s.engines[id].SetFaults(standin.EngineFaults{BackoffSeconds: backoff.Seconds(), BackoffShare: 0.4})
	}
	sent, served := s.lookFor(2*backoff, 8, 20*time.Millisecond)
	if served < sent {
		t.Errorf("%d of %d requests served", served, sent)
	}
	for _, id := range backingOff {
		backoffs, broken := backoffsBroken(s.engines[id].Arrivals(), backoff)
		if backoffs == 0 || broken > 0 {
			t.Errorf("%s: %d of %d backoffs with more than %d requests", id, broken, backoffs, maxInBackoff)
		}
	}
}

// backoffsBroken returns the number of back-offs, and that of those with too many
// arrivals.
func backoffsBroken(arrivals []standin.Arrival, backoff time.Duration) (backoffs, broken int) {
	for i, a := range arrivals {
		if !a.TurnedAway {
			continue
		}
		backoffs++
		got := 0
		for _, b := range arrivals[i:] {
			if since := b.At.Sub(a.At); since >= backoffGrace && since < backoff {
				got++
			}
		}
		if got > maxInBackoff {
			broken++
		}
	}
	return backoffs, broken
}

// Guards against callers that are told to return before the only endpoint of a
// service may be used again, and against losing it for longer than it asked.
func TestBackoffOfTheOnlyEndpoint(t *testing.T) {
	const backoff = 3 * time.Second
	s := newTestSite(t, 1)
	for _, id := range []string{"app-1", "app-2"} {
		s.engines[id].SetFaults(standin.EngineFaults{BackoffSeconds: backoff.Seconds()})
	}
	s.call(s.daemons[0], http.MethodGet, "/look/x", nil, "")
	for _, id := range []string{"app-1", "app-2"} {
		if len(s.engines[id].Arrivals()) != 1 {
			t.Fatalf("%s has not asked for back-off", id)
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
		t.Errorf("after the backoff: status %d, %v", a.status, a.err)
	}
}
