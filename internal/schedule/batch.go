package schedule

import "time"

// An engine that batches its requests reads prompts in turn, between the
// tokens of the requests that run. A request's first token waits for all that
// is to be read before, and each prompt slows down what runs beside it. So
// such an engine is chosen by what it has to read. Its own reports lag by
// hundreds of milliseconds; the cell books what it grants, follows the reading
// by the clock, and corrects itself by each first token.

const (
	// firstReadRate is how many tokens an engine is thought to read a second
	// until that is known.
	firstReadRate = 70_000
	// firstOverhead is the time from the end of reading to the first token
	// until that is known.
	firstOverhead = 100 * time.Millisecond
	// longRead is from how many tokens on a prompt tells of an engine's rate;
	// with less to read, the overhead hides it.
	longRead = 5_000
	// shortRead is up to how many tokens a prompt tells of the overhead.
	shortRead = 1_500
	// readShare is the weight of a new sample of both.
	readShare = 0.05
	// pairCost is by how much a token costs more to read for each token before
	// it: attention grows with the square of the prompt.
	pairCost = 1.6e-5
	// targetShare is the part of a class's target that may be spent until the
	// first token as it is expected; the rest is for what is not.
	targetShare = 0.7
	// minBacklog is the backlog with which an engine may always be chosen, so
	// that it does not run dry while a grant is on its way.
	minBacklog = 40 * time.Millisecond
	// maxBacklog is the backlog beyond which nothing more is sent. What waits
	// here can still go elsewhere.
	maxBacklog = 700 * time.Millisecond
	// overdueSlack is how late a first token may be before the engine is
	// thought to lag behind what is booked.
	overdueSlack = 80 * time.Millisecond
)

// The weights of a choice, in tokens to be read.
const (
	// runWeight is for each running request: it slows down the others of its
	// batch.
	runWeight = 100
	// farWeight is for a request that leaves its availability zone.
	farWeight = 300
	// againWeight is for each token that is read though another engine has
	// read it lately: what is read in vain delays everyone beside it and
	// drives out what others will need.
	againWeight = 12
	// fetchWeight is for each token that is fetched from another engine.
	fetchWeight = 0.6
	// crowdingPerRun is by how much a step grows with each running request,
	// crowdingByReading by how much if a chunk of a prompt is read in it, as
	// parts of a step with a single request. Both follow from the users'
	// engines: 3.03 ms a step, 0.12 ms a request, 11 to 15 ms a chunk.
	crowdingPerRun    = 0.04
	crowdingByReading = 4.5
	// recentUse is how long after its last use a part counts as read lately.
	recentUse = 10 * time.Second
)

// batch is what a cell has booked on a batching engine.
type batch struct {
	// held is the memory that running requests take beside the parts of their
	// prompts, which several may share, in tokens.
	held  int
	parts partList
	// readyAt is when the engine is expected to have read all it was given.
	readyAt time.Duration
	// shift is the sum of the corrections of readyAt.
	shift time.Duration
	// reading is how much of its time the engine reads, averaged, and
	// sensitivity the sum of its streams'.
	reading     demand
	sensitivity float64
	// busy is how much of its time the engine reads, whatever it reads.
	busy demand
	// unread has the requests without a first token, in order of their grants.
	unread []*entry
}

// readCost is how much an engine has to read of a prompt of which it has the
// first tokens, in tokens at the start of a prompt.
func readCost(prompt, has int) float64 {
	return float64(prompt-has) * (1 + pairCost*float64(prompt+has))
}

// readTime is how long an engine takes to read so much.
func (c *Cell) readTime(e *endpointState, cost float64) time.Duration {
	return time.Duration(cost / c.readRate * e.health.slowness(c.medianToken) * float64(time.Second))
}

// backlog returns how long an engine will be reading what it was given.
func (b *batch) backlog(now time.Duration) time.Duration {
	backlog := max(0, b.readyAt-now)
	if len(b.unread) == 0 {
		return 0
	}
	if late := now - b.due(b.unread[0]) - overdueSlack; late > 0 {
		backlog += late
	}
	return backlog
}

// crowding returns by how much an engine's tokens take longer than those of
// one with a single request and nothing to read. Without it, engines that run
// long answers would be taken for stragglers beside those that run short ones.
func (e *endpointState) crowding(now time.Duration) float64 {
	if e.policy.Memory == 0 {
		return 1
	}
	return 1 + crowdingPerRun*float64(e.running) + crowdingByReading*min(1, e.batch.busy.present(now))
}

// due returns when a request's first token is expected.
func (b *batch) due(g *entry) time.Duration { return g.due + b.shift - g.shift }

// book notes what a grant means for the engine.
func (c *Cell) book(e *endpointState, g *entry, now time.Duration) {
	if e.policy.Memory == 0 {
		return
	}
	r := &g.request
	b := &e.batch
	has := max(b.parts.cached(r.Parts), g.fetched)
	g.reads = readCost(r.PromptTokens, has)
	g.idle = len(b.unread) == 0
	g.held = ownMemory(r)
	b.held += g.held
	b.readyAt = max(b.readyAt, now) + c.readTime(e, g.reads)
	b.busy.add(now, c.readTime(e, g.reads))
	b.reading.add(now, time.Duration(disturbance(r.PromptTokens)*float64(c.readTime(e, g.reads))))
	g.sensitivity = g.class.sensitivity(r)
	b.sensitivity += g.sensitivity
	if g.long = staysLong(r); g.long {
		e.longRuns++
	}
	g.due = b.readyAt + c.overhead
	g.shift = b.shift
	b.unread = append(b.unread, g)
	b.parts.take(r.Parts, e.policy.Memory-b.held)
	for _, p := range r.Parts {
		c.lastUse[p.ID] = now
	}
}

