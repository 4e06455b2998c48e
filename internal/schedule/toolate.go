package schedule

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// In an overload a request may wait until its caller is about to leave, and is
// then sent for nobody: the engine reads a prompt whose answer no one takes,
// and the caller, who was kept until the end, has no time left to come back.
// So a request is refused once its answer can't begin while the caller waits;
// the caller learns when there may be room.

const (
	// answerSlack is for the ways of the refusal and of the answer.
	answerSlack = 100 * time.Millisecond
	// tooLateInterval is the time between two looks at all that wait.
	tooLateInterval = 50 * time.Millisecond
	// minReturn and maxReturn bound when callers are told to come back.
	minReturn = 200 * time.Millisecond
	maxReturn = 3 * time.Second
	// returnSpread is the part of that time over which those who are refused
	// together are spread.
	returnSpread = 0.5
	// goldenShare spreads consecutive numbers evenly.
	goldenShare = 0.6180339887
)

// tooLate tells whether an answer that is begun now comes after its caller has
// left.
func (c *Cell) tooLate(e *entry, now time.Duration) bool {
	useful := e.request.Useful
	if useful == 0 {
		return false
	}
	begins := now - e.Since + answerSlack
	if c.pool.Batches() {
		begins += c.pool.FirstToken(&e.Work)
	}
	return begins > useful
}

// shedTooLate refuses the waiting requests whose answers would begin too late. It
// looks at all of them, so it does so from time to time only.
func (c *Cell) shedTooLate(now time.Duration) {
	if c.discipline != ByTier || c.off(TooLate) || now-c.tooLateReviewed < tooLateInterval {
		return
	}
	c.tooLateReviewed = now
	for _, q := range c.order {
		c.setAside = c.setAside[:0]
		for _, e := range q.oldest.items {
			if c.tooLate(e, now) {
				c.setAside = append(c.setAside, e)
			}
		}
		for _, e := range c.setAside {
			c.refuseTooLate(e, now)
		}
	}
	c.setAside = c.setAside[:0]
}

func (c *Cell) refuseTooLate(e *entry, now time.Duration) {
	retry := c.comeBack(e, now)
	c.withdraw(e)
	e.class.figures.refused[RefusedTooLate]++
	c.decide(Decision{ID: e.request.ID, Refusal: RefusedTooLate, RetryAfter: retry})
	c.free(e)
}

// comeBack returns when a refused caller should come again: when those of its
// tier that wait now will have been served, each caller at another moment.
func (c *Cell) comeBack(e *entry, now time.Duration) time.Duration {
	wait := minReturn
	if rate, ok := e.class.tier.grants.rate(now); ok && rate > 0 {
		wait = stat.Seconds(float64(e.class.tier.waiting) / rate)
	}
	_, part := math.Modf(float64(e.order) * goldenShare)
	spread := 1 + returnSpread*(part-0.5)
	return time.Duration(float64(min(max(wait, minReturn), maxReturn)) * spread)
}
