package batching

import (
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/enginespeed"
	"github.com/beechhead/beechhead/internal/interference"
)

// newSpeedPool returns a pool of which every third engine is 2.4 times slower, after
// streams have shown it. An event takes 30 ms at median speed and holds up to 110 ms of
// prefill.
func newSpeedPool(engines int, disabled ...Mechanism) (*Pool, *Class) {
	urgent := &Class{Target: 250 * time.Millisecond, Pause: 200 * time.Millisecond, Waiting: func() int { return 0 }}
	patient := &Class{Tier: 2, Target: 1500 * time.Millisecond, Pause: 800 * time.Millisecond, Waiting: func() int { return 0 }}
	all := make([]*Engine, engines)
	for i := range all {
		e := &Engine{Memory: 100_000, Concurrency: 32, Ejected: func(time.Duration) bool { return false }}
		e.Slowdown = e.MeasuredSlowdown
		if all[i] = e; i%3 == 2 {
			e.speed.Observe(2400*time.Millisecond, time.Second, time.Second)
		} else {
			e.speed.Observe(time.Second, time.Second, time.Second)
		}
	}
	p := NewPool()
	p.Configure(all, []*Class{urgent, patient}, disabled)
	for range 100 {
		p.model.ObserveEvent(10, 30*time.Millisecond)
		p.model.Observe(interference.Stream{
			Events: 20, Running: 10, LongestGap: 140 * time.Millisecond,
			ConcurrentPrefill: interference.Prefill{Time: 500 * time.Millisecond, Slowdown: 1},
		})
	}
	return p, urgent
}

// Guards against judging a prefill by the mean of engines that differ in speed: it is
// harmless on a fast engine and makes gaps too long on a slow one.
func TestGapDependsOnSpeed(t *testing.T) {
	p, _ := newSpeedPool(6)
	p.minGapLimit = 176 * time.Millisecond
	prefill := 300 * time.Millisecond
	if fast := p.engines[0]; p.ExceedsGapLimit(fast, prefill, 2000) {
		t.Error("a prefill exceeds the gap limit on a fast engine")
	}
	if slow := p.engines[2]; !p.ExceedsGapLimit(slow, prefill, 2000) {
		t.Error("a prefill does not exceed the gap limit on a slow engine")
	}
}

// Guards against decode engines that are slow although fast ones could be reserved,
// whatever either runs.
func TestDecodeEnginesAreFast(t *testing.T) {
	p, urgent := newSpeedPool(9)
	for _, e := range p.engines {
		if e.slowdown == 1 {
			e.longRequests = 5
		}
	}
	urgent.Running, urgent.protected = 60, true
	for now := time.Second; now < 3*time.Second; now += decodeReviewInterval {
		p.RecordPrefillDemand(&RequestState{Class: p.classes[1], Prompt: Prompt{Tokens: 30_000, ResponseTokens: 300}}, now)
		p.Review(now)
	}
	if p.decodeEngines == 0 {
		t.Fatal("no engine is reserved for decoding")
	}
	for i, e := range p.engines {
		if e.Decode && e.slowdown > 1 {
			t.Errorf("engine %d is reserved for decoding with a slowdown of %.1f", i, e.slowdown)
		}
	}
}

// Decode engines are chosen before their speeds are known. Guards against keeping the
// slow ones.
func TestSlowDecodeEnginesAreReplaced(t *testing.T) {
	p, urgent := newSpeedPool(9)
	slow := p.engines[2]
	slow.Decode, slow.protected = true, 3
	urgent.Running, urgent.protected = 20, true
	for now := time.Second; now < 2*time.Second; now += decodeReviewInterval {
		p.RecordPrefillDemand(&RequestState{Class: p.classes[1], Prompt: Prompt{Tokens: 30_000, ResponseTokens: 300}}, now)
		p.Review(now)
	}
	if !slow.releasing {
		t.Error("a slow engine stays reserved for decoding although fast ones are free")
	}
}

// Guards against admitting everything as if gaps were unknown at the start of load:
// before any stream has ended, the first long prompt shows that the class with the
// shortest gap has to be protected.
func TestConfigurationProtectsAtTheStart(t *testing.T) {
	for _, c := range []struct {
		disabled []Mechanism
		want     bool
	}{{nil, true}, {[]Mechanism{InitialDecode}, false}} {
		p, urgent := newSpeedPool(300, c.disabled...)
		p.model = interference.Model{}
		prompt := Prompt{Tokens: 600, ResponseTokens: 300}
		for i := range 10 {
			p.RecordArrival(urgent, &prompt, time.Duration(i)*20*time.Millisecond)
		}
		urgent.Running = 10
		p.Review(200 * time.Millisecond)
		p.RecordPrefillDemand(&RequestState{Class: p.classes[1], Prompt: Prompt{Tokens: 30_000, ResponseTokens: 300}}, 210*time.Millisecond)
		p.Review(300 * time.Millisecond)
		if urgent.protected != c.want {
			t.Errorf("disabled %v: protected %v, want %v", c.disabled, urgent.protected, c.want)
		}
	}
}