// ownMemory is what a request takes in an engine's memory beside the parts of
// its prompt.
func ownMemory(r *Request) int {
	inParts := 0
	for _, p := range r.Parts {
		inParts += p.Tokens
	}
	return max(0, r.PromptTokens-inParts) + r.EstimatedTokens
}

// begin notes the first token of a request: the engine has read its prompt.
func (c *Cell) begin(g *entry, now time.Duration) {
	b := &g.endpoint.batch
	if !b.forget(g) {
		return
	}
	late := now - b.due(g)
	b.shift += late
	b.readyAt += late
	c.learnReading(g, now)
}

// learnReading takes in how long an engine took that had nothing else to read.
func (c *Cell) learnReading(g *entry, now time.Duration) {
	took := now - g.granted
	switch {
	case !g.idle:
	case g.reads <= shortRead:
		c.overhead += time.Duration(readShare * float64(took-c.overhead))
	case g.reads >= longRead && took > c.overhead:
		rate := g.reads / (took - c.overhead).Seconds()
		c.readRate += readShare * (rate - c.readRate)
	}
}

// unbook notes the end of a grant.
func (e *endpointState) unbook(g *entry) {
	e.batch.forget(g)
	if g.held > 0 {
		e.batch.parts.leave(g.request.Parts)
	}
	e.batch.held -= g.held
	e.batch.sensitivity = max(0, e.batch.sensitivity-g.sensitivity)
	g.held, g.sensitivity = 0, 0
	if g.long {
		e.longRuns--
		g.long = false
	}
}

// forget takes a request out of those without a first token; false means that
// it was not there.
func (b *batch) forget(g *entry) bool {
	for i, one := range b.unread {
		if one == g {
			b.unread = append(b.unread[:i], b.unread[i+1:]...)
			return true
		}
	}
	return false
}

// prompt is what matters of a request while an engine is chosen for it.
type prompt struct {
	*Request
	// patience is the backlog that it may find, read how long it takes to be
	// read whole.
	patience, read time.Duration
	// memory is what it takes beside the parts.
	memory int
	// sensitivity is how much its stream suffers from what is read beside it.
	sensitivity float64
	// disturbing requests are kept off quiet engines.
	disturbing bool
	// keeper keeps the most of the prompt, the first kept tokens; second is the
	// best of the others.
	keeper, second   *endpointState
	kept, secondKept int
	room             room
}

func (c *Cell) prompt(g *entry, now time.Duration) prompt {
	r := &g.request
	p := prompt{Request: r, patience: c.patience(g, now), room: c.roomFor(r, now), disturbing: c.disturbsQuiet(r)}
	if q := c.class(r.Class); q != nil {
		p.sensitivity = q.sensitivity(r)
	}
	p.read = c.ownRead(r)
	p.memory = ownMemory(r)
	for _, e := range c.list {
		if e.policy.Memory == 0 || e.health.ejected(now) {
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
	return p
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
	if e.quiet && p.disturbing {
		return false
	}
	backlog := e.batch.backlog(now)
	if backlog > p.patience {
		return false
	}
	return p.room.spare > 0 || !p.room.crowds(backlog, p.read)
}

// fits tells whether the memory holds one more request.
func (b *batch) fits(p *prompt, memory int) bool {
	return b.parts.inUse+b.parts.added(p.Parts)+b.held+p.memory <= memory
}

// ownRead returns how long an engine takes to read a prompt whole.
func (c *Cell) ownRead(r *Request) time.Duration {
	return time.Duration(readCost(r.PromptTokens, 0) / c.readRate * float64(time.Second))
}

// patience returns the backlog that a request may find at an engine. What it
// has waited here is gone; one that is late already has no target to meet.
func (c *Cell) patience(g *entry, now time.Duration) time.Duration {
	target := g.class.policy.Target
	if target == 0 {
		return maxBacklog
	}
	left := time.Duration(targetShare*float64(target)) - c.overhead - c.ownRead(&g.request)
	if !g.late {
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
	if r.room.crowds(backlog, r.read) {
		cost += crowdTime.Seconds() * c.readRate
	}
	cost += readCost(r.PromptTokens, kept) + fetchWeight*float64(kept-has) + runWeight*float64(e.running)
	cost += againWeight * float64(c.readLately(r.Request, kept, now))
	if e.policy.Zone != r.Zone {
		cost += farWeight
	}
	cost += r.sensitivity * e.batch.reading.present(now) * disturbedTime.Seconds() * c.readRate
	cost += disturbShare * e.batch.sensitivity * disturbance(r.PromptTokens) * readCost(r.PromptTokens, kept)
	return cost * e.health.slowness(c.medianToken), source
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
