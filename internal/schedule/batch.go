package schedule

import "container/list"

// An engine that batches its requests reads prompts in turn, between the
// tokens of the requests that run. A request's first token waits for all that
// is to be read before, and each prompt slows down what runs beside it. So
// such an engine is chosen by what it has to read. Its own reports lag by
// hundreds of milliseconds; the cell books what it grants and learns from each
// first token that a prompt has been read.

const (
	// missWeight is how many tokens that wait to be read are as bad as one
	// that must be read although another engine keeps it. What is read in vain
	// delays everyone beside it and drives out what others will need.
	missWeight = 6
	// runWeight is how many tokens that wait to be read are as bad as one more
	// running request, which slows down the others of its batch.
	runWeight = 100
	// farWeight is the same for a request that leaves its availability zone.
	farWeight = 60
)

// batch is what a cell has booked on a batching engine.
type batch struct {
	// unread is the sum of the tokens that running requests wait to be read.
	unread int
	// held is the memory that running requests take, in tokens.
	held  int
	parts partList
}

// book notes what a grant means for the engine.
func (e *endpointState) book(g *entry) {
	if e.policy.Memory == 0 {
		return
	}
	r := &g.request
	g.unread = r.PromptTokens - e.batch.parts.cached(r.Parts)
	g.held = r.PromptTokens + r.EstimatedTokens
	e.batch.unread += g.unread
	g.toRead = e.batch.unread
	e.batch.held += g.held
	e.batch.parts.use(r.Parts, e.policy.Memory-e.batch.held)
}

// begin notes that the engine has read a request's prompt.
func (e *endpointState) begin(g *entry) {
	e.batch.unread -= g.unread
	g.unread = 0
}

// unbook notes the end of a grant.
func (e *endpointState) unbook(g *entry) {
	e.begin(g)
	e.batch.held -= g.held
	g.held = 0
}

// batchCost is how bad it is to give a request to a batching engine, in tokens
// that wait to be read.
func (c *Cell) batchCost(e *endpointState, r *Request) float64 {
	missing := r.PromptTokens - e.batch.parts.cached(r.Parts)
	cost := float64(e.batch.unread + missWeight*missing + runWeight*e.running)
	if e.policy.Zone != r.Zone {
		cost += farWeight
	}
	return cost * e.health.slowness(c.medianToken)
}

// partList is what an engine is thought to keep, the least recently used part
// first. The zero value is empty.
type partList struct {
	order  *list.List
	byID   map[uint64]*list.Element
	tokens int
}

// cached returns how many tokens from the start of a prompt are kept.
func (l *partList) cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		if _, ok := l.byID[p.ID]; !ok {
			return n
		}
		n += p.Tokens
	}
	return n
}

// use notes that a prompt is read, and forgets the parts that must make room.
func (l *partList) use(parts []Part, room int) {
	if l.order == nil {
		l.order = list.New()
		l.byID = map[uint64]*list.Element{}
	}
	for _, p := range parts {
		if e, ok := l.byID[p.ID]; ok {
			l.order.MoveToBack(e)
			continue
		}
		l.byID[p.ID] = l.order.PushBack(p)
		l.tokens += p.Tokens
	}
	for l.tokens > room && l.order.Len() > 0 {
		oldest := l.order.Front()
		p, _ := l.order.Remove(oldest).(Part)
		delete(l.byID, p.ID)
		l.tokens -= p.Tokens
	}
}
