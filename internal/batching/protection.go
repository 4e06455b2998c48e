package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/interference"
	"github.com/beechhead/beechhead/internal/stat"
)

// A stream counts as late as a whole if a single gap between its events exceeds the
// one promised by its class, and prefill on its engine causes such gaps. Package
// interference estimates them; from the estimates follow the classes whose streams
// are delayed too much by the present prefills, and the prefills that are too long
// for them. The two are put on different engines; see decode.go.

const (
	// gapShare is the part of the promised gap that prefill may use; the rest
	// is for the transfer to the caller.
	gapShare = 0.88
	// protectThreshold and unprotectThreshold are the shares of delayed streams
	// above which a class becomes protected and stays protected, respectively.
	protectThreshold   = 0.08
	unprotectThreshold = 0.03
	// initialProtectThreshold replaces both while the model has no samples. It is not
	// zero, which a peak that decays never reaches.
	initialProtectThreshold = 0.005
)

// reviewProtected determines the protected classes and the lowest gap limit of
// those that have streams.
func (p *Pool) reviewProtected(now time.Duration) {
	p.minGapLimit = 0
	p.shortestGap = p.shortestAllowedGap(now)
	for _, q := range p.classes {
		limit := q.gapLimit()
		prefill := stat.Seconds(q.meanPrefill.Value)
		if limit == 0 || p.model.MeanEventTime()+prefill > limit || !p.mayProtect(q) {
			q.protected = false
			continue
		}
		q.protected = p.violatedShare(q, now) > p.protectionThreshold(q)
		if q.protected && p.hasStreams(q, now) && (p.minGapLimit == 0 || limit < p.minGapLimit) {
			p.minGapLimit = limit
		}
	}
}

// violatedShare returns the share of a class's streams that would meet a prefill
// that exceeds their gap limit if all engines accepted all prefills.
func (p *Pool) violatedShare(q *Class, now time.Duration) float64 {
	q.violationsPeak = max(q.violations.valueSince(now, q.firstArrival), q.violationsPeak*p.peakDecay)
	return q.violationsPeak * p.meanRunTime(q) / float64(max(1, len(p.engines)))
}

// countViolations records, for each class, whether a prefill exceeds the gap
// limit of its streams.
func (p *Pool) countViolations(from *Class, prefill time.Duration, prompt int, now time.Duration) {
	gap := p.gapDuring(p.typicalRunning(), prefill, prompt)
	for _, q := range p.classes {
		limit := q.gapLimit()
		if limit == 0 || gap == 0 || !p.mayProtect(q) {
			continue
		}
		if share := p.shareExceeding(gap, limit, from.Tier > q.Tier); share > 0 {
			q.violations.add(now, stat.Seconds(share))
		}
	}
}

// shareExceeding returns the share of the engines on which a gap that is expected at
// median speed exceeds a limit. A gap that exceeds it on slow engines only matters if
// the prefill is of a less urgent class, which then leaves the other engines to the
// streams.
func (p *Pool) shareExceeding(gap, limit time.Duration, lessUrgent bool) float64 {
	switch {
	case gap > limit:
		return 1
	case lessUrgent && p.MeasuresSpeed():
		return p.speed.slowerShare(limit.Seconds() / gap.Seconds())
	}
	return 0
}

// mayProtect reports whether a class may be protected. While it is unknown how
// much prefill falls into an event, only the classes with the shortest promised
// gap may be.
func (p *Pool) mayProtect(q *Class) bool {
	return p.model.MaxPrefill() > 0 || q.Pause == p.shortestGap
}

// shortestAllowedGap returns the shortest gap promised by any class with
// streams.
func (p *Pool) shortestAllowedGap(now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, q := range p.classes {
		if gap := q.Pause; gap > 0 && p.hasStreams(q, now) && (least == 0 || gap < least) {
			least = gap
		}
	}
	return least
}

// gapDuring returns the expected gap of a stream during the prefill of a
// prompt, at a number of running requests.
func (p *Pool) gapDuring(running int, prefill time.Duration, prompt int) time.Duration {
	return p.model.ExpectedGap(running, interference.Prefill{Time: prefill, Slowdown: attentionSlowdown(prompt)})
}

// typicalRunning returns the number of requests assumed to run on a decode engine.
func (p *Pool) typicalRunning() int { return int(p.streamsPerDecodeEngine) }

// exceedsGapLimit reports whether a prefill makes gaps between events of
// protected classes too long, at a number of running requests.
func (p *Pool) exceedsGapLimit(running int, prefill time.Duration, prompt int) bool {
	return p.minGapLimit > 0 && p.gapDuring(running, prefill, prompt) > p.minGapLimit
}

// ExceedsGapLimit reports whether a prefill makes gaps between events of protected
// classes on an engine too long.
func (p *Pool) ExceedsGapLimit(e *Engine, prefill time.Duration, prompt int) bool {
	if p.minGapLimit == 0 {
		return false
	}
	slowdown := p.slowdownOf(e)
	gap := p.gapDuring(e.Running, time.Duration(float64(prefill)/slowdown), prompt)
	return time.Duration(float64(gap)*slowdown) > p.minGapLimit
}

// overloadsEvent reports whether a prefill, together with the engine's recent and
// queued ones, makes gaps in protected streams too long: several short prefills
// within the time of an event delay it as one long prefill does.
func (p *Pool) overloadsEvent(e *Engine, prefill time.Duration, prompt int, now time.Duration) bool {
	ahead := e.Backlog(now) + time.Duration(float64(prefill)*p.slowdownOf(e))
	recent := e.prefillTimeBetween(now-max(0, p.minGapLimit-ahead), now)
	return p.ExceedsGapLimit(e, ahead+recent, prompt)
}
