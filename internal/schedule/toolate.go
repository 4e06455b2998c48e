package schedule

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/admission"
	"github.com/beechhead/beechhead/internal/stat"
)

// Under overload, a request may wait until its caller is about to give up. Once
// it is granted, the engine processes a prompt whose response nobody receives,
// and the caller has no time left for a retry. Therefore a request is refused as
// soon as its response can't begin while the caller waits, and the caller is told
// when to retry.

const (
	// tooLateInterval is the minimum time between two scans of the queue.
	tooLateInterval = 50 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio; the fractional parts
	// of its multiples are evenly distributed.
	goldenRatio = 0.6180339887
)

// tooLate reports whether the response to a request that is granted now would
// begin after its caller has given up.
func (c *Cell) tooLate(e *entry, now time.Duration) bool {
	startTimeout := e.request.StartTimeout
	if startTimeout == 0 {
		return false
	}
	begins := now - e.WaitingSince + admission.TransitTime
	if c.pool.Batches() {
		begins += c.pool.FirstToken(&e.RequestState)
	}
	return begins > startTimeout
}

// shedTooLate refuses the waiting requests whose responses would begin or end too late.
// It scans the whole queue, and therefore runs only every tooLateInterval.
func (c *Cell) shedTooLate(now time.Duration) {
	if c.discipline != ByTier || c.isDisabled(TooLate) || now-c.lastTooLateCheck < tooLateInterval {
		return
	}
	c.lastTooLateCheck = now
	for _, q := range c.classOrder {
		c.deferred = c.deferred[:0]
		for _, e := range q.oldest.items {
			switch {
			case c.tooLate(e, now):
				c.deferred = append(c.deferred, e)
			case c.pool.Outlasts(&e.RequestState, now):
				q.counters.outlasting++
				c.deferred = append(c.deferred, e)
			case c.leftBehind(e, now):
				q.counters.refusedEarly++
				c.deferred = append(c.deferred, e)
			}
		}
		for _, e := range c.deferred {
			c.refuseTooLate(e, now)
		}
	}
	c.deferred = c.deferred[:0]
}

func (c *Cell) refuseTooLate(e *entry, now time.Duration) {
	retry := c.tooLateRetryAfter(e, now)
	c.recordRefusal(e, retry, now)
	c.dequeue(e)
	e.class.counters.refused[RefusedTooLate]++
	c.decide(Decision{ID: e.request.ID, Refusal: RefusedTooLate, RetryAfter: retry})
	c.recycle(e)
}

// tooLateRetryAfter returns when a refused caller should retry: after the time in
// which the waiting requests of its tier will have been served, spread so that
// callers do not retry at the same moment.
func (c *Cell) tooLateRetryAfter(e *entry, now time.Duration) time.Duration {
	if queue, ok := c.queueOf(e.class, now); ok {
		return queue.ReturnAfter(c.admissionRequest(e, now), returnPart(e.arrival))
	}
	wait := time.Duration(0)
	if rate, ok := e.class.tier.grantRate.rate(now); ok && rate > 0 {
		wait = stat.Seconds(float64(e.class.tier.waiting) / rate)
	}
	return admission.Spread(wait, &admission.Request{}, returnPart(e.arrival))
}

// returnPart returns the part of the spread at which the caller of the nth arrival
// returns.
func returnPart(n uint64) float64 {
	_, part := math.Modf(float64(n) * goldenRatio)
	return part
}
