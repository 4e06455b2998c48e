// Package admission decides whether a queue will serve a request while its caller
// waits, and when a caller that is refused should return. It performs no I/O and is
// handed the time.
package admission

import (
	"math"
	"time"
)

const (
	// paceWindow is the time constant of the exponential decay of a pace.
	paceWindow = 10 * time.Second
	// minBacklogged is how long a queue must have been backlogged, within the window,
	// for its pace to be known.
	minBacklogged = time.Second
	// silenceIntervals is the number of usual intervals between grants, silenceRunTimes
	// that of run times, and minSilence the time, after which a queue without grants is
	// silent. Requests that were granted together end together.
	silenceIntervals = 20
	silenceRunTimes  = 2
	minSilence       = 250 * time.Millisecond
	// settleTime is how long after a silence the pace is not used: the queue is still
	// that of the silence.
	settleTime = time.Second
)

// Pace measures the rate of grants while a queue is backlogged. The rate of all grants
// would be that of the arrivals while nothing waits.
type Pace struct {
	// RunTime is how long a slot is taken by a request.
	RunTime time.Duration

	// grants and backlogged are the decayed number of grants and the time in which they
	// were made.
	grants     float64
	backlogged time.Duration
	// pending is the backlogged time since the last grant.
	pending time.Duration
	last    time.Duration
	// waits is set if requests were waiting after the last step.
	waits     bool
	settledAt time.Duration
}

// Step records a step of the scheduler: the grants that it made, and whether requests
// still wait.
func (p *Pace) Step(now time.Duration, grants int, waits bool) {
	since := now - p.last
	p.decay(since)
	if p.waits {
		p.pending += since
		p.record(now, grants)
	} else {
		p.pending = 0
	}
	p.last, p.waits = now, waits
}

func (p *Pace) record(now time.Duration, grants int) {
	if grants == 0 {
		return
	}
	if p.isSilent() {
		p.settledAt = now + settleTime
	} else {
		p.backlogged += p.pending
		p.grants += float64(grants)
	}
	p.pending = 0
}

func (p *Pace) decay(since time.Duration) {
	f := math.Exp(-float64(since) / float64(paceWindow))
	p.grants *= f
	p.backlogged = time.Duration(float64(p.backlogged) * f)
}

// isSilent reports whether the queue has been backlogged without a grant for much longer
// than usual.
func (p *Pace) isSilent() bool {
	longest := max(minSilence, silenceRunTimes*p.RunTime)
	if p.grants > 0 {
		longest = max(longest, scale(p.backlogged, silenceIntervals/p.grants))
	}
	return p.pending > longest
}

// PerSecond returns the grants per second while requests wait; ok reports whether the
// pace is known. It is not known during and shortly after a silence.
func (p *Pace) PerSecond(now time.Duration) (perSecond float64, ok bool) {
	if p.backlogged < minBacklogged || p.grants == 0 || p.isSilent() || now < p.settledAt {
		return 0, false
	}
	return p.grants / p.backlogged.Seconds(), true
}
