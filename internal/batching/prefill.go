package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

const (
	// initialPrefillRate is the assumed number of prefill tokens per second until
	// it has been measured.
	initialPrefillRate = 70_000
	// initialOverhead is the assumed time from the end of prefill to the first
	// token until it has been measured.
	initialOverhead = 100 * time.Millisecond
	// minRatePrompt is the shortest prompt that is a sample of the prefill rate.
	// With shorter ones, the overhead hides the prefill time.
	minRatePrompt = 5_000
	// maxOverheadPrompt is the longest prompt that is a sample of the overhead.
	maxOverheadPrompt = 1_500
	// minSampleWeight is the weight of a new sample of both once there are many;
	// priorSamples is the number of samples for which the initial value counts.
	minSampleWeight = 0.05
	priorSamples    = 2
	// maxRateDeviation is the greatest factor by which a sample of the rate may
	// differ from the present estimate.
	maxRateDeviation = 3
	// maxOverheadDeviation is the greatest deviation of a sample of the overhead that
	// counts, relative to the present estimate.
	maxOverheadDeviation = 0.5
	// attentionCost is the additional cost of a prompt token for each token
	// before it: attention grows with the square of the prompt's length.
	attentionCost = 1.6e-5
)

// prefillCost returns the cost of the prefill of a prompt whose first tokens are
// cached, in tokens at the start of a prompt.
func prefillCost(prompt, cached int) float64 {
	return float64(prompt-cached) * (1 + attentionCost*float64(prompt+cached))
}

// attentionSlowdown returns the processing time of the last token of a prompt
// relative to one at the start of a prompt.
func attentionSlowdown(prompt int) float64 { return 1 + 2*attentionCost*float64(prompt) }

// engineTime returns how long an engine takes for a prefill of the given cost.
func (p *Pool) engineTime(e *Engine, cost float64) time.Duration {
	return stat.Seconds(cost / p.prefillRate * e.Slowdown() * p.decodeSlowdown(e))
}

// decodeSlowdown returns the prefill time of an engine relative to one with the
// mean number of running requests, since each step also decodes their tokens.
func (p *Pool) decodeSlowdown(e *Engine) float64 {
	full, mean := p.model.MaxPrefill(), p.model.MeanEventTime()
	if full == 0 || mean == 0 || p.isDisabled(DecodeSlowdown) {
		return 1
	}
	return (full + p.model.EventTime(e.Running)).Seconds() / (full + mean).Seconds()
}

// uncachedPrefillTime returns the prefill time of a prompt whose first tokens are
// cached, on an engine of average speed.
func (p *Pool) uncachedPrefillTime(r *Prompt, cached int) time.Duration {
	return stat.Seconds(prefillCost(r.Tokens, cached) / p.prefillRate)
}

// mostCached returns the largest number of a prompt's tokens that any engine has
// cached.
func (p *Pool) mostCached(r *Prompt) int {
	most := 0
	for _, e := range p.engines {
		most = max(most, e.parts.Cached(r.Parts))
	}
	return most
}

// RecordGrant records a grant on the engine.
func (p *Pool) RecordGrant(e *Engine, g *RequestState, now time.Duration) {
	if e.Memory == 0 {
		return
	}
	r := &g.Prompt
	g.mark = streamMark{}
	prefill := time.Duration(0)
	if g.Begun {
		g.firstTokenDue = now
	} else {
		prefill = p.recordPrefill(e, g, now)
	}
	p.recordStream(e, g, prefill, now)
	g.reservedMemory = unsharedMemory(r)
	e.reservedMemory += g.reservedMemory
	if g.protected = g.Class.protected; g.protected {
		e.protected++
	}
	g.sensitivity = g.Class.sensitivity(r)
	e.sensitivity += g.sensitivity
	if g.longRunning = isLongRunning(r); g.longRunning {
		e.longRequests++
	}
	e.parts.Acquire(r.Parts, e.Memory-e.reservedMemory)
	for _, part := range r.Parts {
		remember(p.lastUse, part.ID, now)
	}
	p.recordZoneUse(r, now)
}

// recordPrefill records the prefill of a request that was given to the engine, and returns
// the time that it takes.
func (p *Pool) recordPrefill(e *Engine, g *RequestState, now time.Duration) time.Duration {
	r := &g.Prompt
	cached := max(e.parts.Cached(r.Parts), g.FetchedTokens)
	g.prefillCost = prefillCost(r.Tokens, cached)
	g.engineIdle = len(e.prefilling) == 0
	took := p.engineTime(e, g.prefillCost)
	e.prefillDoneAt = max(e.prefillDoneAt, now) + took
	e.recordPrefill(now, took, r.Tokens)
	e.prefillLoad.add(now, time.Duration(interferenceFactor(r.Tokens)*float64(took)))
	g.firstTokenDue = e.prefillDoneAt + p.overhead
	g.correctionAtGrant = e.correction
	e.prefilling = append(e.prefilling, g)
	return took
}

// unsharedMemory returns the KV cache that a request needs in addition to the parts
// of its prompt.
func unsharedMemory(r *Prompt) int {
	inParts := 0
	for _, part := range r.Parts {
		inParts += part.Tokens
	}
	return max(0, r.Tokens-inParts) + r.ResponseTokens
}

// RecordFirstToken records the first token of a request, which ends its prefill.
func (p *Pool) RecordFirstToken(e *Engine, g *RequestState, now time.Duration) {
	if !e.EndPrefill(g) {
		return
	}
	late := now - e.firstTokenDue(g)
	e.correction += late
	e.prefillDoneAt += late
	p.learnPrefill(e, g, now)
	e.prefilled += g.prefillCost
	e.mark(g, 1, 0)
}

// learnPrefill takes a sample of the overhead or the prefill rate from a request
// whose engine had no other prefill.
func (p *Pool) learnPrefill(e *Engine, g *RequestState, now time.Duration) {
	took := now - g.Granted
	switch {
	case !g.engineIdle:
	case g.prefillCost <= maxOverheadPrompt:
		p.overheadSamples++
		// All engines may be silent for seconds at once, and then begin to respond
		// within milliseconds. Bounded deviations let the estimate follow a change
		// that lasts, and not that.
		most := time.Duration(maxOverheadDeviation * float64(p.overhead))
		deviation := min(max(took-p.overhead, -most), most)
		p.overhead += time.Duration(sampleWeight(p.overheadSamples) * float64(deviation))
	case g.prefillCost >= minRatePrompt && took > p.overhead:
		if p.MeasuresSpeed() {
			expected := stat.Seconds(g.prefillCost / p.prefillRate * p.decodeSlowdown(e))
			e.speed.Observe(took-p.overhead, expected, now)
		}
		rate := g.prefillCost / (took - p.overhead).Seconds() * p.decodeSlowdown(e) * p.slowdownOf(e)
		// A first token right after the overhead, or a very late one, has other
		// causes than the speed of the prefill, so samples are clamped.
		rate = min(max(rate, p.prefillRate/maxRateDeviation), p.prefillRate*maxRateDeviation)
		p.prefillRateSamples++
		p.prefillRate += sampleWeight(p.prefillRateSamples) * (rate - p.prefillRate)
	}
}

// sampleWeight returns the weight of the n-th sample. The first ones have more
// weight, because the initial value may be far off.
func sampleWeight(n int) float64 { return max(minSampleWeight, 1/float64(n+priorSamples)) }
