package schedule

import "time"

const (
	// nearlyDone is the estimated rest of an answer that is not worth
	// preempting.
	nearlyDone = 300 * time.Millisecond
	// patience is the share of its target that a request waits for a place
	// to come free by itself before one is asked back.
	patience = 8
)

// preemptAll asks places back when higher tiers wait and none is free: at
// most one for each request that waits, from the lowest tier that runs
// preemptibly. A place asked back counts until it comes.
func (c *Cell) preemptAll(now time.Duration) {
	if c.discipline != ByTier || c.waiting == 0 || c.anyFree(now) {
		return
	}
	wanted := 0
	for _, t := range c.tiers {
		if t.waiting == 0 {
			continue
		}
		wanted += t.waiting
		if !t.impatient(now) {
			continue
		}
		for c.preempting < wanted {
			victim := c.victim(t.tier, now)
			if victim == nil {
				break
			}
			c.preempt(victim)
		}
	}
}

// anyFree tells whether a place is free, which those who wait can't use.
func (c *Cell) anyFree(now time.Duration) bool {
	for _, e := range c.list {
		if e.free(now) {
			return true
		}
	}
	return false
}

// impatient tells whether a class of the tier has waited long enough.
func (t *tierQueue) impatient(now time.Duration) bool {
	for _, q := range t.classes {
		if e := q.oldest.first(); e != nil && now-e.Since >= q.policy.Target/patience {
			return true
		}
	}
	return false
}

// victim returns the newest preemptible grant of the lowest tier below t that
// is not nearly done. The newest has the least that must be taken in again.
func (c *Cell) victim(t Tier, now time.Duration) *entry {
	for i := len(c.tiers) - 1; i >= 0 && c.tiers[i].tier > t; i-- {
		for e := c.tiers[i].preemptible.last; e != nil; e = e.prev {
			if e.endpoint.health.reason == "" && !e.endpoint.policy.Draining && !e.endpoint.limit.paced(now) && !c.nearlyDone(e, now) {
				return e
			}
		}
	}
	return nil
}

// nearlyDone tells whether a grant is expected to end by itself soon. One
// that runs longer than estimated is not: nobody knows how long it will be.
func (c *Cell) nearlyDone(e *entry, now time.Duration) bool {
	perToken := e.endpoint.health.token.Value
	if perToken == 0 {
		return false
	}
	whole := time.Duration(e.work * perToken * float64(time.Second))
	rest := whole - (now - e.Granted)
	return rest >= 0 && rest < nearlyDone
}

func (c *Cell) preempt(e *entry) {
	e.class.tier.preemptible.remove(e)
	e.preempting = true
	c.preempting++
	e.class.figures.preempted++
	c.decide(Decision{ID: e.request.ID, Preempt: true})
}
