package batching

import "time"

const (
	// targetShare is the part of a class's target that may be spent until the
	// first token as it is expected; the rest is for what is not.
	targetShare = 0.7
	// minBacklog is the backlog with which an engine may always be chosen, so
	// that it does not run dry while a grant is on its way.
	minBacklog = 40 * time.Millisecond
	// maxBacklog is the backlog beyond which nothing more is sent. What waits
	// can still go elsewhere.
	maxBacklog = 700 * time.Millisecond
	// decodeWait is the part of its target, as a divisor, for which a protected
	// stream waits for a decode engine.
	decodeWait = 2
	// minFetch is how many tokens a fetch must save to be worth its set-up.
	minFetch = 64
	// homeUnread is how many requests without a first token keep an engine from
	// attracting the parts that belong to it: it is busy, or hangs.
	homeUnread = 2
	// recentUse is how long after its last use a part counts as read lately.
	recentUse = 10 * time.Second
)

// The weights of a choice, in tokens to be read.
const (
	// runWeight is for each running request: it slows down the others of its
	// batch.
	runWeight = 100
	// farWeight is for a request that leaves its availability zone.
	farWeight = 300
	// againWeight is for each token that is read though another engine has
	// read it lately: what is read for nothing delays everyone beside it and
	// drives out what others will need.
	againWeight = 12
	// fetchWeight is for each token that is fetched from another engine.
	fetchWeight = 0.6
	// homeWeight is for each token of parts that no engine is known to keep, at
	// the engine where they belong.
	homeWeight = 2
)

// Candidate is what matters of a request while an engine is chosen for it.
type Candidate struct {
	*Prompt
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
	keeper, second   *Engine
	kept, secondKept int
	// home is the engine where the parts belong that none is known to keep, and
	// homeless their tokens; nil if there are none.
	home     *Engine
	homeless int
	headroom headroom
}

// Candidate looks at a request for which an engine is to be chosen.
func (p *Pool) Candidate(g *Work, now time.Duration) Candidate {
	r := &g.Prompt
	c := Candidate{Prompt: r, headroom: p.headroomFor(g.Class, now), lasting: p.staysLongBelow(g.Class, r)}
	c.sensitivity = g.Class.sensitivity(r)
	c.memory = ownMemory(r)
	for _, e := range p.engines {
		if e.Memory == 0 || e.Ejected(now) || p.off(Fetch) {
			continue
		}
		n := e.parts.Cached(r.Parts)
		switch {
		case n > c.kept:
			c.second, c.secondKept = c.keeper, c.kept
			c.keeper, c.kept = e, n
		case n > c.secondKept:
			c.second, c.secondKept = e, n
		}
	}
	p.findHome(&c, now)
	c.unread = p.unreadTime(r, c.kept)
	g.Unread = c.unread
	c.patience = p.patience(g, now)
	g.LongRead = p.breaks(p.typicalRunning(), c.unread, r.Tokens)
	c.long = g.LongRead
	c.protected = g.Class.protected && !g.LongRead && p.waitsForDecode(g, now)
	return c
}

// waitsForDecode tells whether a protected stream still waits for a decode
// engine. One that has waited for long takes any: on a decode engine it would
// be late too.
func (p *Pool) waitsForDecode(g *Work, now time.Duration) bool {
	return !g.Late && now-g.Since < g.Class.Target/decodeWait-p.overhead
}

// keeperBeside returns the engine, other than e, that keeps the most.
func (c *Candidate) keeperBeside(e *Engine) (*Engine, int) {
	if c.keeper == e {
		return c.second, c.secondKept
	}
	return c.keeper, c.kept
}

// Takes tells whether an engine may be given a request now: it has the memory,
// the first token is expected in time, and enough engines stay free for more
// urgent classes.
func (p *Pool) Takes(e *Engine, c *Candidate, now time.Duration) bool {
	if e.Memory == 0 {
		return true
	}
	if e.Running > 0 && !e.fits(c) {
		return false
	}
	if e.Decode && c.lasting || c.protected && p.decodeEngines > 0 && (!e.Decode || e.emptying) {
		return false
	}
	backlog := e.Backlog(now)
	if e.Decode && !p.off(Spacing) && p.crowdsEvent(e, c.unread, c.Tokens, now) {
		return false
	}
	if backlog > c.patience {
		return false
	}
	return c.headroom.spare > 0 || !c.headroom.crowds(backlog, c.unread)
}

// patience returns the backlog that a request may find at an engine. What it
// has waited already is gone; one that is late has no target to meet.
func (p *Pool) patience(g *Work, now time.Duration) time.Duration {
	target := g.Class.Target
	if target == 0 {
		return maxBacklog
	}
	left := time.Duration(targetShare*float64(target)) - p.overhead - g.Unread
	if !g.Late && !p.off(WaitPatience) {
		left -= now - g.Since
	}
	return min(max(left, minBacklog), maxBacklog)
}

// Cost is how bad it is to give a request to an engine, in tokens to be read.
// It returns the engine to fetch parts from, if that helps.
func (p *Pool) Cost(e *Engine, c *Candidate, now time.Duration) (cost float64, source *Engine) {
	has := e.parts.Cached(c.Parts)
	kept := has
	if s, n := c.keeperBeside(e); n > has+minFetch {
		source, kept = s, n
	}
	backlog := e.Backlog(now)
	cost = backlog.Seconds() * p.readRate
	if c.home == e && e.Unread() < homeUnread {
		cost -= homeWeight * float64(c.homeless)
	}
	if c.headroom.crowds(backlog, c.unread) {
		cost += crowdTime.Seconds() * p.readRate
	}
	cost += readCost(c.Tokens, kept) + fetchWeight*float64(kept-has) + runWeight*float64(e.Running)
	if !p.off(ReadAgain) {
		cost += againWeight * float64(p.readLately(c.Prompt, kept, now))
	}
	if e.Zone != c.Zone && !p.off(ZoneWeight) {
		cost += farWeight
	}
	if !e.Decode && c.long {
		cost += brokenTime.Seconds() * p.readRate * float64(e.protected)
	}
	if p.off(Disturbance) {
		return cost * e.Sluggishness(), source
	}
	cost += c.sensitivity * e.reading.present(now) * disturbedTime.Seconds() * p.readRate
	cost += disturbShare * e.sensitivity * disturbance(c.Tokens) * readCost(c.Tokens, kept)
	return cost * e.Sluggishness(), source
}

// readLately returns how many tokens after those that an engine has were read
// by some engine not long ago.
func (p *Pool) readLately(r *Prompt, has int, now time.Duration) int {
	n, at := 0, 0
	for _, part := range r.Parts {
		at += part.Tokens
		if used, ok := p.lastUse[part.ID]; ok && at > has && now-used < recentUse {
			n += part.Tokens
		}
	}
	return n
}
