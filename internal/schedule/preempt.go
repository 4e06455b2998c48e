package schedule

import "time"

const (
	// minRemaining is the estimated remaining time of a grant below which it is
	// not worth preempting.
	minRemaining = 300 * time.Millisecond
	// preemptDelayDivisor determines how long a request waits for a slot to
	// become free before another grant is preempted: its target divided by this.
	preemptDelayDivisor = 8
)

// preemptAll preempts grants when higher tiers wait and no slot is free: at most
// one for each waiting request, beginning with the lowest tier that has
// preemptible grants. A grant that is being preempted counts until it is
// released.
func (c *Cell) preemptAll(now time.Duration) {
	if c.discipline != ByTier || c.waiting == 0 || c.anyFreeSlot(now) {
		return
	}
	wanted := 0
	for _, t := range c.tiers {
		if t.waiting == 0 {
			continue
		}
		wanted += t.waiting
		if !t.preemptionDue(now) {
			continue
		}
		for c.preempting < wanted {
			victim := c.preemptionVictim(t.tier, now)
			if victim == nil {
				break
			}
			c.preempt(victim)
		}
	}
}

// anyFreeSlot reports whether any endpoint has a free slot. Since slots are
// granted before preemption, the requests that still wait can't use it.
func (c *Cell) anyFreeSlot(now time.Duration) bool {
	for _, e := range c.sortedEndpoints {
		if e.hasFreeSlot(now) {
			return true
		}
	}
	return false
}

// preemptionDue reports whether a request of the tier has waited long enough to
// preempt others.
func (t *tierQueue) preemptionDue(now time.Duration) bool {
	for _, q := range t.classes {
		if e := q.oldest.first(); e != nil && now-e.WaitingSince >= q.policy.FirstTokenTarget/preemptDelayDivisor {
			return true
		}
	}
	return false
}

// preemptionVictim returns the newest preemptible grant of the lowest tier below
// t that is not about to end. The newest has generated the least, so that
// resuming it elsewhere costs the least.
func (c *Cell) preemptionVictim(t Tier, now time.Duration) *entry {
	for i := len(c.tiers) - 1; i >= 0 && c.tiers[i].tier > t; i-- {
		for e := c.tiers[i].preemptible.last; e != nil; e = e.prev {
			if e.endpoint.health.reason == "" && !e.endpoint.policy.Draining && !e.endpoint.limit.throttled(now) && !c.endsSoon(e, now) {
				return e
			}
		}
	}
	return nil
}

// endsSoon reports whether a grant is expected to end soon. This is false for one
// that has run longer than estimated, since its remaining time is unknown.
func (c *Cell) endsSoon(e *entry, now time.Duration) bool {
	perToken := e.endpoint.health.tokenTime.Value
	if perToken == 0 {
		return false
	}
	total := time.Duration(e.work * perToken * float64(time.Second))
	remaining := total - (now - e.Granted)
	return remaining >= 0 && remaining < minRemaining
}

func (c *Cell) preempt(e *entry) {
	e.class.tier.preemptible.remove(e)
	e.preempting = true
	c.preempting++
	e.class.counters.preempted++
	c.decide(Decision{ID: e.request.ID, Preempt: true})
}
