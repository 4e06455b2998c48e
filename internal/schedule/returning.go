package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/admission"
	"github.com/beechhead/beechhead/internal/returns"
)

// heavyDivisor is the part of the most requests of an account, as a divisor, from which on
// an account is one of those that overload the queue.
const heavyDivisor = 2

// Under a steady overload, first arrivals that can still meet their targets take all that
// is granted, and what can't waits in vain. Its callers are refused while they have time
// to return, and keep their place if they return when they were told.

// refuseOnArrival refuses an entry that is not queued yet if its caller returns early or
// the queue will not serve it. It reports whether the entry has been refused.
func (c *Cell) refuseOnArrival(e *entry, now time.Duration) bool {
	q, r := e.class, &e.request
	switch visit := c.visit(r, now); {
	case visit.Kind == returns.Early && c.hasWaiting(q.tier):
		q.counters.returnedEarly++
		c.refuseEntry(e, RefusedShed, visit.Due-now)
		return true
	case visit.Kind == returns.Early:
		e.returnedEarly = true
	case visit.Kind == returns.OnTime:
		q.counters.returnedOnTime++
		e.restorePlace(visit.First, now)
		return false
	}
	q.arrivals.add(now)
	queue, ok := c.queueOf(q, now)
	if !ok || !c.mayRefuseEarly(e) || !c.hasWaiting(q.tier) {
		return false
	}
	queue.Ahead, queue.Heavy = q.ahead(q.accounts[r.Account])
	request := c.admissionRequest(e, now)
	if !queue.IsHopeless(request) {
		return false
	}
	retry := queue.ReturnAfter(request, returnPart(e.arrival))
	q.counters.refusedEarly++
	c.recordRefusal(e, retry, now)
	c.refuseEntry(e, RefusedShed, retry)
	return true
}

// refuseEntry refuses an entry that is not queued.
func (c *Cell) refuseEntry(e *entry, why Refusal, retry time.Duration) {
	e.class.counters.refused[why]++
	c.decide(Decision{ID: e.request.ID, Refusal: why, RetryAfter: retry})
	c.recycle(e)
}

// isShared reports whether several requests with a fingerprint wait or run, so that it does
// not tell their callers apart. A request counts from its arrival.
func (c *Cell) isShared(fingerprint uint64) bool { return c.fingerprints[fingerprint] > 1 }

// countFingerprint counts an entry that begins or ends.
func (c *Cell) countFingerprint(fingerprint uint64, n int) {
	if fingerprint == 0 {
		return
	}
	if c.fingerprints[fingerprint] += n; c.fingerprints[fingerprint] == 0 {
		delete(c.fingerprints, fingerprint)
	}
}

// visit looks up the caller of a request that is not running anywhere.
func (c *Cell) visit(r *Request, now time.Duration) returns.Visit {
	if c.discipline != ByTier || c.isDisabled(ReturnOrder) || r.StartTimeout == 0 || len(r.Excluded) > 0 || c.isShared(r.Fingerprint) {
		return returns.Visit{Kind: returns.First, First: now}
	}
	return c.refused.Arrive(returns.Fingerprint(r.Fingerprint), now)
}

// restorePlace gives an entry the place of its caller's first arrival. The place is at
// most half the MaxWait of the class back, so that ageing does not prefer the entry to
// more urgent ones at once.
func (e *entry) restorePlace(first, now time.Duration) {
	if limit := e.class.policy.MaxWait; limit > 0 {
		first = max(first, now-limit/2)
	}
	since := min(first, e.WaitingSince)
	away := e.WaitingSince - since
	e.WaitingSince = since
	e.returned = true
	e.request.StartTimeout += away
	if e.request.EndTimeout > 0 {
		e.request.EndTimeout += away
	}
}

// recordRefusal records that the caller of an entry is told to return.
func (c *Cell) recordRefusal(e *entry, retry, now time.Duration) {
	if c.isDisabled(ReturnOrder) || retry <= 0 || e.returnedEarly || c.isShared(e.request.Fingerprint) {
		return
	}
	due := now + c.admissionRequest(e, now).Heeded(retry)
	c.refused.Refuse(returns.Fingerprint(e.request.Fingerprint), e.WaitingSince, due, now)
}

