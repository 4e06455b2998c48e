package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// Reserve queues a request. A request that already has a grant is granted the
// same endpoint again, because the first decision was lost.
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
		q.noteDemand(now)
	}
	if refusal := c.admit(q, &r, now); refusal != "" {
		c.refuseArrival(q, r.ID, refusal, now)
		return
	}
	if c.pool.Batches() {
		p := r.prompt()
		c.pool.RecordArrival(&q.Class, &p, now)
	}
	e := c.newEntry(r, now)
	e.setClass(q)
	if c.refuseOnArrival(e, now) {
		return
	}
	if c.pool.Batches() {
		c.pool.RecordPrefillDemand(&e.RequestState, now)
	}
	if c.discipline != ByTier {
		e.request.Account = ""
	}
	q.push(e)
	c.waiting++
	c.shedOverflow(now)
}

// prompt returns the parts of the request that matter to the engine pool.
func (r *Request) prompt() batching.Prompt {
	return batching.Prompt{Tokens: r.PromptTokens, ResponseTokens: r.EstimatedTokens, Parts: r.Parts, Zone: r.Zone, BodyBytes: r.BodyBytes}
}

// state returns the state of the request in the engine pool.
func (r *Request) state(now time.Duration) batching.RequestState {
	s := batching.RequestState{Prompt: r.prompt(), WaitingSince: now - r.Waited, MustRun: r.StartTimeout == 0}
	if r.EndTimeout > 0 {
		s.Deadline = s.WaitingSince + r.EndTimeout
	}
	return s
}

// setClass sets the class of an entry that is neither queued nor running yet.
func (e *entry) setClass(q *classQueue) {
	e.class, e.Class = q, &q.Class
}

// admit returns the reason to refuse a new request, or "" if it may be queued.
func (c *Cell) admit(q *classQueue, r *Request, now time.Duration) Refusal {
	switch {
	case q == nil:
		return RefusedUnknownClass
	case !c.hasEndpoint(r):
		return RefusedNoEndpoint
	case q.policy.MaxQueue > 0 && q.waiting() >= q.policy.MaxQueue:
		return RefusedQueueFull
	case c.wouldExceedMaxWait(q, now):
		return RefusedShed
	}
	return ""
}

// hasEndpoint reports whether any endpoint could serve the request, now or
// later.
func (c *Cell) hasEndpoint(r *Request) bool {
	for _, e := range c.sortedEndpoints {
		if !e.policy.Draining && e.mayRun(r) {
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
	if n := len(c.freeEntries); n > 0 {
		e = c.freeEntries[n-1]
		c.freeEntries = c.freeEntries[:n-1]
	} else {
		e = &entry{}
	}
	c.arrivals++
	*e = entry{
		RequestState: r.state(now),
		request:      r,
		arrival:      c.arrivals,
		work:         estimateWork(r.PromptTokens, r.EstimatedTokens),
	}
	c.entries[r.ID] = e
	c.countFingerprint(r.Fingerprint, 1)
	return e
}

// recycle removes an entry that is neither queued nor running, and keeps its
// memory for reuse.
func (c *Cell) recycle(e *entry) {
	delete(c.entries, e.request.ID)
	c.countFingerprint(e.request.Fingerprint, -1)
	*e = entry{}
	c.freeEntries = append(c.freeEntries, e)
}

// dequeue removes a waiting entry from the queue.
func (c *Cell) dequeue(e *entry) {
	e.class.remove(e)
	c.waiting--
}

// Cancel removes a waiting request from the queue and reports whether there was
// one. A running request is not affected.
func (c *Cell) Cancel(id RequestID) bool {
	e := c.entries[id]
	if e == nil || e.endpoint != nil {
		return false
	}
	c.dequeue(e)
	e.class.counters.cancelled++
	c.recycle(e)
	return true
}

// AdoptGrant records a grant that was issued by another coordinator.
func (c *Cell) AdoptGrant(h Holding) {
	now := c.now()
	e := c.entries[h.ID]
	if e != nil && e.endpoint != nil {
		return
	}
	if e != nil {
		c.dequeue(e)
		c.recycle(e)
	}
	q, to := c.class(h.Class), c.holderOf(&h)
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
		Waited:          h.Elapsed,
		EndTimeout:      h.endTimeout(),
	}, now)
	e.setClass(q)
	e.account = q.account(h.Account)
	e.Begun = h.FirstTokenReceived
	c.startGrant(e, to, now)
	e.adopted = true
	if h.FirstTokenReceived {
		e.accepted = true
		e.RecordProgress(max(1, h.Tokens), now)
	} else {
		to.brittle.granted(e.request.ID, now)
	}
}

