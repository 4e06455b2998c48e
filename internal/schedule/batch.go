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
	// readShare is the weight of a new sample of both, once many have come;
	// firstSamples is how many what was assumed before counts for.
	readShare    = 0.05
	firstSamples = 2
	// freakRate bounds by how much a sample of the rate may differ from it.
	freakRate = 3
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
	// read it lately: what is read for nothing delays everyone beside it and
	// drives out what others will need.
	againWeight = 12
	// fetchWeight is for each token that is fetched from another engine.
	fetchWeight = 0.6
	// maxReadShare bounds the part of its time that an engine is taken to read.
	maxReadShare = 0.9
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
	// seen has what the engine was last given to read; protected counts the
	// streams that run and suffer from long reads.
	seen      []readSeen
	protected int
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
	return seconds(cost / c.readRate * c.sluggishness(&e.health) * c.decodeSlowdown(e))
}

// decodeSlowdown is by how much an engine reads more slowly than one with the mean
// number of running requests, since each step also makes their tokens.
func (c *Cell) decodeSlowdown(e *endpointState) float64 {
	full, mean := c.pauses.Full(), c.pauses.MeanEvent()
	if full == 0 || mean == 0 || c.off(DecodeSlowdown) {
		return 1
	}
	return (full + c.pauses.Event(e.running)).Seconds() / (full + mean).Seconds()
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

// stepTime returns what a token of a request took without the reading beside
// it. Judged by the plain time, engines that read much would be taken for
// stragglers beside those that read little.
func (g *entry) stepTime(perToken float64, from, to time.Duration) float64 {
	read := min(maxReadShare, g.endpoint.batch.readBetween(from, to).Seconds()/max(to-from, 1).Seconds())
	return perToken * (1 - read)
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
	b.noteRead(now, c.readTime(e, g.reads), r.PromptTokens)
	if g.protected = g.class.protected; g.protected {
		b.protected++
	}
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
		c.overheads++
		c.overhead += time.Duration(shareOf(c.overheads) * float64(took-c.overhead))
	case g.reads >= longRead && took > c.overhead:
		rate := g.reads / (took - c.overhead).Seconds() * c.decodeSlowdown(g.endpoint)
		// A first token that comes right after the overhead, or very late, says
		// more of other things than of the reading.
		rate = min(max(rate, c.readRate/freakRate), c.readRate*freakRate)
		c.readRates++
		c.readRate += shareOf(c.readRates) * (rate - c.readRate)
	}
}

// shareOf is the weight of a sample by its number: the first ones count for
// more, since what was assumed before may be far off.
func shareOf(n int) float64 { return max(readShare, 1/float64(n+firstSamples)) }

// unbook notes the end of a grant.
func (e *endpointState) unbook(g *entry) {
	e.batch.forget(g)
	if g.held > 0 {
		e.batch.parts.leave(g.request.Parts)
	}
	e.batch.held -= g.held
	e.batch.sensitivity = max(0, e.batch.sensitivity-g.sensitivity)
	g.held, g.sensitivity = 0, 0
	if g.protected {
		e.batch.protected--
		g.protected = false
	}
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
