package completion

import "time"

const (
	// paceDecay is the factor by which the weight of a sample falls with each later one.
	paceDecay = 0.99
	// minPaceSamples is the number of samples below which no pace is known.
	minPaceSamples = 10
	// minIndependence is how different the samples must be in their share of prefill to
	// tell the two paces apart; 0 means that all are alike.
	minIndependence = 0.02
)

// Pace is how many events of each stream an engine generates per second. It is zero if
// it is unknown.
type Pace struct {
	// Rest is the pace without prefill, Prefilling that during prefill, which is never
	// higher.
	Rest, Prefilling float64
}

// At returns the pace of an engine that spends a share of its time on prefill.
func (p Pace) At(share float64) float64 { return p.Rest + share*(p.Prefilling-p.Rest) }

// Slowed returns the pace of an engine that takes longer by a factor.
func (p Pace) Slowed(factor float64) Pace {
	return Pace{Rest: p.Rest / factor, Prefilling: p.Prefilling / factor}
}

// PaceEstimate estimates the pace of the engines of a pool from their streams. The zero
// value has no samples.
type PaceEstimate struct {
	n int
	// The events of a stream are a linear function of its time at rest and its time
	// during prefill. These are the sums of a least-squares fit, weighted by the inverse
	// of the stream's time.
	rr, rp, pp, re, pe float64
	// fastest is the highest recent pace of a stream.
	fastest float64
}

// Observe records the number of events that a stream had in a time, of which the engine
// spent a share on prefill.
func (e *PaceEstimate) Observe(events float64, took time.Duration, share float64) {
	if took <= 0 || events <= 0 {
		return
	}
	e.n++
	t := took.Seconds()
	e.fastest = max(e.fastest*paceDecay, events/t)
	rest := 1 - share
	e.rr = e.rr*paceDecay + rest*rest*t
	e.rp = e.rp*paceDecay + rest*share*t
	e.pp = e.pp*paceDecay + share*share*t
	e.re = e.re*paceDecay + rest*events
	e.pe = e.pe*paceDecay + share*events
}

// Fastest returns the highest pace that engines may have: that at rest, or the highest
// of a stream while all samples have about the same share of prefill. A request that
// would end too late at the mean pace of loaded engines may still end in time.
func (e *PaceEstimate) Fastest() Pace {
	p := e.Pace()
	if p.Rest == p.Prefilling && p.Rest > 0 {
		p.Rest = max(p.Rest, e.fastest)
	}
	return p
}

// Pace returns the pace, or zero if it is unknown. If all samples have about the same
// share of prefill, both paces are the mean one.
func (e *PaceEstimate) Pace() Pace {
	if e.n < minPaceSamples {
		return Pace{}
	}
	total := e.rr + 2*e.rp + e.pp
	mean := (e.re + e.pe) / total
	det := e.rr*e.pp - e.rp*e.rp
	if det < minIndependence*total*total {
		return Pace{Rest: mean, Prefilling: mean}
	}
	p := Pace{Rest: (e.re*e.pp - e.pe*e.rp) / det, Prefilling: (e.pe*e.rr - e.re*e.rp) / det}
	if p.Prefilling > p.Rest || p.Rest <= 0 {
		return Pace{Rest: mean, Prefilling: mean}
	}
	p.Prefilling = max(p.Prefilling, 0)
	return p
}
