package batching

import "time"

const (
	// targetShare is the part of a class's target that the expected time to the
	// first token may use; the rest is a reserve for errors of the estimate.
	targetShare = 0.7
	// minBacklog is the backlog up to which an engine is always eligible, so
	// that it does not become idle while a grant is on its way.
	minBacklog = 40 * time.Millisecond
	// maxBacklog is the backlog above which no request is sent to an engine.
	// A request that still waits can be sent to another engine.
	maxBacklog = 700 * time.Millisecond
	// decodeWaitDivisor sets how long a protected stream waits for a decode
	// engine: its target divided by this number.
	decodeWaitDivisor = 2
	// minFetchGain is the number of tokens that a fetch must save to be worth
	// its set-up cost.
	minFetchGain = 64
	// affinityMaxPrefills is the number of requests without a first token at
	// which an engine loses its affinity bonus: it is busy or hangs.
	affinityMaxPrefills = 2
	// recentUse is how long a part counts as recently processed after its last
	// use.
	recentUse = 10 * time.Second
)

// Weights of the cost of an engine, in prefill tokens.
const (
	// runningWeight is the cost of each running request, which slows down the
	// others in its batch.
	runningWeight = 100
	// crossZoneWeight is the cost of sending a request to another availability
	// zone.
	crossZoneWeight = 300
	// redundantPrefillWeight is the cost of each token that another engine has
	// processed recently: redundant prefill delays all requests on the engine and
	// evicts parts that other requests will need.
	redundantPrefillWeight = 12
	// fetchWeight is the cost of each token that is fetched from another engine.
	fetchWeight = 0.6
	// affinityWeight is the bonus for each token of the parts that no engine has
	// cached, at the engine for which they have affinity.
	affinityWeight = 2
)

// Candidate holds what the choice of an engine needs to know of a request.
type Candidate struct {
	*Prompt
	// backlogLimit is the longest backlog that is acceptable.
	backlogLimit time.Duration
	// memory is the KV cache that it needs in addition to the prompt's parts.
	memory int
	// sensitivity is how strongly prefill delays its stream, from 0 to 1.
	sensitivity float64
	// protected streams run on decode engines, because a long prefill would
	// delay them too much, and long-running requests hold slots that they need.
	protected, longPrefill, longRunning bool
	// prefillTime is the expected prefill time after all cached parts are
	// fetched.
	prefillTime time.Duration
	// bestCache is the engine that has cached the longest start of the prompt,
	// with cached tokens; secondCache is the next best one.
	bestCache, secondCache *Engine
	cached, secondCached   int
	// affinityEngine is the engine for which the parts that no engine has cached
	// have affinity, affinityTokens their size; nil if there are none.
	affinityEngine *Engine
	affinityTokens int
	// transferWait is how much longer it may wait to avoid a transfer between zones.
	transferWait time.Duration
	headroom     headroom
	state        *RequestState
}

// Candidate evaluates a request for the choice of an engine. Nothing is fetched from
// engines that excludes names; it is nil if there are none.
func (p *Pool) Candidate(g *RequestState, excludes func(name string) bool, now time.Duration) Candidate {
	r := &g.Prompt
	c := Candidate{
		Prompt: r, headroom: p.headroomFor(g.Class, now), longRunning: p.isLongRunningBelow(g.Class, r),
		transferWait: g.Class.transferWait(), state: g,
	}
	c.sensitivity = g.Class.sensitivity(r)
	c.memory = unsharedMemory(r)
	for _, e := range p.engines {
		if e.Memory == 0 || e.Ejected(now) || p.isDisabled(Fetch) || excludes != nil && excludes(e.Name) {
			continue
		}
		n := e.parts.Cached(r.Parts)
		switch {
		case n > c.cached:
			c.secondCache, c.secondCached = c.bestCache, c.cached
			c.bestCache, c.cached = e, n
		case n > c.secondCached:
			c.secondCache, c.secondCached = e, n
		}
	}
	p.findAffinity(&c, now)
	c.prefillTime = p.uncachedPrefillTime(r, c.cached)
	g.PrefillTime = c.prefillTime
	c.backlogLimit = p.backlogLimit(g, now)
	g.LongPrefill = p.exceedsGapLimit(p.typicalRunning(), c.prefillTime, r.Tokens)
	c.longPrefill = g.LongPrefill
	c.protected = g.Class.protected && !g.LongPrefill && p.waitsForDecode(g, now)
	return c
}

