package schedule

import "time"

const (
	// hopelessQueue is how many requests of a tier may always wait.
	hopelessQueue = 8
	// expiredShare is the share of its class's bound that a request may wait
	// longer before it is refused.
	expiredShare = 4
	defaultRetry = time.Second
	maxRetry     = 30 * time.Second
)

// shedOverflow refuses waiting requests while there are too many: the
// youngest of the lowest tier, of the class with the most for its weight and
// its account with the most, so that a burst of one sheds none of the others.
// Nothing is shed while a lower tier than that runs preemptibly: it is about
// to give its places back.
//
// The entry to which ageing will give the next place is spared as well, and
// meanwhile nothing above it is shed: without that, a class below a tier that
// fills the queue by itself would never be served. The excess ends with the
// next place that comes free; if none does, the entry is shed after all.
func (c *Cell) shedOverflow(now time.Duration) {
	if c.maxWaiting == 0 || c.waiting-c.preempting <= c.maxWaiting {
		return
	}
	var spared *entry
	if c.waiting <= 2*c.maxWaiting {
		spared = c.overdue(now)
	}
	for c.waiting-c.preempting > c.maxWaiting {
		t := c.lowestWaiting()
		if c.runsBelow(t.tier) {
			return
		}
		victim := t.victim(spared)
		if victim == nil {
			return
		}
		c.shed(victim, now)
	}
}

// victim returns the entry to shed from the tier, or nil if only the spared
// one waits.
func (t *tierQueue) victim(spared *entry) *entry {
	q := t.largest(spared)
	if q == nil {
		return nil
	}
	e := q.largest.first().youngest.first()
	if e == spared {
		// The oldest of a class stands first in its heap by age.
		e = q.oldest.items[len(q.oldest.items)-1]
	}
	return e
}

func (c *Cell) lowestWaiting() *tierQueue {
	for i := len(c.tiers) - 1; i >= 0; i-- {
		if c.tiers[i].waiting > 0 {
			return c.tiers[i]
		}
	}
	return nil
}

// runsBelow tells whether a lower tier runs preemptibly.
func (c *Cell) runsBelow(t Tier) bool {
	for i := len(c.tiers) - 1; i >= 0 && c.tiers[i].tier > t; i-- {
		if c.tiers[i].preemptible.n > 0 {
			return true
		}
	}
	return false
}

// largest returns the class with the most waiting for its weight, not counting
// the spared entry; nil if no other waits.
func (t *tierQueue) largest(spared *entry) *classQueue {
	var largest *classQueue
	var most float64
	for _, q := range t.classes {
		n := q.waiting()
		if spared != nil && spared.class == q {
			n--
		}
		if share := float64(n) / q.weight(); share > most {
			largest, most = q, share
		}
	}
	return largest
}

func (c *Cell) shed(e *entry, now time.Duration) {
	retry := e.class.tier.retryAfter(now)
	c.withdraw(e)
	e.class.figures.refused[RefusedShed]++
	c.decide(Decision{ID: e.request.ID, Refusal: RefusedShed, RetryAfter: retry})
	c.free(e)
}

// shedExpired refuses the requests of the lowest tier that waits once they
// have waited a quarter longer than their class's bound. Ageing has not reached
// them, and it won't soon: its rate is bounded. The oldest of each class stays
// for it, and the highest tier is served late rather than shed.
func (c *Cell) shedExpired(now time.Duration) {
	t := c.lowestWaiting()
	if c.discipline != ByTier || c.off(Shedding) || t == nil || t == c.highest() || c.runsBelow(t.tier) {
		return
	}
	for _, q := range t.classes {
		for e := q.expired(now); e != nil; e = q.expired(now) {
			c.shed(e, now)
		}
	}
}

// expired returns an entry that has waited too long, but for the oldest.
func (q *classQueue) expired(now time.Duration) *entry {
	limit := q.policy.MaxWait + q.policy.MaxWait/expiredShare
	if limit == 0 {
		return nil
	}
	// The oldest stands at 0 in the heap, the next oldest at 1 or 2.
	for i := 1; i < min(3, q.waiting()); i++ {
		if e := q.oldest.items[i]; now-e.Since > limit {
			return e
		}
	}
	return nil
}

// highest returns the highest tier of the table, or nil if there is none.
func (c *Cell) highest() *tierQueue {
	for _, t := range c.tiers {
		if len(t.classes) > 0 {
			return t
		}
	}
	return nil
}

// hopeless tells whether a request that comes now would wait past its class's
// bound, by the rate at which its tier was granted places lately. Only the
// lowest tier of the scope is refused that way: a higher one is served late
// rather than shed.
func (c *Cell) hopeless(q *classQueue, now time.Duration) bool {
	if c.discipline != ByTier || c.off(Shedding) || q.policy.MaxWait == 0 || q.tier == c.highest() || q.tier.waiting < hopelessQueue {
		return false
	}
	if c.lowestWaiting().tier > q.tier.tier || c.runsBelow(q.tier.tier) {
		return false
	}
	rate, ok := q.tier.grants.rate(now)
	return ok && float64(q.tier.waiting) > rate*q.policy.MaxWait.Seconds()
}

// retryAfter returns when the tier's queue will have been served.
func (t *tierQueue) retryAfter(now time.Duration) time.Duration {
	rate, ok := t.grants.rate(now)
	if !ok || rate == 0 {
		return defaultRetry
	}
	wait := time.Duration(float64(t.waiting) / rate * float64(time.Second))
	return min(max(wait, defaultRetry), maxRetry)
}
