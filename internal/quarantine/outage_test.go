package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// outage simulates a fleet in which half of the endpoints terminate for a
// reason unrelated to their requests. All daemons share one list, as if updates
// spread instantly, which quarantines the most requests.
type outage struct {
	random *rand.Rand
	clock  *clockwork.FakeClock
	list   *List
	// alive lists the endpoints that have not terminated.
	alive []int
	// running holds the requests of each endpoint by its number.
	running [][]*inFlight
	// sent counts requests and their repeats, interrupted those that were on an
	// endpoint when it terminated, and refused those that were quarantined.
	sent, interrupted, refused int
}

// inFlight is a request on an endpoint.
type inFlight struct {
	fingerprint Fingerprint
	completesAt time.Time
	// attempts is how many more times the request may be sent.
	attempts int
}

const (
	outageEndpoints = 910
	outageRunning   = 12
	// outageAttempts includes the attempts made by daemons and those of callers
	// that repeat their request once.
	outageAttempts     = 6
	outageMeanDuration = 2 * time.Second
	// outageShared is the share of requests that are sent identically by many
	// callers. There are outageSharedKinds different ones.
	outageShared      = 0.1
	outageSharedKinds = 20
	outageStep        = 50 * time.Millisecond
)

func newOutage(seed uint64) *outage {
	o := &outage{random: rand.New(rand.NewPCG(seed, 7)), clock: clockwork.NewFakeClock(), running: make([][]*inFlight, outageEndpoints)}
	o.list = NewList(o.clock)
	for e := range outageEndpoints {
		o.alive = append(o.alive, e)
		for range outageRunning {
			o.running[e] = append(o.running[e], o.newRequest())
		}
	}
	return o
}

func (o *outage) newRequest() *inFlight {
	r := &inFlight{fingerprint: Fingerprint(o.random.Uint64()), attempts: outageAttempts}
	if o.random.Float64() < outageShared {
		r.fingerprint = Fingerprint(1 + o.random.IntN(outageSharedKinds))
	}
	r.completesAt = o.clock.Now().Add(time.Duration(o.random.ExpFloat64() * float64(outageMeanDuration)))
	return r
}

// send places a request on a random endpoint that has not terminated, unless
// the request is quarantined.
func (o *outage) send(r *inFlight) {
	if o.list.IsQuarantined(r.fingerprint) {
		o.refused++
		return
	}
	o.sent++
	r.attempts--
	e := o.alive[o.random.IntN(len(o.alive))]
	o.running[e] = append(o.running[e], r)
}

// step completes the requests that are due and replaces them by new ones.
func (o *outage) step() {
	o.clock.Advance(outageStep)
	now := o.clock.Now()
	var done int
	for e, requests := range o.running {
		unfinished := requests[:0]
		for _, r := range requests {
			if now.Before(r.completesAt) {
				unfinished = append(unfinished, r)
				continue
			}
			o.list.RecordCompletion(r.fingerprint)
			done++
		}
		o.running[e] = unfinished
	}
	for range done {
		o.send(o.newRequest())
	}
}

// terminate terminates n endpoints at once and sends their requests again.
func (o *outage) terminate(n int) {
	var interrupted []*inFlight
	for range n {
		i := o.random.IntN(len(o.alive))
		e := o.alive[i]
		o.alive[i] = o.alive[len(o.alive)-1]
		o.alive = o.alive[:len(o.alive)-1]
		for _, r := range o.running[e] {
			o.list.RecordTermination(r.fingerprint, endpointName(e))
		}
		interrupted = append(interrupted, o.running[e]...)
		o.running[e] = nil
	}
	o.interrupted += len(interrupted)
	for _, r := range interrupted {
		if r.attempts > 0 {
			r.completesAt = o.clock.Now().Add(time.Duration(o.random.ExpFloat64() * float64(outageMeanDuration)))
			o.send(r)
		}
	}
}

// Guards against refusing requests that only ran on endpoints that terminated
// for another reason. Half of 910 endpoints are lost, at once or within ten
// seconds. At most one request in a thousand may be refused in that time.
func TestLossOfHalfTheFleet(t *testing.T) {
	for name, duration := range map[string]time.Duration{"at once": 0, "within ten seconds": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			o := newOutage(1)
			steps := max(1, int(duration/outageStep))
			for range 100 {
				o.step()
			}
			o.sent = 0
			lost := outageEndpoints / 2
			for i := range steps {
				o.terminate(lost*(i+1)/steps - lost*i/steps)
				o.step()
			}
			for range 100 {
				o.step()
			}
			t.Logf("%d refused of %d sent; %d were on an endpoint that terminated", o.refused, o.sent, o.interrupted)
			if o.refused*1000 > o.sent {
				t.Errorf("%d of %d requests were refused", o.refused, o.sent)
			}
		})
	}
}
