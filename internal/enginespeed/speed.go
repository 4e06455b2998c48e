// Package enginespeed estimates how fast batching engines are relative to each
// other. The time that an engine takes for a token depends more on the prompts that
// it processes and on the requests that it runs than on its speed. So each period
// of a stream is compared with the time that an engine of median speed would have
// needed for the same work; package-level Work predicts that time.
//
// The package performs no I/O; callers pass the time.
package enginespeed

import (
	"math"
	"slices"
	"time"
)

const (
	// Window is the time constant of the estimate. It spans several stalls of an
	// engine, which last some hundreds of milliseconds.
	Window = 4 * time.Second
	// maxIdle limits the time between two observations that counts for the decay, so
	// that an engine that runs nothing keeps its estimate.
	maxIdle = 200 * time.Millisecond
	// priorWeight is the expected time at which observations count as much as the
	// assumption that the engine is of median speed.
	priorWeight = 100 * time.Millisecond
	// maxDeviation is the greatest factor by which an observation may differ from the
	// ratio that is known: a silence or a slow caller has other causes than the speed.
	// A change that lasts is followed nevertheless.
	maxDeviation = 2
	// maxInitialDeviation is the same while little is known.
	maxInitialDeviation = 4
	// minRatio is the ratio of speeds below which engines are treated as equal. It is
	// above the errors of the estimates.
	minRatio = 1.3
	// maxSlowdown limits the slowdown in both directions.
	maxSlowdown = 5
)

// Speed is the estimate for one engine. The zero value has no observations.
type Speed struct {
	// elapsed and expected are the decayed sums of the observed times and of those
	// that an engine of median speed was expected to take, in seconds.
	elapsed, expected float64
	observedAt        time.Duration
	// outlierAt is when the first of the last outliers was observed, if hasOutlier.
	outlierAt  time.Duration
	hasOutlier bool
}

// Observe records that work for which an engine of median speed would have needed
// the expected time has taken the elapsed time. It returns false if that is ignored as
// an outlier, or if nothing was expected.
func (s *Speed) Observe(elapsed, expected, now time.Duration) bool {
	if elapsed <= 0 || expected <= 0 {
		return false
	}
	ratio := elapsed.Seconds() / expected.Seconds()
	if s.isOutlier(ratio, now-elapsed, now) {
		return false
	}
	idle := min(max(now-s.observedAt, 0), maxIdle)
	decay := math.Exp(-idle.Seconds() / Window.Seconds())
	s.elapsed = s.elapsed*decay + expected.Seconds()*s.bounded(ratio)
	s.expected = s.expected*decay + expected.Seconds()
	s.observedAt = now
	return true
}

// isOutlier reports whether a ratio that was observed from begin to now is too far from
// the known one to count. Such a period contains a silence, as any other one does that
// overlaps with it; but if a later period is as far off, the speed has changed.
func (s *Speed) isOutlier(ratio float64, begin, now time.Duration) bool {
	switch {
	case s.bounded(ratio) == ratio:
		s.hasOutlier = s.hasOutlier && begin < s.outlierAt
		return false
	case s.hasOutlier:
		return begin < s.outlierAt
	}
	s.outlierAt, s.hasOutlier = now, true
	return true
}

// bounded limits the ratio of an observation.
func (s *Speed) bounded(ratio float64) float64 {
	known, deviation := 1.0, float64(maxInitialDeviation)
	if s.expected > priorWeight.Seconds() {
		known, deviation = s.ratio(), maxDeviation
	}
	return min(max(ratio, known/deviation), known*deviation)
}

// Slowdown returns the processing time of the engine relative to one whose ratio is
// the median. Values above 1 are slower. With few observations it is close to 1.
func (s *Speed) Slowdown(median float64) float64 {
	if s.expected == 0 || median <= 0 {
		return 1
	}
	weight := s.expected / (s.expected + priorWeight.Seconds())
	slowdown := math.Pow(s.ratio()/median, weight)
	if slowdown < minRatio && slowdown > 1/minRatio {
		return 1
	}
	return min(max(slowdown, 1.0/maxSlowdown), maxSlowdown)
}

// ratio returns the observed time relative to the expected one.
func (s *Speed) ratio() float64 { return s.elapsed / s.expected }

// Median returns the lower median of the ratios of the engines that were observed, or
// zero if there are fewer than two. It reuses the memory of scratch.
func Median(speeds []*Speed, scratch *[]float64) float64 {
	ratios := (*scratch)[:0]
	for _, s := range speeds {
		if s.expected > 0 {
			ratios = append(ratios, s.ratio())
		}
	}
	*scratch = ratios
	if len(ratios) < 2 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}
