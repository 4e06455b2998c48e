package enginespeed

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testEvent      = 20 * time.Millisecond
	testPerRequest = 200 * time.Microsecond
	// testPerToken is the time of a token of prefill.
	testPerToken = 8 * time.Microsecond
)

// testPool simulates streams on engines with the given slowdowns.
type testPool struct {
	random    *rand.Rand
	slowdowns []float64
	speeds    []*Speed
	model     Model
	now       time.Duration
}

func newTestPool(slowdowns ...float64) *testPool {
	p := &testPool{random: rand.New(rand.NewPCG(1, 2)), slowdowns: slowdowns} //nolint:gosec // a test
	for range slowdowns {
		p.speeds = append(p.speeds, &Speed{})
	}
	return p
}

// run observes a stream on each engine in each round; engines at the end of the list
// have more prefill and more requests. In a part of the streams the engine stalls.
func (p *testPool) run(rounds int, stalls float64) {
	for range rounds {
		median := Median(p.speeds, &[]float64{})
		for i, s := range p.speeds {
			w := Work{Events: 10 + p.random.IntN(40), Running: float64(2*i + p.random.IntN(10))}
			w.Prefill = float64(w.Events) * float64(i) * 1000 * p.random.Float64()
			took := time.Duration(float64(w.Events)*(float64(testEvent)+w.Running*float64(testPerRequest)) + w.Prefill*float64(testPerToken))
			took = time.Duration(float64(took) * p.slowdowns[i])
			if p.random.Float64() < stalls {
				took = took * 3 / 2
			}
			p.now += 20 * time.Millisecond
			s.Observe(took, p.model.Predict(w), p.now)
			p.model.Observe(w, time.Duration(float64(took)/s.Slowdown(median)))
		}
	}
}

// check compares the estimates with the slowdowns.
func (p *testPool) check(t *testing.T) {
	t.Helper()
	median := Median(p.speeds, &[]float64{})
	for i, s := range p.speeds {
		if got := s.Slowdown(median); got < p.slowdowns[i]*0.75 || got > p.slowdowns[i]*1.33 {
			t.Errorf("the slowdown of engine %d is %.2f, want %.2f", i, got, p.slowdowns[i])
		}
	}
}

// Guards against taking an engine with much prefill for a slow one, and a slow engine
// without prefill for one like the others.
func TestPrefillDoesNotCountAsSlowness(t *testing.T) {
	p := newTestPool(2.4, 1, 1, 1, 1, 2.4)
	p.run(60, 0.3)
	p.check(t)
}

// Guards against choosing by speeds that nothing has shown: without observations, or
// with a single short one, engines are equal.
func TestFewObservationsShowNoSpeed(t *testing.T) {
	s := &Speed{}
	if got := s.Slowdown(1); got != 1 {
		t.Errorf("without observations the slowdown is %.2f", got)
	}
	s.Observe(20*time.Millisecond, 10*time.Millisecond, 0)
	if got := s.Slowdown(1); got != 1 {
		t.Errorf("after a short observation the slowdown is %.2f", got)
	}
}

// Guards against taking a silence for slowness: all periods that overlap with it are
// long, and only later ones show whether the engine has become slow.
func TestSilenceIsNotSlowness(t *testing.T) {
	p := newTestPool(1, 1, 1)
	p.run(40, 0)
	p.now += 5 * time.Second
	for range 20 {
		p.now += 10 * time.Millisecond
		p.speeds[0].Observe(6*time.Second, time.Second, p.now)
	}
	p.check(t)
}

// Guards against never learning that an engine has become slow, as its observations
// are far off what was known.
func TestLastingSlownessIsLearned(t *testing.T) {
	p := newTestPool(1, 1, 1, 1, 1)
	p.run(40, 0)
	p.slowdowns[0] = 3
	p.run(120, 0)
	p.check(t)
}
