package batching

import (
	"math"
	"time"
)

// Without separation, a burst of long requests takes every engine: first their
// prefill slows down the urgent streams beside it, then their responses hold the
// slots for seconds, so that urgent requests that arrive meanwhile find no slot.
// Mixing both kinds on each engine is the worst case, since every stream is then
// slowed down by some prefill. So some engines are reserved for decoding: they run
// latency-sensitive streams and short requests, but no long requests of less
// urgent tiers. Their number follows from the streams that run and wait.

const (
	// maxStreamsPerDecodeEngine is the number of latency-sensitive streams that
	// are planned for a decode engine, maxDecodeSlotShare the share of its slots
	// that they may use by plan. The rest is for bursts, which arrive faster than
	// engines finish long responses.
	maxStreamsPerDecodeEngine = 24
	maxDecodeSlotShare        = 0.75
	// maxDecodeShare is the largest share of the engines reserved for decoding.
	maxDecodeShare = 0.6
	// decodeReviewInterval is the time between two reviews of the decode engines.
	decodeReviewInterval = 100 * time.Millisecond
	// decodeHysteresis is the excess of decode engines above which some are
	// released, so that their number does not change with each stream.
	decodeHysteresis = 2
	// peakDecayTime is the time constant with which the demand for decode engines
	// falls after a peak. Streams return sooner than an engine finishes its long
	// responses.
	peakDecayTime = 4 * time.Second
	// initialRunTime is the least run time that is assumed of a latency-sensitive
	// stream until minRunTimes have completed: the first to complete are the shortest.
	initialRunTime = 2 * time.Second
	minRunTimes    = 20
	// minGuessEngines is the number of engines below which that is not assumed: one
	// that is reserved too many is a large share of them.
	minGuessEngines = 8
	// minStreams is the number of streams below which none are expected: a rate of
	// arrivals decays and never becomes zero.
	minStreams = 0.01
	// longPrefillUtilization is the share of time that an engine for long
	// prefills is planned to spend on them.
	longPrefillUtilization = 0.6
	// violationPenalty is the additional backlog that a long prefill accepts to
	// avoid delaying one protected stream too much.
	violationPenalty = 100 * time.Millisecond
)

// reviewDecode periodically chooses the decode engines again.
func (p *Pool) reviewDecode(now time.Duration) {
	if !p.hasBatching || now-p.lastDecodeReview < decodeReviewInterval {
		return
	}
	since := now - p.lastDecodeReview
	p.lastDecodeReview = now
	p.peakDecay = math.Exp(-since.Seconds() / peakDecayTime.Seconds())
	p.reviewSpeeds()
	p.reviewProtected(now)
	p.currentStreams = p.sensitiveStreams(now)
	p.decodeDemand = max(p.currentStreams, p.decodeDemand*p.peakDecay)
	p.longPrefillPeak = max(p.longPrefills.valueSince(now, p.firstLongPrefill), p.longPrefillPeak*p.peakDecay)
	p.adjustDecodeEngines(p.wantedDecodeEngines(now), now)
}

// adjustDecodeEngines reserves or releases decode engines until their number is
// the wanted one.
func (p *Pool) adjustDecodeEngines(wanted int, now time.Duration) {
	p.decodeEngines = 0
	for _, e := range p.engines {
		if e.Decode && (!e.canDecode(now) || wanted == 0 || e.releasing && e.protected == 0) {
			e.Decode, e.releasing = false, false
		}
		if e.Decode && !e.releasing {
			p.decodeEngines++
		}
	}
	for ; p.decodeEngines < wanted; p.decodeEngines++ {
		e := p.bestForDecode(now)
		if e == nil {
			return
		}
		e.Decode, e.releasing = true, false
	}
	p.replaceSlowDecodeEngine(now)
	if p.decodeEngines <= wanted+decodeHysteresis {
		return
	}
	for ; p.decodeEngines > wanted+decodeHysteresis/2; p.decodeEngines-- {
		p.releaseDecodeEngine()
	}
}

// replaceSlowDecodeEngine releases the slowest decode engine if a much faster one can
// be reserved instead, one engine in each review. At first the speeds are unknown.
func (p *Pool) replaceSlowDecodeEngine(now time.Duration) {
	if p.minGapLimit == 0 {
		return
	}
	var slowest *Engine
	for _, e := range p.engines {
		if e.Decode && !e.releasing && (slowest == nil || e.slowdown > slowest.slowdown) {
			slowest = e
		}
	}
	if faster := p.bestForDecode(now); slowest != nil && faster != nil && faster.muchFasterThan(slowest) {
		slowest.releasing = true
		faster.Decode, faster.releasing = true, false
	}
}

