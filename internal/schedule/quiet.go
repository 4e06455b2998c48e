package schedule

import (
	"math"
	"time"
)

// A burst of long requests takes every engine: first their prompts slow down
// the urgent streams beside them, then their answers hold the slots for
// seconds, and urgent requests that come meanwhile find no place at all. To
// let each engine take some of both is the worst of it, since every stream is
// then slowed down by some prompt. So some engines are quiet: they run hurried
// streams and short requests, and no long ones that are less urgent. How many
// follows from the streams that run and wait.

const (
	// quietStreams is how many hurried streams are planned for a quiet engine,
	// quietSlots the part of its slots that they may take by plan. What is left
	// is for bursts, which come faster than engines get rid of long answers.
	quietStreams = 24
	quietSlots   = 0.65
	// maxQuiet is the greatest part of the engines that is quiet.
	maxQuiet = 0.6
	// quietInterval is the time between two reviews of the quiet engines.
	quietInterval = 100 * time.Millisecond
	// quietRelease is by how many engines there must be too many quiet ones
	// for one to be given back, so that they don't change with each stream.
	quietRelease = 2
	// quietFade is over how long the demand for quiet engines falls after a
	// peak. Streams come back sooner than an engine is free of long answers.
	quietFade = 4 * time.Second
	// firstStay is how long a hurried stream is thought to run until one has.
	firstStay = 2 * time.Second
	// minSeen is the part of the averaging time that must have been seen for a
	// rate to be told from chance.
	minSeen = 0.15
)

// reviewQuiet chooses the quiet engines anew from time to time.
func (c *Cell) reviewQuiet(now time.Duration) {
	if !c.batching || now-c.quietReviewed < quietInterval {
		return
	}
	since := now - c.quietReviewed
	c.quietReviewed = now
	streams := c.hurriedStreams(now)
	c.quietDemand = max(streams, c.quietDemand*math.Exp(-since.Seconds()/quietFade.Seconds()))
	wanted := c.quietWanted(now)
	quiet := 0
	for _, e := range c.list {
		if e.quiet && (!e.canBeQuiet(now) || wanted == 0) {
			e.quiet = false
		}
		if e.quiet {
			quiet++
		}
	}
	for ; quiet < wanted; quiet++ {
		e := c.quietest(now)
		if e == nil {
			return
		}
		e.quiet = true
	}
	if quiet > wanted+quietRelease {
		c.giveBackQuiet()
	}
}

// hurriedStreams returns how many hurried streams run and wait, or will do so
// at the rate at which they come, and notes the least urgent tier that has any.
func (c *Cell) hurriedStreams(now time.Duration) float64 {
	streams := 0.0
	c.quietTier = -1
	for _, q := range c.order {
		if q.policy.Pause == 0 || q.policy.Pause >= unhurriedPause {
			continue
		}
		n := max(float64(q.running+q.waiting()), q.expectedStreams(now)) * q.meanSensitivity.value
		if n > 0 {
			c.quietTier = max(c.quietTier, q.tier.tier)
		}
		streams += n
	}
	return streams
}

// expectedStreams returns how many requests of a class will run at once if they
// go on coming as they do. At the start, and in a burst, that is known seconds
// before they run, and long requests must not take the engines meanwhile.
func (q *classQueue) expectedStreams(now time.Duration) float64 {
	seen := 1 - math.Exp(-(now-q.firstArrival).Seconds()/demandTime.Seconds())
	if q.arrivals.rate == 0 || seen < minSeen {
		return 0
	}
	stay := firstStay.Seconds()
	if q.stay.n > 0 {
		stay = q.stay.value
	}
	return q.arrivals.present(now) / seen * stay
}

// quietWanted returns how many engines are to be quiet.
func (c *Cell) quietWanted(now time.Duration) int {
	engines, slots := 0, 0
	for _, e := range c.list {
		if e.canBeQuiet(now) {
			engines++
			slots += e.policy.Concurrency
		}
	}
	if engines < 2 || c.quietTier < 0 {
		return 0
	}
	each := min(quietStreams, quietSlots*float64(slots)/float64(engines))
	return int(min(math.Ceil(c.quietDemand/max(1, each)), maxQuiet*float64(engines)))
}

// canBeQuiet tells whether an engine batches and takes work.
func (e *endpointState) canBeQuiet(now time.Duration) bool {
	return e.policy.Memory > 0 && !e.policy.Draining && !e.gone && !e.health.ejected(now)
}

// quietest returns the engine that is best made quiet: the one with the least
// long work.
func (c *Cell) quietest(now time.Duration) *endpointState {
	var best *endpointState
	for _, e := range c.list {
		if e.quiet || !e.canBeQuiet(now) {
			continue
		}
		if best == nil || e.longRuns < best.longRuns || (e.longRuns == best.longRuns && e.batch.sensitivity > best.batch.sensitivity) {
			best = e
		}
	}
	return best
}

// giveBackQuiet lets the quiet engine with the fewest hurried streams take
// long work again.
func (c *Cell) giveBackQuiet() {
	var least *endpointState
	for _, e := range c.list {
		if e.quiet && (least == nil || e.batch.sensitivity < least.batch.sensitivity) {
			least = e
		}
	}
	least.quiet = false
}

// staysLong tells whether a request holds a slot for long or takes long to
// read.
func staysLong(r *Request) bool {
	return r.EstimatedTokens >= longStream || r.PromptTokens >= plainPrompt
}

// disturbsQuiet tells whether a request is kept off quiet engines: it stays
// long and is less urgent than the streams there.
func (c *Cell) disturbsQuiet(r *Request) bool {
	q := c.class(r.Class)
	return q != nil && q.tier.tier > c.quietTier && staysLong(r)
}
