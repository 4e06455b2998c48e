package schedule

import "time"

// prompt is what matters of a request while an engine is chosen for it.
type prompt struct {
	*Request
	// patience is the backlog that it may find.
	patience time.Duration
	// memory is what it takes beside the parts.
	memory int
	// sensitivity is how much its stream suffers from what is read beside it.
	sensitivity float64
	// protected streams keep to decode engines; long reads would break them, and
	// lasting requests hold slots that they need.
	protected, long, lasting bool
	// unread is how long an engine reads that has fetched what others keep.
	unread time.Duration
	// keeper keeps the most of the prompt, the first kept tokens; second is the
	// best of the others.
	keeper, second   *endpointState
	kept, secondKept int
	headroom         headroom
}

func (c *Cell) prompt(g *entry, now time.Duration) prompt {
	r := &g.request
	p := prompt{Request: r, headroom: c.headroomFor(r, now), lasting: c.staysLongBelow(r)}
	p.sensitivity = g.class.sensitivity(r)
	p.memory = ownMemory(r)
	for _, e := range c.list {
		if e.policy.Memory == 0 || e.health.ejected(now) || c.off(Fetch) {
			continue
		}
		n := e.batch.parts.cached(r.Parts)
		switch {
		case n > p.kept:
			p.second, p.secondKept = p.keeper, p.kept
			p.keeper, p.kept = e, n
		case n > p.secondKept:
			p.second, p.secondKept = e, n
		}
	}
	p.unread = c.unreadTime(r, p.kept)
	g.unread = p.unread
	p.patience = c.patience(g, now)
	g.isLong = c.breaks(c.typicalRunning(), p.unread, p.PromptTokens)
	p.long = g.isLong
	p.protected = g.class.protected && !g.isLong && c.waitsForDecode(g, now)
	return p
}

// waitsForDecode tells whether a protected stream still waits for a decode engine.
// One that has waited for long takes any: on a decode engine it would be late too.
func (c *Cell) waitsForDecode(g *entry, now time.Duration) bool {
	return !g.late && now-g.since < g.class.policy.Target/decodeWait-c.overhead
}

// unreadTime is how long an engine reads of a prompt of which it has the first
// tokens.
func (c *Cell) unreadTime(r *Request, has int) time.Duration {
	return seconds(readCost(r.PromptTokens, has) / c.readRate)
}

// mostKept returns how much of a prompt the engine keeps that keeps the most.
func (c *Cell) mostKept(r *Request) int {
	most := 0
	for _, e := range c.list {
		most = max(most, e.batch.parts.cached(r.Parts))
	}
	return most
}

// weigh counts what a request asks of batching engines.
func (c *Cell) weigh(g *entry, now time.Duration) {
	r := &g.request
	unread := c.unreadTime(r, c.mostKept(r))
	g.unread = unread
	g.class.meanRead.add(unread.Seconds())
	c.countBreakers(unread, r.PromptTokens, now)
	if !c.breaks(c.typicalRunning(), unread, r.PromptTokens) {
		return
	}
	g.isLong = true
	if c.longReads.rate == 0 {
		c.firstLong = now
	}
	c.longReads.add(now, unread)
}

// keeperBeside returns the engine, other than e, that keeps the most.
func (p *prompt) keeperBeside(e *endpointState) (*endpointState, int) {
	if p.keeper == e {
		return p.second, p.secondKept
	}
	return p.keeper, p.kept
}

// takesPrompt tells whether a batching engine may be given a request now: it
// has the memory, the first token is expected in time, and enough engines stay
// free for more urgent classes.
func (c *Cell) takesPrompt(e *endpointState, p *prompt, now time.Duration) bool {
	if e.policy.Memory == 0 {
		return true
	}
	if e.running > 0 && !e.batch.fits(p, e.policy.Memory) {
		return false
	}
	if e.decode && p.lasting || p.protected && c.decodeEngines > 0 && (!e.decode || e.emptying) {
		return false
	}
	backlog := e.batch.backlog(now)
	if e.decode && !c.off(Spacing) && c.crowdsEvent(e, p.unread, p.PromptTokens, now) {
		return false
	}
	if backlog > p.patience {
		return false
	}
	return p.headroom.spare > 0 || !p.headroom.crowds(backlog, p.unread)
}

// fits tells whether the memory holds one more request.
func (b *batch) fits(p *prompt, memory int) bool {
	return b.parts.inUse+b.parts.added(p.Parts)+b.held+p.memory <= memory
}

// patience returns the backlog that a request may find at an engine. What it
// has waited here is gone; one that is late already has no target to meet.
func (c *Cell) patience(g *entry, now time.Duration) time.Duration {
	target := g.class.policy.Target
	if target == 0 {
		return maxBacklog
	}
	left := time.Duration(targetShare*float64(target)) - c.overhead - g.unread
	if !g.late && !c.off(WaitPatience) {
		left -= now - g.since
	}
	return min(max(left, minBacklog), maxBacklog)
}

// batchCost is how bad it is to give a request to a batching engine, in tokens
// to be read. It returns the engine to fetch parts from, if that helps.
func (c *Cell) batchCost(e *endpointState, r *prompt, now time.Duration) (cost float64, source *endpointState) {
	has := e.batch.parts.cached(r.Parts)
	kept := has
	if s, n := r.keeperBeside(e); n > has+minFetch {
		source, kept = s, n
	}
	backlog := e.batch.backlog(now)
	cost = backlog.Seconds() * c.readRate
	if r.headroom.crowds(backlog, r.unread) {
		cost += crowdTime.Seconds() * c.readRate
	}
	cost += readCost(r.PromptTokens, kept) + fetchWeight*float64(kept-has) + runWeight*float64(e.running)
	if !c.off(ReadAgain) {
		cost += againWeight * float64(c.readLately(r.Request, kept, now))
	}
	if e.policy.Zone != r.Zone && !c.off(ZoneWeight) {
		cost += farWeight
	}
	if !e.decode && r.long {
		cost += brokenTime.Seconds() * c.readRate * float64(e.batch.protected)
	}
	if c.off(Disturbance) {
		return cost * c.sluggishness(&e.health), source
	}
	cost += r.sensitivity * e.batch.reading.present(now) * disturbedTime.Seconds() * c.readRate
	cost += disturbShare * e.batch.sensitivity * disturbance(r.PromptTokens) * readCost(r.PromptTokens, kept)
	return cost * c.sluggishness(&e.health), source
}

// minFetch is how many tokens a fetch must save to be worth its set-up.
const minFetch = 64

// readLately returns how many tokens after those that an engine has were read
// by some engine not long ago.
func (c *Cell) readLately(r *Request, has int, now time.Duration) int {
	n, at := 0, 0
	for _, p := range r.Parts {
		at += p.Tokens
		if used, ok := c.lastUse[p.ID]; ok && at > has && now-used < recentUse {
			n += p.Tokens
		}
	}
	return n
}

// forgetUses drops the parts that have not been used for long.
func (c *Cell) forgetUses(now time.Duration) {
	if now-c.usesSwept < recentUse {
		return
	}
	c.usesSwept = now
	for id, used := range c.lastUse {
		if now-used >= recentUse {
			delete(c.lastUse, id)
		}
	}
}
