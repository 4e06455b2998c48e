package enginespeed

import "time"

const (
	// sampleDecay is the factor by which the weight of a sample falls with each later
	// sample.
	sampleDecay = 0.998
	// minSamples is the number of samples below which nothing is predicted.
	minSamples = 12
	// ridge is added to the variances, relative to the squares of the means, so that
	// a factor that hardly varies gets no large coefficient.
	ridge = 0.01
)

// Work is what an engine has done during a period of one of its streams.
type Work struct {
	// Events is the number of events of the stream.
	Events int
	// Running is the mean number of requests that ran on the engine.
	Running float64
	// Prefill is the prefill of the engine, in tokens at the start of a prompt.
	Prefill float64
}

// prefillPerEvent returns the prefill for each event of the stream.
func (w *Work) prefillPerEvent() float64 { return w.Prefill / float64(max(1, w.Events)) }

// Model predicts how long an engine of median speed takes for some work: a weighted
// linear regression of the time of an event on the number of running requests and on
// the prefill for each event. The zero value has no samples.
type Model struct {
	// n is the sum of the weights. The others are weighted sums of the running
	// requests (r), the prefill (p) and the seconds (t), and of their products.
	n, r, p, t, rr, rp, pp, rt, pt float64
}

// Observe records how long some work has taken, at median speed.
func (m *Model) Observe(w Work, took time.Duration) {
	if w.Events <= 0 || took <= 0 {
		return
	}
	r, p, t := w.Running, w.prefillPerEvent(), took.Seconds()/float64(w.Events)
	for _, sum := range []struct {
		of    *float64
		value float64
	}{
		{&m.n, 1},
		{&m.r, r},
		{&m.p, p},
		{&m.t, t},
		{&m.rr, r * r},
		{&m.rp, r * p},
		{&m.pp, p * p},
		{&m.rt, r * t},
		{&m.pt, p * t},
	} {
		*sum.of = *sum.of*sampleDecay + sum.value
	}
}

// Predict returns how long an engine of median speed takes for some work, or zero if
// it is unknown.
func (m *Model) Predict(w Work) time.Duration {
	if m.n < minSamples {
		return 0
	}
	perRequest, perPrefill := m.slopes()
	meanR, meanP, meanT := m.r/m.n, m.p/m.n, m.t/m.n
	event := meanT + perRequest*(w.Running-meanR) + perPrefill*(w.prefillPerEvent()-meanP)
	// Keeps the time of an event without any load positive.
	event = max(event, meanT/maxInitialDeviation)
	return time.Duration(event * float64(w.Events) * float64(time.Second))
}

// slopes returns the seconds that each running request and each token of prefill add
// to an event. Neither is negative.
func (m *Model) slopes() (perRequest, perPrefill float64) {
	meanR, meanP, meanT := m.r/m.n, m.p/m.n, m.t/m.n
	rr := m.rr/m.n - meanR*meanR + ridge*meanR*meanR
	pp := m.pp/m.n - meanP*meanP + ridge*meanP*meanP
	rp := m.rp/m.n - meanR*meanP
	rt, pt := m.rt/m.n-meanR*meanT, m.pt/m.n-meanP*meanT
	if det := rr*pp - rp*rp; det > 0 {
		perRequest, perPrefill = (rt*pp-pt*rp)/det, (pt*rr-rt*rp)/det
	}
	if perRequest < 0 || perPrefill < 0 {
		perRequest, perPrefill = slope(rt, rr), slope(pt, pp)
		if perRequest*rt > perPrefill*pt {
			return perRequest, 0
		}
		return 0, perPrefill
	}
	return perRequest, perPrefill
}

// slope returns the slope of a regression on a single factor, or zero if it is
// negative.
func slope(covariance, variance float64) float64 {
	if variance <= 0 {
		return 0
	}
	return max(0, covariance/variance)
}