// Guards against a single long prompt that reserves engines for ever where no further
// one shows what it does to the streams.
func TestInitialProtectionEnds(t *testing.T) {
	p, urgent := newSpeedPool(20)
	p.model = interference.Model{}
	prompt := Prompt{Tokens: 600, ResponseTokens: 300}
	urgent.Running = 400
	most := 0
	for now := time.Duration(0); now < 3*time.Minute; now += 50 * time.Millisecond {
		for range 10 {
			p.RecordArrival(urgent, &prompt, now)
		}
		if now == 150*time.Millisecond {
			p.RecordPrefillDemand(&RequestState{Class: p.classes[1], Prompt: Prompt{Tokens: 30_000, ResponseTokens: 300}}, now)
		}
		p.Review(now)
		most = max(most, p.decodeEngines)
		if now >= 30*time.Second && (urgent.protected || p.minGapLimit > 0) {
			t.Fatalf("protected after %v, %d engines reserved", now, p.decodeEngines)
		}
	}
	if most == 0 || most > 12 {
		t.Errorf("up to %d of 20 engines were reserved, want 1 to 12", most)
	}
}

// Guards against taking a silence of all engines for the time that their work needs:
// afterwards, engines would differ from it by how soon they are observed again.
func TestSilenceTeachesNoWork(t *testing.T) {
	p, _ := newSpeedPool(20)
	for _, e := range p.engines {
		e.speed = enginespeed.Speed{}
	}
	const event = 30 * time.Millisecond
	now := time.Second
	// Each engine runs several streams, which report alternately.
	streams := make([]RequestState, 160)
	observe := func(silence time.Duration) {
		for i := range streams {
			e, g := p.engines[i%len(p.engines)], &streams[i]
			elapsed := 10*event + silence
			e.mark(g, 0, 0)
			p.RecordProgress(e, g, 10, elapsed, now)
		}
		p.reviewSpeeds()
	}
	for range 20 {
		now += 10 * event
		observe(0)
	}
	now += 5 * time.Second
	observe(5 * time.Second)
	work := enginespeed.Work{Events: 1}
	if got := p.speed.work.Predict(work); got > event*11/10 {
		t.Errorf("after a silence of all engines an event is expected to take %v, want %v", got, event)
	}
	for range 20 {
		now += 10 * event
		observe(0)
	}
	for i, e := range p.engines {
		if e.slowdown != 1 {
			t.Errorf("the slowdown of engine %d is %.2f", i, e.slowdown)
		}
	}
}

// Guards against never learning that all engines have become slow, as their first
// periods are ignored and the later ones are limited.
func TestLastingSlownessOfAllIsLearned(t *testing.T) {
	p, _ := newSpeedPool(20)
	work := enginespeed.Work{Events: 10}
	now := time.Second
	observe := func(took time.Duration, rounds int) {
		for range rounds {
			now += took
			for _, e := range p.engines {
				p.observeWork(e, work, took, now)
			}
		}
		p.reviewSpeeds()
	}
	for _, e := range p.engines {
		e.speed = enginespeed.Speed{}
	}
	p.reviewSpeeds()
	observe(300*time.Millisecond, 40)
	observe(900*time.Millisecond, 100)
	if got := p.speed.work.Predict(work); got < 800*time.Millisecond || got > time.Second {
		t.Errorf("ten events are expected to take %v, want 900ms", got)
	}
}

// Guards against guesses that reserve most of a small pool: one engine too many is a
// large share of it.
func TestSmallPoolsGuessNoRunTime(t *testing.T) {
	for engines, want := range map[int]float64{2: 0.3, 3: 0.3, 4: 0.3, 6: 0.3, 60: 2} {
		p, urgent := newSpeedPool(engines)
		urgent.RecordRunTime(300 * time.Millisecond)
		if got := p.meanRunTime(urgent); got != want {
			t.Errorf("%d engines: a run is assumed to take %.1f s, want %.1f s", engines, got, want)
		}
	}
}
