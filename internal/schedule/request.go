package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// Reserve queues a request. One that has been granted already is granted
// again at the same endpoint: its first answer was lost.
func (c *Cell) Reserve(r Request) {
	if e := c.entries[r.ID]; e != nil {
		if e.endpoint != nil {
			c.decide(Decision{ID: r.ID, Endpoint: e.endpoint.policy.Name})
		}
		return
	}
	now := c.now()
	q := c.class(r.Class)
	if q != nil {
		q.want(now)
	}
	if refusal := c.admit(q, &r, now); refusal != "" {
		c.refuseArrival(q, r.ID, refusal, now)
		return
	}
	if c.pool.Batches() {
		p := r.prompt()
		c.pool.Arrived(&q.Class, &p, now)
	}
	e := c.newEntry(r, now)
	e.setClass(q)
	if c.pool.Batches() {
		c.pool.Weigh(&e.Work, now)
	}
	if c.discipline != ByTier {
		e.request.Account = ""
	}
	q.push(e)
	c.waiting++
	c.shedOverflow(now)
}

// prompt returns what the request asks of an engine.
func (r *Request) prompt() batching.Prompt {
	return batching.Prompt{Tokens: r.PromptTokens, Answer: r.EstimatedTokens, Parts: r.Parts, Zone: r.Zone}
}

// setClass notes the class of an entry that neither waits nor runs yet.
func (e *entry) setClass(q *classQueue) {
	e.class, e.Class = q, &q.Class
}

// admit returns why a request may not wait.
func (c *Cell) admit(q *classQueue, r *Request, now time.Duration) Refusal {
	switch {
	case q == nil:
		return RefusedClass
	case !c.hasEndpoint(r):
		return RefusedNoEndpoint
	case q.policy.MaxQueue > 0 && q.waiting() >= q.policy.MaxQueue:
		return RefusedQueueFull
	case c.hopeless(q, now):
		return RefusedShed
	}
	return ""
}

// hasEndpoint tells whether some endpoint might ever take the request.
func (c *Cell) hasEndpoint(r *Request) bool {
	for _, e := range c.list {
		if !e.policy.Draining && !slices.Contains(r.Excluded, e.policy.Name) {
			return true
		}
	}
	return false
}

func (c *Cell) newEntry(r Request, now time.Duration) *entry {
	if r.EstimatedTokens <= 0 {
		r.EstimatedTokens = c.estimates.Estimate(r.Class, r.Account)
	}
	var e *entry
	if n := len(c.spare); n > 0 {
		e = c.spare[n-1]
		c.spare = c.spare[:n-1]
	} else {
		e = &entry{}
	}
	c.arrivals++
	*e = entry{
		Work:    batching.Work{Prompt: r.prompt(), Since: now - r.Waited},
		request: r,
		order:   c.arrivals,
		work:    workOf(r.PromptTokens, r.EstimatedTokens),
	}
	c.entries[r.ID] = e
	return e
}

// free forgets an entry that neither waits nor runs.
func (c *Cell) free(e *entry) {
	delete(c.entries, e.request.ID)
	*e = entry{}
	c.spare = append(c.spare, e)
}

// withdraw takes a waiting entry out of the queue.
func (c *Cell) withdraw(e *entry) {
	e.class.remove(e)
	c.waiting--
}

// Cancel withdraws a waiting request; false means that there is none. One that
// runs is not touched.
func (c *Cell) Cancel(id RequestID) bool {
	e := c.entries[id]
	if e == nil || e.endpoint != nil {
		return false
	}
	c.withdraw(e)
	e.class.figures.cancelled++
	c.free(e)
	return true
}

// Hold records a grant that another coordinator gave.
func (c *Cell) Hold(h Holding) {
	now := c.now()
	e := c.entries[h.ID]
	if e != nil && e.endpoint != nil {
		return
	}
	if e != nil {
		c.withdraw(e)
		c.free(e)
	}
	q, to := c.class(h.Class), c.endpoints[h.Endpoint]
	if q == nil || to == nil {
		return
	}
	e = c.newEntry(Request{
		ID:              h.ID,
		Class:           h.Class,
		Account:         h.Account,
		EstimatedTokens: h.EstimatedTokens,
		PromptTokens:    h.PromptTokens,
		Parts:           h.Parts,
	}, now)
	e.setClass(q)
	e.account = q.account(h.Account)
	c.run(e, to, now)
	e.held = true
	if h.Begun {
		to.Forget(&e.Work)
	}
}

// Release ends a grant. An unknown one is ignored.
func (c *Cell) Release(id RequestID, r Report) {
	e := c.entries[id]
	if e == nil || e.endpoint == nil {
		return
	}
	now := c.now()
	c.stop(e)
	c.learn(e, r, now)
	if r.Unlimited {
		c.lift(e)
	}
	c.free(e)
}

// learn takes in how a grant went: the endpoint's health, the length of the
// answer, and the work that was charged by estimate.
func (c *Cell) learn(e *entry, r Report, now time.Duration) {
	if r.Failed {
		c.failed(e.endpoint, e.Granted, now)
	} else if r.Tokens > 0 || r.Done {
		c.succeeded(e.endpoint, now)
		c.measured(e, Progress{FirstToken: r.FirstToken, Tokens: r.Tokens, Elapsed: r.Duration}, now)
	}
	if r.Done {
		c.pool.Observe(&e.Work, &e.endpoint.Engine, batching.Stream{Events: r.Tokens, FirstToken: r.FirstToken, Longest: r.Longest})
	}
	if r.Done && r.Tokens > 0 {
		e.class.Stayed(r.Duration)
		c.estimates.Observe(e.request.Class, e.request.Account, e.request.EstimatedTokens, r.Tokens)
		c.meanWork.Add(workOf(e.request.PromptTokens, r.Tokens))
	}
	if r.Tokens > 0 {
		e.class.charge(e.account, workOf(e.request.PromptTokens, r.Tokens)-e.work)
	}
}

// Progress takes in how a running grant goes.
func (c *Cell) Progress(id RequestID, p Progress) {
	e := c.entries[id]
	if e == nil || e.endpoint == nil {
		return
	}
	now := c.now()
	c.succeeded(e.endpoint, now)
	c.measured(e, p, now)
	c.pool.Begin(&e.endpoint.Engine, &e.Work, now)
}

func (c *Cell) refuseArrival(q *classQueue, id RequestID, why Refusal, now time.Duration) {
	retry := defaultRetry
	if q != nil {
		q.figures.refused[why]++
		retry = q.tier.retryAfter(now)
	}
	c.decide(Decision{ID: id, Refusal: why, RetryAfter: retry})
}

func (c *Cell) refuse(id RequestID, why Refusal) {
	c.decide(Decision{ID: id, Refusal: why, RetryAfter: defaultRetry})
}

// DropHost forgets the requests and grants of an incarnation that is gone.
func (c *Cell) DropHost(host Host, incarnation uint64) {
	c.Reconcile(host, incarnation, nil)
}

// Reconcile forgets the requests and grants of an incarnation but those to
// keep.
func (c *Cell) Reconcile(host Host, incarnation uint64, keep map[RequestID]bool) {
	for id, e := range c.entries {
		if id.Host != host || id.Incarnation != incarnation || keep[id] {
			continue
		}
		if e.endpoint != nil {
			c.stop(e)
		} else {
			c.withdraw(e)
		}
		c.free(e)
	}
}
