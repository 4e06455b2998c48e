package batching

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/enginespeed"
	"github.com/beechhead/beechhead/internal/stat"
)

// A gap that a prefill causes is proportional to the time that the engine takes for
// a step. So the estimates of the pool are those of an engine of median speed:
// observations are divided by the slowdown of their engine, and predictions are
// multiplied by it.

// minSpeedEvents is the number of events that a period of a stream must have to be a
// sample of the engine's speed.
const minSpeedEvents = 4

// decodeSpeedRatio is the ratio of slowdowns from which on the faster engine is
// preferred as a decode engine, whatever both run. It is above the errors of the
// estimates.
const decodeSpeedRatio = 1.4

// maxWorkDeviation limits a sample of the work relative to the expected time. A change
// that lasts is followed nevertheless.
const maxWorkDeviation = 2

// streamMark is the state of a stream and its engine at the beginning of a period.
type streamMark struct {
	set     bool
	events  int
	elapsed time.Duration
	// prefilled is the prefill that the engine had completed, in tokens at the start
	// of a prompt, running the number of requests that it ran.
	prefilled float64
	running   int
}

// speedEstimates are the estimates of the engines' speeds.
type speedEstimates struct {
	work enginespeed.Model
	// slowdowns are those of the engines that batch, in ascending order.
	slowdowns []float64
	speeds    []*enginespeed.Speed
	scratch   []float64
}

// MeasuresSpeed reports whether the speeds of the engines are measured: only gap
// targets need them.
func (p *Pool) MeasuresSpeed() bool {
	return p.hasBatching && p.hasGapTargets && !p.isDisabled(EngineSpeed)
}

// MeasuredSlowdown returns the processing time of the engine relative to one of
// median speed.
func (e *Engine) MeasuredSlowdown() float64 { return e.slowdown }

// muchFasterThan reports whether the speed of an engine alone makes it the better
// decode engine.
func (e *Engine) muchFasterThan(other *Engine) bool {
	return e.slowdown*decodeSpeedRatio < other.slowdown
}

// slowdownOf returns the slowdown of an engine by which the estimates of the pool are
// scaled; 1 if speeds are not measured.
func (p *Pool) slowdownOf(e *Engine) float64 {
	if !p.MeasuresSpeed() {
		return 1
	}
	return e.slowdown
}

// atMedianSpeed converts a time of an engine to that of one of median speed.
func (p *Pool) atMedianSpeed(e *Engine, took time.Duration) time.Duration {
	return time.Duration(float64(took) / p.slowdownOf(e))
}

// isInitial reports whether too few streams have shown what prefills do to them, so
// that the configuration decides.
func (p *Pool) isInitial() bool { return p.model.MaxPrefill() == 0 && !p.isDisabled(InitialDecode) }

// reviewSpeeds compares the engines with their median.
func (p *Pool) reviewSpeeds() {
	s := &p.speed
	s.speeds, s.slowdowns = s.speeds[:0], s.slowdowns[:0]
	for _, e := range p.engines {
		if e.Memory > 0 {
			s.speeds = append(s.speeds, &e.speed)
		}
	}
	median := enginespeed.Median(s.speeds, &s.scratch)
	for _, e := range p.engines {
		if e.slowdown = e.speed.Slowdown(median); e.Memory > 0 {
			s.slowdowns = append(s.slowdowns, e.slowdown)
		}
	}
	slices.Sort(s.slowdowns)
}

// slowerShare returns the share of the engines that are slower than a given slowdown.
func (s *speedEstimates) slowerShare(slowdown float64) float64 {
	if len(s.slowdowns) == 0 {
		return 0
	}
	notSlower, _ := slices.BinarySearch(s.slowdowns, slowdown)
	return 1 - float64(notSlower)/float64(len(s.slowdowns))
}

// InheritSpeed takes over the speed of the engine that has run on the same hardware
// before.
func (e *Engine) InheritSpeed(before *Engine) { e.speed = before.speed }

// mark begins a period of a request's stream.
func (e *Engine) mark(g *RequestState, events int, elapsed time.Duration) {
	g.mark = streamMark{set: true, events: events, elapsed: elapsed, prefilled: e.prefilled, running: e.Running}
}

// RecordProgress records how many events of a request's stream have been received, in
// the given time since the first one.
func (p *Pool) RecordProgress(e *Engine, g *RequestState, events int, elapsed, now time.Duration) {
	m := &g.mark
	if !p.MeasuresSpeed() || !m.set || events-m.events < minSpeedEvents || elapsed <= m.elapsed {
		return
	}
	work := enginespeed.Work{
		Events:  events - m.events,
		Running: float64(m.running+e.Running) / 2,
		Prefill: e.prefilled - m.prefilled,
	}
	took := elapsed - m.elapsed
	p.observeWork(e, work, took, now)
	e.mark(g, events, elapsed)
	p.measuredAt, p.hasMeasured = now, true
}

// observeWork records how long an engine has taken for some work. What its speed
// ignores teaches the model nothing either: in a silence of all engines, every period
// is an outlier.
func (p *Pool) observeWork(e *Engine, work enginespeed.Work, took, now time.Duration) {
	expected := p.speed.work.Predict(work)
	counted := e.speed.Observe(took, expected, now)
	atMedian := stat.Seconds(took.Seconds() / e.slowdown)
	if expected > 0 {
		if !counted {
			return
		}
		atMedian = min(atMedian, maxWorkDeviation*expected)
	}
	p.speed.work.Observe(work, atMedian)
}