// waitsForDecode reports whether a protected stream keeps waiting for a decode
// engine. After a long wait it takes any engine, since it would be late on a
// decode engine as well.
func (p *Pool) waitsForDecode(g *RequestState, now time.Duration) bool {
	return !g.Late && now-g.WaitingSince < g.Class.Target/decodeWaitDivisor-p.overhead
}

// bestOtherCache returns the engine, other than e, with the most cached tokens.
func (c *Candidate) bestOtherCache(e *Engine) (*Engine, int) {
	if c.bestCache == e {
		return c.secondCache, c.secondCached
	}
	return c.bestCache, c.cached
}

// Accepts reports whether an engine may be given a request now: it has the
// memory, the first token is expected in time, and enough engines stay free for
// more urgent classes.
func (p *Pool) Accepts(e *Engine, c *Candidate, now time.Duration) bool {
	if e.Memory == 0 {
		return true
	}
	if e.Running > 0 && !e.fits(c) {
		return false
	}
	if e.Decode && c.longRunning || c.protected && p.decodeEngines > 0 && (!e.Decode || e.releasing) {
		return false
	}
	backlog := e.Backlog(now)
	if e.Decode && !p.isDisabled(Spacing) && p.overloadsEvent(e, c.prefillTime, c.Tokens, now) {
		return false
	}
	if backlog > c.backlogLimit {
		return false
	}
	if c.headroom.spare <= 0 && c.headroom.exceededBy(backlog, c.prefillTime) {
		return false
	}
	return p.endsInTime(e, c, backlog, now)
}

// backlogLimit returns the longest acceptable backlog of an engine for a
// request. The time already waited is deducted, except for a late request, which
// can't meet its target any more.
func (p *Pool) backlogLimit(g *RequestState, now time.Duration) time.Duration {
	target := g.Class.Target
	if target == 0 {
		return maxBacklog
	}
	left := time.Duration(targetShare*float64(target)) - p.overhead - g.PrefillTime
	if !g.Late && !p.isDisabled(WaitPatience) {
		left -= now - g.WaitingSince
	}
	return min(max(left, minBacklog), maxBacklog)
}

// Cost returns the cost of giving a request to an engine, in prefill tokens, and
// the engine from which to fetch cached parts, or nil.
func (p *Pool) Cost(e *Engine, c *Candidate, now time.Duration) (cost float64, source *Engine) {
	local := e.parts.Cached(c.Parts)
	cached := local
	if s, n := c.bestOtherCache(e); n > local+minFetchGain {
		source, cached = s, n
	}
	backlog := e.Backlog(now)
	cost = backlog.Seconds() * p.prefillRate
	if c.affinityEngine == e && e.Prefilling() < affinityMaxPrefills {
		cost -= affinityWeight * float64(c.affinityTokens)
	}
	if c.headroom.exceededBy(backlog, c.prefillTime) {
		cost += headroomPenalty.Seconds() * p.prefillRate
	}
	cost += prefillCost(c.Tokens, cached) + fetchWeight*float64(cached-local) + runningWeight*float64(e.Running)
	if !p.isDisabled(ReadAgain) {
		cost += redundantPrefillWeight * float64(p.recentlyPrefilled(c.Prompt, cached, now))
	}
	cost += p.transferCost(e, c)
	if !e.Decode && c.longPrefill {
		cost += violationPenalty.Seconds() * p.prefillRate * float64(e.protected)
	}
	if p.isDisabled(Disturbance) {
		return cost * e.Slowdown(), source
	}
	cost += c.sensitivity * e.prefillLoad.valueAt(now) * interferencePenalty.Seconds() * p.prefillRate
	cost += interferenceWeight * e.sensitivity * interferenceFactor(c.Tokens) * prefillCost(c.Tokens, cached)
	return cost * e.Slowdown(), source
}

// recentlyPrefilled returns how many tokens after the cached ones were processed
// by some engine recently.
func (p *Pool) recentlyPrefilled(r *Prompt, cached int, now time.Duration) int {
	n, at := 0, 0
	for _, part := range r.Parts {
		at += part.Tokens
		if used, ok := p.lastUse[part.ID]; ok && at > cached && now-used < recentUse {
			n += part.Tokens
		}
	}
	return n
}
