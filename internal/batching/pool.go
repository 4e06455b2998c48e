package batching

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/completion"
	"github.com/beechhead/beechhead/internal/interference"
	"github.com/beechhead/beechhead/internal/stat"
)

// Pool chooses among the engines of one cell. It is not safe for concurrent
// use.
type Pool struct {
	engines []*Engine
	classes []*Class
	// disabled lists the mechanisms that are not applied.
	disabled []Mechanism
	// hasBatching means that some engine batches its requests.
	hasBatching bool
	// zoned means that engines of several availability zones accept requests.
	zoned bool
	// crossings counts the requests that were sent to other zones.
	crossings map[CrossingReason]Crossings
	// hasGapTargets means that some class promises a longest gap.
	hasGapTargets bool

	// prefillRate is the number of tokens that an engine processes per second
	// in prefill, overhead the time from the end of prefill to the first token.
	prefillRate float64
	overhead    time.Duration
	// prefillRateSamples and overheadSamples count the samples of both.
	prefillRateSamples, overheadSamples int
	// lastUse is when each part of a prompt was last used, lastSweep when old
	// entries were last removed.
	lastUse   map[uint64]time.Duration
	lastSweep time.Duration
	// lastZoneUse is when each chain of shared parts was last requested in a zone.
	lastZoneUse map[zonedChain]time.Duration
	// currentStreams is the number of latency-sensitive streams that run, wait
	// or are expected, decodeDemand its recent peak, from which the number of
	// decode engines follows, and decodeTier the least urgent tier that has such
	// streams, or -1.
	currentStreams   float64
	decodeDemand     float64
	decodeTier       int
	lastDecodeReview time.Duration
	// decodeEngines is the number of decode engines, streamsPerDecodeEngine the
	// number of streams planned for each of them.
	decodeEngines          int
	streamsPerDecodeEngine float64
	// model predicts the gaps that prefill causes. minGapLimit is the lowest
	// gap limit of the protected classes that have streams, or zero.
	model       interference.Model
	minGapLimit time.Duration
	// shortestGap is the shortest gap promised by any class with streams.
	shortestGap time.Duration
	// longPrefills is the demand for prefills that exceed minGapLimit,
	// longPrefillPeak its recent peak. peakDecay is the fraction of a peak that
	// remained at the last review.
	peakDecay        float64
	longPrefills     decayingRate
	firstLongPrefill time.Duration
	longPrefillPeak  float64
	// pace is how fast engines generate events, lengths relates the lengths of all
	// responses to the expected ones. hasIdleEngine means that an engine ran nothing at
	// the last review of the streams.
	pace          completion.PaceEstimate
	lengths       completion.LengthRatio
	hasIdleEngine bool
	// leastSlowdown is the slowdown of the fastest engine at that review.
	leastSlowdown    float64
	lastStreamReview time.Duration
	speed            speedEstimates
	// measuredAt is when a stream was last measured, if hasMeasured.
	measuredAt  time.Duration
	hasMeasured bool
}

// NewPool returns a pool without engines and classes.
func NewPool() *Pool {
	return &Pool{prefillRate: initialPrefillRate, overhead: initialOverhead, lastUse: map[uint64]time.Duration{}, lastZoneUse: map[zonedChain]time.Duration{}, crossings: map[CrossingReason]Crossings{}}
}

// Configure replaces the engines, which are sorted by name, the classes, which
// are in the order of the table, and the disabled mechanisms.
func (p *Pool) Configure(engines []*Engine, classes []*Class, disabled []Mechanism) {
	p.engines, p.classes, p.disabled = engines, classes, disabled
	p.hasBatching = slices.ContainsFunc(engines, func(e *Engine) bool { return e.Memory > 0 })
	p.zoned = hasZones(engines)
	p.hasGapTargets = slices.ContainsFunc(classes, func(q *Class) bool { return q.Pause > 0 })
	p.reviewSpeeds()
}

// Batches reports whether some engine batches its requests.
func (p *Pool) Batches() bool { return p.hasBatching }

// Review removes old entries and periodically chooses the decode engines again.
func (p *Pool) Review(now time.Duration) {
	p.pruneLastUse(now)
	p.reviewDecode(now)
	p.reviewStreams(now)
}