// Release ends a grant. Unknown grants are ignored.
func (c *Cell) Release(id RequestID, r Report) {
	e := c.entries[id]
	if e == nil || e.endpoint == nil {
		return
	}
	now := c.now()
	c.endGrant(e)
	c.recordOutcome(e, r, now)
	if r.NoRateLimit {
		c.removeLimit(e)
	}
	if r.NotBrittle {
		c.removeBrittle(e)
	}
	c.recycle(e)
}

// recordOutcome updates the endpoint's health and the length estimates, and
// corrects the work that was charged by estimate.
func (c *Cell) recordOutcome(e *entry, r Report, now time.Duration) {
	brittle := &e.endpoint.brittle
	if r.Refused && brittle.isActive() {
		brittle.refused(e.request.ID, e.endpoint.Running, now)
		return
	}
	brittle.accepted(e.request.ID, e.endpoint.Running+1, e.endpoint.policy.Concurrency, now)
	if r.Failed {
		c.recordFailure(e.endpoint, e.Granted, now)
	} else if r.Tokens > 0 || r.Done {
		c.recordSuccess(e.endpoint, e.Granted, now)
		c.recordSpeed(e, Progress{FirstToken: r.FirstToken, Tokens: r.Tokens, Elapsed: r.Duration}, now)
	}
	if r.Done && !e.adopted {
		c.pool.Observe(&e.RequestState, &e.endpoint.Engine, batching.Stream{Events: r.Tokens, FirstToken: r.FirstToken, LongestGap: r.LongestGap})
	}
	if r.Done && r.Tokens > 0 {
		e.class.RecordRunTime(r.Duration)
		c.pool.RecordLength(&e.RequestState, r.Tokens)
		c.estimates.Observe(e.request.Class, e.request.Account, e.request.EstimatedTokens, r.Tokens)
		c.meanWork.Add(estimateWork(e.request.PromptTokens, r.Tokens))
	}
	if r.Tokens > 0 {
		e.class.charge(e.account, estimateWork(e.request.PromptTokens, r.Tokens)-e.work)
	}
}

// Progress records the progress of a running grant.
func (c *Cell) Progress(id RequestID, p Progress) {
	e := c.entries[id]
	if e == nil || e.endpoint == nil {
		return
	}
	now := c.now()
	c.recordSuccess(e.endpoint, e.Granted, now)
	e.accepted = true
	e.endpoint.brittle.accepted(id, e.endpoint.Running, e.endpoint.policy.Concurrency, now)
	c.recordSpeed(e, p, now)
	c.pool.RecordFirstToken(&e.endpoint.Engine, &e.RequestState, now)
	e.RecordProgress(p.Tokens, now)
}

func (c *Cell) refuseArrival(q *classQueue, id RequestID, why Refusal, now time.Duration) {
	retry := defaultRetry
	if q != nil {
		q.counters.refused[why]++
		retry = q.tier.retryAfter(now)
	}
	c.decide(Decision{ID: id, Refusal: why, RetryAfter: retry})
}

func (c *Cell) refuse(id RequestID, why Refusal) {
	c.decide(Decision{ID: id, Refusal: why, RetryAfter: defaultRetry})
}

// DropHost removes the requests and grants of an incarnation that has ended.
func (c *Cell) DropHost(host Host, incarnation uint64) {
	c.Reconcile(host, incarnation, nil)
}

// Reconcile removes the requests and grants of an incarnation, except those in
// keep.
func (c *Cell) Reconcile(host Host, incarnation uint64, keep map[RequestID]bool) {
	for id, e := range c.entries {
		if id.Host != host || id.Incarnation != incarnation || keep[id] {
			continue
		}
		if e.endpoint != nil {
			c.endGrant(e)
		} else {
			c.dequeue(e)
		}
		c.recycle(e)
	}
}
