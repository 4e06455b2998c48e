package interference

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// engine simulates the streams of an engine with a given time per event and a
// given most prefill time per event.
type engine struct{ baseEvent, maxPrefill time.Duration }

// stream returns a stream with a concurrent prefill, which in a quarter of the
// cases does not fall fully into the longest gap.
func (e engine) stream(random *rand.Rand, prefill time.Duration, slowdown float64) Stream {
	longest := e.baseEvent + min(prefill, time.Duration(float64(e.maxPrefill)*slowdown))
	if random.IntN(4) == 0 {
		longest = e.baseEvent + time.Duration(random.Int64N(int64(longest)))
	}
	return Stream{Events: 20, LongestGap: longest, Running: 10, ConcurrentPrefill: Prefill{Time: prefill, Slowdown: slowdown}}
}

func (e engine) train(m *Model, streams int) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a test
	for range streams {
		m.ObserveEvent(5+random.IntN(10), e.baseEvent)
		m.Observe(e.stream(random, time.Duration(random.Int64N(int64(400*ms))), 1+random.Float64()/2))
	}
}

// Guards against streams being delayed while the model has no samples: a prefill
// must then count as a gap of its whole length.
func TestUntrainedModelExpectsGapOfWholePrefill(t *testing.T) {
	m := &Model{}
	if got := m.ExpectedGap(10, Prefill{Time: 300 * ms}); got != 300*ms {
		t.Errorf("expected gap during a prefill of 300ms is %v", got)
	}
}

// For three engine speeds, the expected gap during a long prefill must be
// within 10% of the simulated one, and a short prefill must count with its whole
// length.
func TestModelLearnsGaps(t *testing.T) {
	for _, e := range []engine{{20 * ms, 100 * ms}, {50 * ms, 70 * ms}, {8 * ms, 15 * ms}} {
		m := &Model{}
		e.train(m, 600)
		want := e.baseEvent + e.maxPrefill
		if got := m.ExpectedGap(10, Prefill{Time: time.Second}); got < want*9/10 || got > want*11/10 {
			t.Errorf("%v: expected gap during a long prefill is %v, want %v", e, got, want)
		}
		if got := m.ExpectedGap(10, Prefill{Time: e.maxPrefill / 2}); got < (e.baseEvent+e.maxPrefill/2)*9/10 || got > (e.baseEvent+e.maxPrefill/2)*11/10 {
			t.Errorf("%v: expected gap during a prefill of half an event's maximum is %v", e, got)
		}
		if long := m.ExpectedGap(10, Prefill{Time: time.Second, Slowdown: 2}); long < e.baseEvent+e.maxPrefill*18/10 {
			t.Errorf("%v: expected gap at the end of a very long prompt is %v", e, long)
		}
	}
}

// Guards against learning from gaps that the daemon causes. If it hangs for seconds
// while responses pass through it, their gaps are no evidence about the engines.
func TestModelIgnoresGapsNotCausedByPrefill(t *testing.T) {
	e := engine{20 * ms, 100 * ms}
	m := &Model{}
	e.train(m, 600)
	before := m.MaxPrefill()
	for range 200 {
		m.Observe(Stream{Events: 20, LongestGap: 3 * time.Second, Running: 10, ConcurrentPrefill: Prefill{Time: 200 * ms}})
	}
	if m.MaxPrefill() != before {
		t.Errorf("most prefill time per event is %v, was %v", m.MaxPrefill(), before)
	}
}

// Guards against a full engine being taken for a straggler: events take longer
// the more requests run, and the model must learn by how much.
func TestModelLearnsSlowdownPerRequest(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // a test
	for _, perRun := range []float64{0, 0.003, 0.04} {
		m := &Model{}
		for range 500 {
			n := random.IntN(60)
			noise := 0.9 + random.Float64()/5
			m.ObserveEvent(n, time.Duration(float64(20*ms)*(1+perRun*float64(n))*noise))
		}
		if got := m.SlowdownPerRequest(); got < perRun*0.7-0.002 || got > perRun*1.3+0.002 {
			t.Errorf("slowdown per running request is %.4f, want %.4f", got, perRun)
		}
	}
}

// Guards against a division by zero when all samples have the same number of
// running requests and the same event time.
func TestEventTimeWithoutVariance(t *testing.T) {
	m := &Model{}
	for range 100 {
		m.ObserveEvent(7, 20*ms)
	}
	if m.SlowdownPerRequest() != 0 || m.EventTime(50) < 19*ms || m.EventTime(50) > 21*ms {
		t.Errorf("slowdown per running request is %v, event time at 50 requests is %v", m.SlowdownPerRequest(), m.EventTime(50))
	}
}
