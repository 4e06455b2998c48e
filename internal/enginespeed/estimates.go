package enginespeed

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

const (
	// maxAdoptedEvent is the longest mean time of an event that is adopted, in seconds.
	maxAdoptedEvent = 60
	// maxAdoptedRatio limits the ratios that are adopted in both directions.
	maxAdoptedRatio = 100
	// rounding is the relative error of sums.
	rounding = 1e-6
)

// Moments are the weighted sums of a Model, the first of which is that of the weights.
type Moments [9]float64

// Moments returns the sums of the model.
func (m *Model) Moments() Moments {
	return Moments{m.n, m.r, m.p, m.t, m.rr, m.rp, m.pp, m.rt, m.pt}
}

// Adopt replaces the sums of the model by those of another one if that has more
// samples and they can be such sums. The weight, at most 1, is by how much those samples
// count; they never count more than a model's own.
func (m *Model) Adopt(s Moments, weight float64) {
	if !s.isValid() {
		return
	}
	weight *= min(1, 1/(1-sampleDecay)/s[0])
	if weight*s[0] <= m.n {
		return
	}
	for i := range s {
		s[i] *= weight
	}
	*m = Model{n: s[0], r: s[1], p: s[2], t: s[3], rr: s[4], rp: s[5], pp: s[6], rt: s[7], pt: s[8]}
}

// MaxObserved is the longest time for which an engine counts as observed; the sums decay.
const MaxObserved = 10 * time.Minute

// Observed returns the time that the engine has taken relative to the expected time,
// and the expected time; zero if it was not observed.
func (s *Speed) Observed() (ratio float64, expected time.Duration) {
	if s.expected == 0 {
		return 0, 0
	}
	return s.ratio(), time.Duration(s.expected * float64(time.Second))
}

// Adopt replaces the estimate by that of another coordinator if that has observed the
// engine for longer and can be one.
func (s *Speed) Adopt(ratio float64, expected, now time.Duration) {
	if expected.Seconds() <= s.expected || !stat.InRange(ratio, 1.0/maxAdoptedRatio, maxAdoptedRatio) {
		return
	}
	*s = Speed{elapsed: ratio * expected.Seconds(), expected: expected.Seconds(), observedAt: now}
}

// isValid reports whether samples can have such sums.
func (s Moments) isValid() bool {
	for _, v := range s {
		if !stat.InRange(v, 0, math.MaxFloat64) {
			return false
		}
	}
	n, r, p, t, rr, rp, pp := s[0], s[1], s[2], s[3], s[4], s[5], s[6]
	const upTo = 1 + rounding
	return n > 0 && t > 0 && t <= maxAdoptedEvent*n &&
		r*r <= upTo*n*rr && p*p <= upTo*n*pp && rp*rp <= upTo*rr*pp
}
