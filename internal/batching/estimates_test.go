package batching

import (
	"testing"
	"time"
)

// newMeasuredPool returns a pool that has measured its engines, of which every third
// one is slow, and the estimates of it.
func newMeasuredPool(t *testing.T) (*Pool, Estimates) {
	t.Helper()
	p, _ := newSpeedPool(6)
	p.measuredAt, p.hasMeasured = time.Second, true
	p.prefillRate, p.prefillRateSamples = 150_000, 40
	for i, e := range p.engines {
		e.Name = string(rune('a' + i))
	}
	p.engines[1].Decode = true
	est, ok := p.Estimates(2 * time.Second)
	if !ok || est.Age != time.Second || len(est.Engines) != 6 {
		t.Fatalf("the estimates are %+v, %v", est, ok)
	}
	return p, est
}

// freshPool returns a pool with the same engines that has measured nothing.
func freshPool(measured *Pool) *Pool {
	p := NewPool()
	var engines []*Engine
	for _, e := range measured.engines {
		fresh := &Engine{Name: e.Name, Memory: e.Memory, Concurrency: e.Concurrency, Ejected: e.Ejected}
		fresh.Slowdown = fresh.MeasuredSlowdown
		engines = append(engines, fresh)
	}
	p.Configure(engines, measured.classes, nil)
	return p
}

// Guards against a coordinator that takes over and predicts gaps as if it knew nothing,
// until it has measured everything again.
func TestEstimatesAreHandedOn(t *testing.T) {
	measured, est := newMeasuredPool(t)
	p := freshPool(measured)
	if !p.Adopt(&est, 0) {
		t.Fatal("the estimates are not adopted")
	}
	if p.isInitial() || p.prefillRate != 150_000 || !p.engines[1].Decode {
		t.Errorf("initial %v, rate %.0f, decode engine %v", p.isInitial(), p.prefillRate, p.engines[1].Decode)
	}
	for i, e := range p.engines {
		if want := measured.engines[i].slowdown; e.slowdown < want*0.9 || e.slowdown > want*1.1 {
			t.Errorf("the slowdown of engine %d is %.2f, was %.2f", i, e.slowdown, want)
		}
	}
}

// Guards against estimates of engines and load as they were long ago.
func TestOldEstimatesAreNotAdopted(t *testing.T) {
	measured, est := newMeasuredPool(t)
	p := freshPool(measured)
	est.Age = EstimateLifetime
	if p.Adopt(&est, 0) || !p.isInitial() || p.prefillRateSamples > 0 || p.engines[2].slowdown != 1 {
		t.Error("estimates that are too old are adopted")
	}
	est.Age = EstimateLifetime / 2
	if !p.Adopt(&est, 0) || p.prefillRateSamples != 20 {
		t.Errorf("estimates of half that age count for %d samples, want 20", p.prefillRateSamples)
	}
}

// Guards against estimates of a predecessor that replace what the coordinator has
// measured itself meanwhile, since batches of several hosts bring them one after the
// other.
func TestOwnMeasurementsStay(t *testing.T) {
	measured, est := newMeasuredPool(t)
	p := freshPool(measured)
	p.prefillRate, p.prefillRateSamples = 90_000, 200
	p.engines[2].speed.Observe(10*time.Second, 10*time.Second, time.Second)
	p.Adopt(&est, 2*time.Second)
	if p.prefillRate != 90_000 || p.engines[2].slowdown != 1 {
		t.Errorf("rate %.0f, slowdown %.2f", p.prefillRate, p.engines[2].slowdown)
	}
}
