package batching

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/enginespeed"
	"github.com/beechhead/beechhead/internal/interference"
	"github.com/beechhead/beechhead/internal/stat"
)

// A coordinator that takes a cell over knows the requests that run, but has measured
// nothing: until it has, it admits prefills that delay streams, and uses slow engines
// like fast ones. So it is given the estimates of its predecessor.

// EstimateLifetime is the age from which on estimates are not adopted. Younger ones
// count the less the older they are.
const EstimateLifetime = time.Minute

// maxAdoptedSamples limits the number of samples for which adopted estimates count, so
// that the coordinator's own measurements soon outweigh them.
const maxAdoptedSamples = 100

// Values beyond these are not estimates of any engine, and are not adopted: they would
// not be forgotten, and be handed on again.
const (
	// maxAdoptedRate is in tokens per second.
	maxAdoptedRate     = 1e8
	maxAdoptedOverhead = 10 * time.Second
	maxAdoptedRunTime  = time.Hour
	// maxAdoptedViolations is in prefills per second.
	maxAdoptedViolations = 1e5
)

// Estimates is what a pool has measured.
type Estimates struct {
	// Age is the age of the newest measurement.
	Age time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate        float64
	PrefillRateSamples int
	Overhead           time.Duration
	OverheadSamples    int
	Interference       interference.Estimates
	Work               enginespeed.Moments
	Engines            []EngineEstimate
}

// EngineEstimate is the speed of an engine.
type EngineEstimate struct {
	Name string
	// Ratio is the time that the engine has taken relative to the time that was
	// expected, Observed the expected time.
	Ratio    float64
	Observed time.Duration
	Decode   bool
}

// ClassEstimate is what a pool has measured of a class.
type ClassEstimate struct {
	// RunTime is the mean run time of its requests.
	RunTime time.Duration
	Runs    int
	// Violations is the rate of prefills that exceed the gap limit of its streams, per
	// second.
	Violations float64
	Protected  bool
}

// Estimates returns the estimates of the pool; false if there are none, or if no class
// needs them.
func (p *Pool) Estimates(now time.Duration) (est Estimates, ok bool) {
	if !p.MeasuresSpeed() || !p.hasMeasured || p.isDisabled(HandedEstimates) {
		return Estimates{}, false
	}
	est = Estimates{
		Age:                now - p.measuredAt,
		PrefillRate:        p.prefillRate,
		PrefillRateSamples: p.prefillRateSamples,
		Overhead:           p.overhead,
		OverheadSamples:    p.overheadSamples,
		Interference:       p.model.Estimates(),
		Work:               p.speed.work.Moments(),
	}
	for _, e := range p.engines {
		if ratio, observed := e.speed.Observed(); observed > 0 || e.Decode {
			est.Engines = append(est.Engines, EngineEstimate{Name: e.Name, Ratio: ratio, Observed: observed, Decode: e.Decode && !e.releasing})
		}
	}
	return est, true
}

// Adopt adopts those of the estimates of another coordinator that have more samples
// than the pool's own, except what can't be an estimate. It reports whether they are
// recent enough for that.
func (p *Pool) Adopt(est *Estimates, now time.Duration) bool {
	weight := est.weight()
	if weight == 0 || !p.MeasuresSpeed() || p.isDisabled(HandedEstimates) {
		return false
	}
	if n := adoptedSamples(est.PrefillRateSamples, weight); n > p.prefillRateSamples && stat.InRange(est.PrefillRate, 1, maxAdoptedRate) {
		p.prefillRate, p.prefillRateSamples = est.PrefillRate, n
	}
	if n := adoptedSamples(est.OverheadSamples, weight); n > p.overheadSamples && est.Overhead > 0 && est.Overhead <= maxAdoptedOverhead {
		p.overhead, p.overheadSamples = est.Overhead, n
	}
	p.model.Adopt(est.Interference, weight)
	p.speed.work.Adopt(est.Work, weight)
	p.adoptEngines(est.Engines, weight, now)
	if measured := now - est.Age; !p.hasMeasured || measured > p.measuredAt {
		p.hasMeasured, p.measuredAt = true, measured
	}
	return true
}

// adoptEngines adopts the speeds of the engines, and which of them were reserved for
// decoding if none is here. A second message reserves no others.
func (p *Pool) adoptEngines(engines []EngineEstimate, weight float64, now time.Duration) {
	byName := make(map[string]*Engine, len(p.engines))
	for _, e := range p.engines {
		byName[e.Name] = e
	}
	reserved := 0
	for _, e := range p.engines {
		if e.Decode {
			reserved++
		}
	}
	most := 0
	if reserved == 0 {
		most = max(1, int(maxDecodeShare*float64(len(p.engines))))
	}
	for _, est := range engines {
		e := byName[est.Name]
		if e == nil {
			continue
		}
		// Each stream is observed for at most the window of the sums.
		observed := min(est.Observed, time.Duration(max(1, e.Concurrency))*enginespeed.Window)
		e.speed.Adopt(est.Ratio, time.Duration(weight*float64(observed)), now)
		if est.Decode && !e.Decode && reserved < most {
			e.Decode = true
			reserved++
		}
	}
	p.reviewSpeeds()
}

// Estimate returns the estimate of a class.
func (q *Class) Estimate() ClassEstimate {
	return ClassEstimate{RunTime: stat.Seconds(q.runTime.Value), Runs: q.runTime.N, Violations: q.violationsPeak, Protected: q.protected}
}

// AdoptClass adopts what another coordinator has measured of a class, if the pool has
// measured less.
func (p *Pool) AdoptClass(q *Class, est ClassEstimate, age time.Duration) {
	weight := (&Estimates{Age: age}).weight()
	if weight == 0 || !p.MeasuresSpeed() || p.isDisabled(HandedEstimates) {
		return
	}
	if n := adoptedSamples(est.Runs, weight); n > q.runTime.N && est.RunTime > 0 && est.RunTime <= maxAdoptedRunTime {
		q.runTime = stat.Mean{Value: est.RunTime.Seconds(), N: n}
	}
	violations := est.Violations * math.Exp(-age.Seconds()/peakDecayTime.Seconds())
	if violations > q.violationsPeak && stat.InRange(est.Violations, 0, maxAdoptedViolations) {
		q.violationsPeak, q.protected = violations, q.protected || est.Protected
	}
}

// weight returns by how much the samples of the estimates count, from 0 to 1.
func (est *Estimates) weight() float64 {
	if est.Age < 0 {
		return 0
	}
	return max(0, 1-est.Age.Seconds()/EstimateLifetime.Seconds())
}

// adoptedSamples returns the number of samples for which an adopted estimate counts.
func adoptedSamples(n int, weight float64) int {
	return int(weight * float64(min(n, maxAdoptedSamples)))
}