// FirstToken returns the expected time from the grant of a request to its first
// token.
func (p *Pool) FirstToken(g *RequestState) time.Duration { return p.overhead + g.PrefillTime }

// Overhead returns the time from the end of prefill to the first token.
func (p *Pool) Overhead() time.Duration { return p.overhead }

// RecordArrival records the arrival of a request, whether or not it is admitted.
func (p *Pool) RecordArrival(q *Class, r *Prompt, now time.Duration) {
	if q.arrivals.rate == 0 {
		q.firstArrival = now
	}
	q.arrivals.add(now, time.Second)
	q.meanSensitivity.Add(q.sensitivity(r))
	q.meanResponse.Add(float64(r.ResponseTokens))
	q.demand.add(now, p.PrefillTime(r.Tokens))
}

// PrefillTime returns the prefill time of a prompt without cached parts.
func (p *Pool) PrefillTime(prompt int) time.Duration {
	return stat.Seconds(prefillCost(prompt, 0) / p.prefillRate)
}

// RecordPrefillDemand records the prefill that a request needs.
func (p *Pool) RecordPrefillDemand(g *RequestState, now time.Duration) {
	r := &g.Prompt
	prefill := p.uncachedPrefillTime(r, p.mostCached(r))
	g.PrefillTime = prefill
	g.Class.meanPrefill.Add(prefill.Seconds())
	p.countViolations(g.Class, prefill, r.Tokens, now)
	if !p.exceedsGapLimit(p.typicalRunning(), prefill, r.Tokens) {
		return
	}
	g.LongPrefill = true
	if p.longPrefills.rate == 0 {
		p.firstLongPrefill = now
	}
	p.longPrefills.add(now, prefill)
}

// Stream describes the timing of a completed response.
type Stream struct {
	Events int
	// FirstToken is the time since the grant, LongestGap the longest gap.
	FirstToken, LongestGap time.Duration
}

// Observe updates the interference model with the timing of a response.
func (p *Pool) Observe(g *RequestState, e *Engine, s Stream) {
	if e.Memory == 0 || s.LongestGap == 0 {
		return
	}
	prefill := e.longestPrefillSince(g.Granted + s.FirstToken)
	prefill.Time = p.atMedianSpeed(e, prefill.Time)
	p.model.Observe(interference.Stream{
		Events:            s.Events,
		LongestGap:        p.atMedianSpeed(e, s.LongestGap),
		Running:           e.Running,
		ConcurrentPrefill: prefill,
	})
}

// NormalizedTokenTime returns a request's time per token, corrected for the prefill
// and the other requests that its engine processed at the same time.
func (p *Pool) NormalizedTokenTime(e *Engine, perToken float64, from, to time.Duration) float64 {
	if e.Memory == 0 {
		return perToken
	}
	p.pace.Observe(e.Slowdown()*(to-from).Seconds()/perToken, to-from, e.prefillShare(from, to))
	step := e.timeWithoutPrefill(perToken, from, to)
	p.model.ObserveEvent(e.Running, p.atMedianSpeed(e, stat.Seconds(step)))
	return step / (1 + p.model.SlowdownPerRequest()*float64(e.Running))
}

// isDisabled reports whether a mechanism is disabled.
func (p *Pool) isDisabled(m Mechanism) bool {
	return len(p.disabled) > 0 && slices.Contains(p.disabled, m)
}

// pruneLastUse removes the parts that have not been used recently.
func (p *Pool) pruneLastUse(now time.Duration) {
	if now-p.lastSweep < recentUse {
		return
	}
	p.lastSweep = now
	removeOld(p.lastUse, now)
	removeOld(p.lastZoneUse, now)
}

// maxLastUses bounds the parts, and the chains of parts, whose last uses are remembered.
const maxLastUses = 1 << 16

// remember records a use. If there are too many others, one of them is forgotten.
func remember[K comparable](lastUse map[K]time.Duration, k K, now time.Duration) {
	if _, known := lastUse[k]; !known && len(lastUse) >= maxLastUses {
		for other := range lastUse {
			delete(lastUse, other)
			break
		}
	}
	lastUse[k] = now
}

func removeOld[K comparable](lastUse map[K]time.Duration, now time.Duration) {
	for k, used := range lastUse {
		if now-used >= recentUse {
			delete(lastUse, k)
		}
	}
}
