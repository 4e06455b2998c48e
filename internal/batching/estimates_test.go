package batching

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/enginespeed"
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

// Guards against values that no engine has: they would never be forgotten, and be handed
// on to the next coordinator. What is valid in the same message is adopted.
func TestInvalidEstimatesAreNotAdopted(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for name, spoil := range map[string]func(est *Estimates, class *ClassEstimate){
		"work NaN":          func(est *Estimates, _ *ClassEstimate) { est.Work[4] = nan },
		"work infinite":     func(est *Estimates, _ *ClassEstimate) { est.Work[0] = inf },
		"work impossible":   func(est *Estimates, _ *ClassEstimate) { est.Work[4] = 0 },
		"no rate":           func(est *Estimates, _ *ClassEstimate) { est.PrefillRate = 0 },
		"rate NaN":          func(est *Estimates, _ *ClassEstimate) { est.PrefillRate = nan },
		"no overhead":       func(est *Estimates, _ *ClassEstimate) { est.Overhead, est.OverheadSamples = 0, 50 },
		"event NaN":         func(est *Estimates, _ *ClassEstimate) { est.Interference.Event[3] = nan },
		"event infinite":    func(est *Estimates, _ *ClassEstimate) { est.Interference.Event[0] = inf },
		"prefill NaN":       func(est *Estimates, _ *ClassEstimate) { est.Interference.MaxPrefill = nan },
		"no prefill":        func(est *Estimates, _ *ClassEstimate) { est.Interference.MaxPrefill = 0 },
		"ratio zero":        func(est *Estimates, _ *ClassEstimate) { est.Engines[2].Ratio = 0 },
		"ratio NaN":         func(est *Estimates, _ *ClassEstimate) { est.Engines[2].Ratio = nan },
		"violations":        func(_ *Estimates, class *ClassEstimate) { class.Violations = 1e300 },
		"violations NaN":    func(_ *Estimates, class *ClassEstimate) { class.Violations = nan },
		"run time zero":     func(_ *Estimates, class *ClassEstimate) { class.RunTime = 0 },
		"run time negative": func(_ *Estimates, class *ClassEstimate) { class.RunTime = -time.Second },
		"negative age":      func(est *Estimates, _ *ClassEstimate) { est.Age = -time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			measured, _ := newMeasuredPool(t)
			for range 100 {
				measured.speed.work.Observe(enginespeed.Work{Events: 10, Running: 5}, time.Second)
			}
			est, _ := measured.Estimates(2 * time.Second)
			class := ClassEstimate{RunTime: 3 * time.Second, Runs: 50, Violations: 1, Protected: true}
			spoil(&est, &class)
			p := freshPool(measured)
			p.classes = []*Class{{Pause: 200 * time.Millisecond, Waiting: func() int { return 0 }}}
			adopted := p.Adopt(&est, 0)
			p.AdoptClass(p.classes[0], class, est.Age)
			if adopted != (est.Age >= 0) {
				t.Errorf("adopted: %v", adopted)
			}
			if adopted && p.engines[5].slowdown < 2 {
				t.Errorf("the slowdown of another engine is %.2f", p.engines[5].slowdown)
			}
			if n := p.speed.work.Moments()[0]; (n > 0) != (adopted && !strings.HasPrefix(name, "work")) {
				t.Errorf("the work counts for %.0f samples", n)
			}
			p.measuredAt, p.hasMeasured = 0, true
			again, _ := p.Estimates(0)
			for i, v := range append(again.Work[:], again.Interference.Event[:]...) {
				if math.IsNaN(v) || math.IsInf(v, 0) {
					t.Errorf("sum %d is handed on as %v", i, v)
				}
			}
			if !(again.PrefillRate > 0) || again.Overhead <= 0 || !(again.Interference.MaxPrefill > 0) && again.Interference.MaxPrefillSamples > 0 {
				t.Errorf("handed on: %+v", again)
			}
			for _, e := range again.Engines {
				if e.Observed > 0 && !(e.Ratio > 0) {
					t.Errorf("handed on: %+v", e)
				}
			}
			if c := p.classes[0].Estimate(); !(c.Violations <= 10) || c.RunTime <= 0 && c.Runs > 0 {
				t.Errorf("handed on: %+v", c)
			}
		})
	}
}

// Guards against adopted estimates that count for so much that the coordinator's own
// measurements never outweigh them.
func TestAdoptedWeightsAreLimited(t *testing.T) {
	measured, _ := newMeasuredPool(t)
	work := enginespeed.Work{Events: 10, Running: 5}
	for range 100 {
		measured.speed.work.Observe(work, time.Second)
	}
	est, _ := measured.Estimates(time.Second)
	for i := range est.Work {
		est.Work[i] *= 1e6
	}
	for i := range est.Interference.Event {
		est.Interference.Event[i] *= 1e6
	}
	est.Interference.MaxPrefillSamples = 1 << 30
	est.Engines[0].Observed = 1000 * time.Hour
	p := freshPool(measured)
	if !p.Adopt(&est, 0) {
		t.Fatal("the estimates are not adopted")
	}
	again := p.model.Estimates()
	_, observed := p.engines[0].speed.Observed()
	if n := p.speed.work.Moments()[0]; n < 100 || n > 501 {
		t.Errorf("the work counts for %.0f samples", n)
	}
	if n := again.Event[0]; n < 100 || n > 334 {
		t.Errorf("events count for %.0f samples", n)
	}
	if again.MaxPrefillSamples > 100 || observed > 32*enginespeed.Window {
		t.Errorf("%d samples of the prefill, engine observed for %v", again.MaxPrefillSamples, observed)
	}
}

// Guards against a peak that was measured long ago and counts as a present one.
func TestAdoptedViolationsAge(t *testing.T) {
	measured, _ := newMeasuredPool(t)
	p := freshPool(measured)
	q := &Class{}
	p.AdoptClass(q, ClassEstimate{Violations: 10}, 2*peakDecayTime)
	if q.violationsPeak < 1.3 || q.violationsPeak > 1.4 {
		t.Errorf("after two time constants a peak of 10 counts as %.2f", q.violationsPeak)
	}
}

// Guards against messages that name different decode engines and together reserve most
// of the cell.
func TestMessagesReserveNoMoreThanTheCap(t *testing.T) {
	measured, est := newMeasuredPool(t)
	p := freshPool(measured)
	for _, names := range []string{"abcde", "cdef", "af"} {
		for i := range est.Engines {
			est.Engines[i].Decode = strings.Contains(names, est.Engines[i].Name)
		}
		p.Adopt(&est, 0)
	}
	n := 0
	for _, e := range p.engines {
		if e.Decode {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d of 6 engines are reserved, want 3", n)
	}
}