// maxLeadDivisor is the part of the target, as a divisor, that the time from a grant to the
// first token may take where requests are refused early. Where it takes more, requests
// that hardly wait are about to be late, and a refusal would cost more than it saves.
const maxLeadDivisor = 4

// mayRefuseEarly reports whether an entry may be refused while its caller could still be
// served: the caller will be known if it returns, and has not returned already.
func (c *Cell) mayRefuseEarly(e *entry) bool {
	r := &e.request
	if target := e.class.policy.FirstTokenTarget; target > 0 && c.leadTime(e) > target/maxLeadDivisor {
		return false
	}
	return !c.isShared(r.Fingerprint) && r.StartTimeout > 0 && r.Fingerprint != 0 && r.Version == nil && !e.returned && !c.isDisabled(ReturnOrder)
}

// leftBehind reports whether a waiting entry can no longer meet its target while first
// arrivals take all that is granted.
func (c *Cell) leftBehind(e *entry, now time.Duration) bool {
	if !e.Late || !c.mayRefuseEarly(e) {
		return false
	}
	queue, ok := c.queueOf(e.class, now)
	return ok && queue.IsOverloaded(e.class.policy.FirstTokenTarget)
}

// queueOf returns what an entry of a class meets in the queue. ok is false if nothing is
// known about the pace of the class. What engines that batch take depends on the prompts,
// so that no wait follows from their queue.
func (c *Cell) queueOf(q *classQueue, now time.Duration) (queue admission.Queue, ok bool) {
	if c.discipline != ByTier || c.pool.Batches() || c.isDisabled(EarlyRefusal) {
		return queue, false
	}
	queue.Pace, ok = q.pace.PerSecond(now)
	if !ok {
		return queue, false
	}
	queue.Arrivals, ok = q.arrivals.rate(now)
	queue.Waiting = float64(q.waiting())
	for _, t := range c.tiers {
		if t.tier < q.tier.tier {
			queue.Above += t.timeToServe(now)
		}
	}
	return queue, ok
}

// ahead returns how many waiting requests are granted before a new one of an account,
// which may be nil. Accounts are granted slots in turn. It also reports whether the account
// has at least half as many requests as the one with the most.
func (q *classQueue) ahead(a *accountQueue) (n float64, heavy bool) {
	own := 0
	if a != nil {
		own = len(a.entries.items)
	}
	sum, most := own, own
	for _, other := range q.active.items {
		if other != a {
			sum += min(own+1, len(other.entries.items))
			most = max(most, len(other.entries.items))
		}
	}
	return float64(sum), own > 0 && own >= most/heavyDivisor
}

// timeToServe returns how long the waiting requests of a tier take to be granted, as far
// as that is known.
func (t *tierQueue) timeToServe(now time.Duration) time.Duration {
	var longest time.Duration
	for _, q := range t.classes {
		queue := admission.Queue{Ahead: float64(q.waiting())}
		pace, ok := q.pace.PerSecond(now)
		if queue.Pace = pace; ok {
			longest = max(longest, queue.Wait())
		}
	}
	return longest
}

func (c *Cell) admissionRequest(e *entry, now time.Duration) *admission.Request {
	return &admission.Request{
		Lead: c.leadTime(e), Target: e.class.policy.FirstTokenTarget,
		StartTimeout: e.request.StartTimeout, EndTimeout: e.request.EndTimeout, Waited: now - e.WaitingSince,
	}
}

// hasWaiting reports whether requests wait in a tier or above it.
func (c *Cell) hasWaiting(t *tierQueue) bool {
	for _, other := range c.tiers {
		if other.tier <= t.tier && other.waiting > 0 {
			return true
		}
	}
	return false
}

// recordPace records a step for the pace of each class.
func (c *Cell) recordPace(now time.Duration) {
	for _, q := range c.classOrder {
		q.pace.RunTime = q.RunTime()
		q.pace.Step(now, q.stepGrants, q.waiting() > 0)
		q.stepGrants = 0
	}
}