// sensitiveStreams returns how many latency-sensitive streams run and wait, or
// are expected at their present rate of arrival. It also sets decodeTier.
func (p *Pool) sensitiveStreams(now time.Duration) float64 {
	streams := 0.0
	p.decodeTier = -1
	for _, q := range p.classes {
		share := 1.0
		if !q.protected {
			share = q.meanSensitivity.Value
		}
		if !q.protected && !p.starvedByLongResponses(q) {
			continue
		}
		n := max(float64(q.Running+q.Waiting()), p.expectedStreams(q, now)) * share
		if n < minStreams {
			continue
		}
		p.decodeTier = max(p.decodeTier, q.Tier)
		streams += n
	}
	return streams
}

// starvedByLongResponses reports whether responses of less urgent classes run so long
// that the streams of a latency-sensitive class find no slot.
func (p *Pool) starvedByLongResponses(q *Class) bool {
	if q.Pause == 0 || q.Pause >= insensitiveGap {
		return false
	}
	for _, other := range p.classes {
		long := other.meanResponse.N == 0 || other.meanResponse.Value >= longResponse
		if other.Tier > q.Tier && long {
			return true
		}
	}
	return false
}

// wantedDecodeEngines returns how many engines to reserve for decoding.
func (p *Pool) wantedDecodeEngines(now time.Duration) int {
	engines, slots := 0, 0
	for _, e := range p.engines {
		if e.canDecode(now) {
			engines++
			slots += e.Concurrency
		}
	}
	if engines < 2 || p.decodeTier < 0 || p.isDisabled(DecodeEngines) {
		return 0
	}
	p.streamsPerDecodeEngine = max(1, min(maxStreamsPerDecodeEngine, maxDecodeSlotShare*float64(slots)/float64(engines)))
	wanted := p.decodeDemand / p.streamsPerDecodeEngine
	if p.minGapLimit == 0 {
		return int(min(math.Ceil(wanted), maxDecodeShare*float64(engines)))
	}
	return p.splitEngines(math.Ceil(wanted), now, engines)
}

// splitEngines returns how many engines to reserve for decoding when protected
// streams are separated from long prefills. Each of the two gets at least one. While
// no stream has shown that they have to be, the share of the engines is limited.
//
// If the recent peaks of both exceed the engines, the present demand is used
// instead: engines reserved for streams that may return would delay prefills that
// already wait. The engines are then split in proportion to it.
func (p *Pool) splitEngines(streams float64, now time.Duration, engines int) int {
	long := max(1, p.longPrefillPeak/longPrefillUtilization)
	if all := float64(engines); streams+long > all {
		streams = p.currentStreams / p.streamsPerDecodeEngine
		long = max(1, p.currentLongPrefill(now)/longPrefillUtilization)
		streams *= all / (streams + long)
	}
	most := engines - 1
	if p.isInitial() {
		most = min(most, int(maxDecodeShare*float64(engines)))
	}
	return min(max(int(math.Round(streams)), 1), most)
}

// currentLongPrefill returns the demand for long prefills that arrive and wait,
// in seconds of engine time per second.
func (p *Pool) currentLongPrefill(now time.Duration) float64 {
	waiting := 0.0
	for _, q := range p.classes {
		if !q.protected {
			waiting += float64(q.Waiting()) * q.meanPrefill.Value
		}
	}
	return p.longPrefills.valueSince(now, p.firstLongPrefill) + waiting/rateWindow.Seconds()
}

// bestForDecode returns the engine that is best suited as an additional decode
// engine: one that was about to be released, or else the one with the fewest long
// requests.
func (p *Pool) bestForDecode(now time.Duration) *Engine {
	var best *Engine
	for _, e := range p.engines {
		if e.Decode && !e.releasing || !e.canDecode(now) {
			continue
		}
		if best == nil || e.betterForDecode(best) {
			best = e
		}
	}
	return best
}

// releaseDecodeEngine releases the decode engine with the fewest protected
// streams. It accepts no more of them, and accepts long requests only after these
// have ended, because an earlier long prefill would delay them too much.
func (p *Pool) releaseDecodeEngine() {
	var least *Engine
	for _, e := range p.engines {
		if e.Decode && !e.releasing && (least == nil || e.protected < least.protected) {
			least = e
		}
	}
	least.releasing = true
}

// isLongRunning reports whether a request holds a slot for long or has a long
// prefill.
func isLongRunning(r *Prompt) bool {
	return r.ResponseTokens >= longResponse || r.Tokens >= referencePrompt
}

// isLongRunningBelow reports whether a request is long-running and less urgent
// than the streams on decode engines.
func (p *Pool) isLongRunningBelow(q *Class, r *Prompt) bool {
	return q.Tier > p.decodeTier && isLongRunning(r)
}
