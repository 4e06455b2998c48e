package schedule

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// partialFailure simulates a service whose endpoints fail a share of their
// requests. A failed request is retried once on another endpoint.
type partialFailure struct {
	endpoints int
	// fails holds the share of requests that each endpoint fails.
	fails []float64
}

const (
	failureSlots       = 6
	failureArrivals    = 160
	failureServiceTime = 15 * time.Millisecond
	failureRun         = 6 * time.Second
	failureTick        = time.Millisecond
	failureTarget      = 120 * time.Millisecond
	// failureStart is when the endpoints begin to fail.
	failureStart = time.Second
)

// run returns the share of requests that got a slot in time, and the share of
// the grants that each endpoint got from a second after the failures began.
func (p partialFailure) run(seed uint64) (inTime float64, shares []float64) {
	random := rand.New(rand.NewPCG(seed, seed))
	clock := newFakeClock()
	cell := NewCell(clock)
	cell.Configure(Config{Classes: []ClassPolicy{{Name: "a", Weight: 1, FirstTokenTarget: failureTarget}}, Endpoints: endpoints(p.endpoints, failureSlots)})
	names := make([]Endpoint, 0, p.endpoints)
	for _, e := range cell.sortedEndpoints {
		names = append(names, e.policy.Name)
	}
	arrived := map[RequestID]time.Duration{}
	ends := map[time.Duration][]func(){}
	shares = make([]float64, p.endpoints)
	asked, granted, n := 0, 0, 0
	ask := func(now time.Duration, excluded ...Endpoint) {
		n++
		asked++
		arrived[id(n)] = now
		cell.Reserve(Request{ID: id(n), Class: "a", Account: "x", Excluded: excluded})
	}
	retried := map[RequestID]bool{}
	for now := time.Duration(0); now < failureRun; now += failureTick {
		clock.advance(failureTick)
		for _, end := range ends[now] {
			end()
		}
		delete(ends, now)
		for range poisson(random, failureArrivals*failureTick.Seconds()) {
			ask(now)
		}
		for _, d := range cell.Step() {
			i := slices.Index(names, d.Endpoint)
			if now >= 2*failureStart {
				shares[i]++
				granted++
			}
			if now-arrived[d.ID] <= failureTarget {
				inTime++
			}
			failed := now >= failureStart && random.Float64() < p.fails[i]
			end := now + max(failureTick, time.Duration(random.ExpFloat64()*float64(failureServiceTime)).Truncate(failureTick))
			ends[end] = append(ends[end], func() {
				cell.Release(d.ID, Report{Failed: failed, Done: !failed, Duration: failureServiceTime})
				if failed && !retried[d.ID] {
					ask(end, d.Endpoint)
					retried[id(n)] = true
				}
			})
		}
	}
	for i := range shares {
		shares[i] /= float64(granted)
	}
	return inTime / float64(asked), shares
}

// Guards against ejecting all endpoints but one when all of them fail the same
// share of their requests. The responses that the ejected ones would have given
// are lost, and the requests queue for the remaining one.
func TestEndpointsWithEqualFailureRatesAreNotEjected(t *testing.T) {
	for seed := range uint64(5) {
		inTime, shares := partialFailure{endpoints: 6, fails: []float64{0.45, 0.45, 0.45, 0.45, 0.45, 0.45}}.run(seed)
		if inTime < 0.98 {
			t.Errorf("seed %d: %.3f of the requests got a slot in time, want 0.98; endpoints' shares are %.2f", seed, inTime, shares)
		}
	}
}

// Guards against endpoints that fail much more often than the others but still
// get a full share of the requests.
func TestEndpointsThatFailMoreThanOthersAreEjected(t *testing.T) {
	for seed := range uint64(5) {
		for _, fails := range [][]float64{
			{0.45, 0, 0, 0, 0, 0},
			{0.45, 0.45, 0, 0, 0, 0},
			{1, 1, 1, 0, 0, 0},
			{1, 1, 1, 1, 0, 0},
			{1, 0.1, 0.1, 0.1, 0.1, 0.1},
		} {
			_, shares := partialFailure{endpoints: 6, fails: fails}.run(seed)
			for i, share := range shares {
				if fails[i] > 0.4 && share > 0.08 {
					t.Errorf("seed %d: an endpoint that fails %.2f of its requests got %.2f of all requests; the endpoints fail %.2f", seed, fails[i], share, fails)
				}
			}
		}
	}
}
