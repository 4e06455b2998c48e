package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

const (
	// firstReadRate is how many tokens an engine is thought to read a second
	// until that is known.
	firstReadRate = 70_000
	// firstOverhead is the time from the end of reading to the first token
	// until that is known.
	firstOverhead = 100 * time.Millisecond
	// longPrompt is from how many tokens on a prompt tells of an engine's rate;
	// with less to read, the overhead hides it.
	longPrompt = 5_000
	// shortPrompt is up to how many tokens a prompt tells of the overhead.
	shortPrompt = 1_500
	// readShare is the weight of a new sample of both, once many have come;
	// firstSamples is how many what was assumed before counts for.
	readShare    = 0.05
	firstSamples = 2
	// freakRate bounds by how much a sample of the rate may differ from it.
	freakRate = 3
	// pairCost is by how much a token costs more to read for each token before
	// it: attention grows with the square of the prompt.
	pairCost = 1.6e-5
)

// readCost is how much an engine has to read of a prompt of which it has the
// first tokens, in tokens at the start of a prompt.
func readCost(prompt, has int) float64 {
	return float64(prompt-has) * (1 + pairCost*float64(prompt+has))
}

// slowdownAt is by how much the last token of a prompt takes longer to read
// than one at the start of a prompt.
func slowdownAt(prompt int) float64 { return 1 + 2*pairCost*float64(prompt) }

// readTime is how long an engine takes to read so much.
func (p *Pool) readTime(e *Engine, cost float64) time.Duration {
	return stat.Seconds(cost / p.readRate * e.Sluggishness() * p.decodeSlowdown(e))
}

// decodeSlowdown is by how much an engine reads more slowly than one with the
// mean number of running requests, since each step also makes their tokens.
func (p *Pool) decodeSlowdown(e *Engine) float64 {
	full, mean := p.pauses.Full(), p.pauses.MeanEvent()
	if full == 0 || mean == 0 || p.off(DecodeSlowdown) {
		return 1
	}
	return (full + p.pauses.Event(e.Running)).Seconds() / (full + mean).Seconds()
}

// unreadTime is how long an engine reads of a prompt of which it has the first
// tokens.
func (p *Pool) unreadTime(r *Prompt, has int) time.Duration {
	return stat.Seconds(readCost(r.Tokens, has) / p.readRate)
}

// mostKept returns how much of a prompt the engine keeps that keeps the most.
func (p *Pool) mostKept(r *Prompt) int {
	most := 0
	for _, e := range p.engines {
		most = max(most, e.parts.Cached(r.Parts))
	}
	return most
}

// Book notes what a grant means for the engine.
func (p *Pool) Book(e *Engine, g *Work, now time.Duration) {
	if e.Memory == 0 {
		return
	}
	r := &g.Prompt
	has := max(e.parts.Cached(r.Parts), g.Fetched)
	g.reads = readCost(r.Tokens, has)
	g.idle = len(e.unread) == 0
	g.held = ownMemory(r)
	e.held += g.held
	e.readyAt = max(e.readyAt, now) + p.readTime(e, g.reads)
	e.noteRead(now, p.readTime(e, g.reads), r.Tokens)
	if g.protected = g.Class.protected; g.protected {
		e.protected++
	}
	e.reading.add(now, time.Duration(disturbance(r.Tokens)*float64(p.readTime(e, g.reads))))
	g.sensitivity = g.Class.sensitivity(r)
	e.sensitivity += g.sensitivity
	if g.long = staysLong(r); g.long {
		e.longRuns++
	}
	g.due = e.readyAt + p.overhead
	g.shift = e.shift
	e.unread = append(e.unread, g)
	e.parts.Take(r.Parts, e.Memory-e.held)
	for _, part := range r.Parts {
		p.lastUse[part.ID] = now
	}
}

// ownMemory is what a request takes in an engine's memory beside the parts of
// its prompt.
func ownMemory(r *Prompt) int {
	inParts := 0
	for _, part := range r.Parts {
		inParts += part.Tokens
	}
	return max(0, r.Tokens-inParts) + r.Answer
}

// Begin notes the first token of a request: the engine has read its prompt.
func (p *Pool) Begin(e *Engine, g *Work, now time.Duration) {
	if !e.Forget(g) {
		return
	}
	late := now - e.due(g)
	e.shift += late
	e.readyAt += late
	p.learnReading(e, g, now)
}

// learnReading takes in how long an engine took that had nothing else to read.
func (p *Pool) learnReading(e *Engine, g *Work, now time.Duration) {
	took := now - g.Granted
	switch {
	case !g.idle:
	case g.reads <= shortPrompt:
		p.overheads++
		p.overhead += time.Duration(shareOf(p.overheads) * float64(took-p.overhead))
	case g.reads >= longPrompt && took > p.overhead:
		rate := g.reads / (took - p.overhead).Seconds() * p.decodeSlowdown(e)
		// A first token that comes right after the overhead, or very late, says
		// more of other things than of the reading.
		rate = min(max(rate, p.readRate/freakRate), p.readRate*freakRate)
		p.readRates++
		p.readRate += shareOf(p.readRates) * (rate - p.readRate)
	}
}

// shareOf is the weight of a sample by its number: the first ones count for
// more, since what was assumed before may be far off.
func shareOf(n int) float64 { return max(readShare, 1/float64(n+firstSamples)) }
