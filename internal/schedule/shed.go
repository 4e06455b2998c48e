package schedule

import "time"

const (
	// minQueueToRefuse is the queue length of a tier below which no new request
	// is refused for its expected wait.
	minQueueToRefuse = 8
	// expiryDivisor determines when a waiting request expires: after MaxWait plus
	// MaxWait divided by this.
	expiryDivisor = 4
	defaultRetry  = time.Second
	maxRetry      = 30 * time.Second
)

// shedOverflow sheds waiting requests while the queue exceeds its limit. It takes
// the youngest request of the lowest waiting tier, from the class with the most
// waiting requests relative to its weight and its account with the most, so that
// a burst of one account sheds no requests of others. Nothing is shed while a
// still lower tier has preemptible grants, since these are about to be preempted.
//
// The entry that ageing will grant next is spared, and while it is the only one
// that could be shed in its tier, nothing of the tiers above is shed instead.
// Otherwise, a class below a tier that fills the queue by itself would never be
// served. The excess ends with the next slot that becomes free; if none does and
// the queue exceeds twice its limit, the entry is shed after all.
func (c *Cell) shedOverflow(now time.Duration) {
	if c.maxWaiting == 0 || c.waiting-c.preempting <= c.maxWaiting {
		return
	}
	var spared *entry
	if c.waiting <= 2*c.maxWaiting {
		spared = c.overdue(now)
	}
	for c.waiting-c.preempting > c.maxWaiting {
		t := c.lowestWaitingTier()
		if c.hasPreemptibleBelow(t.tier) {
			return
		}
		victim := t.shedVictim(spared)
		if victim == nil {
			return
		}
		c.shed(victim, now)
	}
}

// shedVictim returns the entry to shed from the tier, or nil if only the spared
// one is waiting.
func (t *tierQueue) shedVictim(spared *entry) *entry {
	q := t.largestClass(spared)
	if q == nil {
		return nil
	}
	e := q.largest.first().youngest.first()
	if e == spared {
		// The oldest entry of a class is first in its heap by age, so that the
		// last one is a different one.
		e = q.oldest.items[len(q.oldest.items)-1]
	}
	return e
}

func (c *Cell) lowestWaitingTier() *tierQueue {
	for i := len(c.tiers) - 1; i >= 0; i-- {
		if c.tiers[i].waiting > 0 {
			return c.tiers[i]
		}
	}
	return nil
}

// hasPreemptibleBelow reports whether a lower tier has preemptible grants.
func (c *Cell) hasPreemptibleBelow(t Tier) bool {
	for i := len(c.tiers) - 1; i >= 0 && c.tiers[i].tier > t; i-- {
		if c.tiers[i].preemptible.n > 0 {
			return true
		}
	}
	return false
}

// largestClass returns the class with the most waiting requests relative to its
// weight, not counting the spared entry, or nil if no other request waits.
func (t *tierQueue) largestClass(spared *entry) *classQueue {
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
	c.dequeue(e)
	e.class.counters.refused[RefusedShed]++
	c.decide(Decision{ID: e.request.ID, Refusal: RefusedShed, RetryAfter: retry})
	c.recycle(e)
}

// shedExpired sheds requests of the lowest waiting tier that have waited a
// quarter longer than the MaxWait of their class. Ageing has not reached them
// and, since its rate is limited, will not do so soon. The oldest request of each
// class is kept for ageing, and the highest tier is served late rather than shed.
func (c *Cell) shedExpired(now time.Duration) {
	t := c.lowestWaitingTier()
	if c.discipline != ByTier || c.isDisabled(Shedding) || t == nil || t == c.highestTier() || c.hasPreemptibleBelow(t.tier) {
		return
	}
	for _, q := range t.classes {
		for e := q.expired(now); e != nil; e = q.expired(now) {
			c.shed(e, now)
		}
	}
}

// expired returns an entry that has waited too long, other than the oldest.
func (q *classQueue) expired(now time.Duration) *entry {
	limit := q.policy.MaxWait + q.policy.MaxWait/expiryDivisor
	if limit == 0 {
		return nil
	}
	// The oldest entry is at index 0 of the heap, the second oldest at 1 or 2.
	for i := 1; i < min(3, q.waiting()); i++ {
		if e := q.oldest.items[i]; now-e.WaitingSince > limit {
			return e
		}
	}
	return nil
}

// highestTier returns the highest tier with classes, or nil if there is none.
func (c *Cell) highestTier() *tierQueue {
	for _, t := range c.tiers {
		if len(t.classes) > 0 {
			return t
		}
	}
	return nil
}

// wouldExceedMaxWait reports whether a new request is expected to wait longer
// than the MaxWait of its class, judging by the recent grant rate of its tier.
// Requests are refused this way only if no lower tier waits or has preemptible
// grants, and never in the highest tier: higher tiers are served late rather than
// shed.
func (c *Cell) wouldExceedMaxWait(q *classQueue, now time.Duration) bool {
	if c.discipline != ByTier || c.isDisabled(Shedding) || q.policy.MaxWait == 0 || q.tier == c.highestTier() || q.tier.waiting < minQueueToRefuse {
		return false
	}
	if c.lowestWaitingTier().tier > q.tier.tier || c.hasPreemptibleBelow(q.tier.tier) {
		return false
	}
	rate, ok := q.tier.grantRate.rate(now)
	return ok && float64(q.tier.waiting) > rate*q.policy.MaxWait.Seconds()
}

// retryAfter returns the time after which the present queue of the tier will
// have been served, within defaultRetry and maxRetry.
func (t *tierQueue) retryAfter(now time.Duration) time.Duration {
	rate, ok := t.grantRate.rate(now)
	if !ok || rate == 0 {
		return defaultRetry
	}
	wait := time.Duration(float64(t.waiting) / rate * float64(time.Second))
	return min(max(wait, defaultRetry), maxRetry)
}
