package schedule

import (
	"math"
	"time"
)

// A burst of long requests takes every engine: first their prompts slow down
// the urgent streams beside them, then their answers hold the slots for
// seconds, and urgent requests that come meanwhile find no place at all. To
// let each engine take some of both is the worst of it, since every stream is
// then slowed down by some prompt. So some engines are kept for decoding: they run hurried
// streams and short requests, and no long ones that are less urgent. How many
// follows from the streams that run and wait.

const (
	// decodeStreams is how many hurried streams are planned for a decode engine,
	// decodeSlots the part of its slots that they may take by plan. What is left
	// is for bursts, which come faster than engines get rid of long answers.
	decodeStreams = 24
	decodeSlots   = 0.75
	// maxDecode is the greatest part of the engines that is kept for decoding.
	maxDecode = 0.6
	// decodeInterval is the time between two reviews of the decode engines.
	decodeInterval = 100 * time.Millisecond
	// decodeRelease is by how many engines there must be too many decode engines
	// for one to be given back, so that they don't change with each stream.
	decodeRelease = 2
	// decodeFade is over how long the demand for decode engines falls after a
	// peak. Streams come back sooner than an engine is free of long answers.
	decodeFade = 4 * time.Second
	// firstStay is how long a hurried stream is thought to run until one has.
	firstStay = 2 * time.Second
	// minSeen is the part of the averaging time that must have been seen for a
	// rate to be told from chance.
	minSeen = 0.15
	// longBusy is how much of its time an engine that takes long reads should
	// read them.
	longBusy = 0.6
	// brokenTime is how much more backlog a long read rather finds than to
	// break a protected stream.
	brokenTime = 100 * time.Millisecond
)

// reviewDecode chooses the decode engines anew from time to time.
func (c *Cell) reviewDecode(now time.Duration) {
	if !c.batching || now-c.decodeReviewed < decodeInterval {
		return
	}
	since := now - c.decodeReviewed
	c.decodeReviewed = now
	c.fade = math.Exp(-since.Seconds() / decodeFade.Seconds())
	c.reviewProtected(now)
	c.streamsNow = c.hurriedStreams(now)
	c.decodeDemand = max(c.streamsNow, c.decodeDemand*c.fade)
	c.longPeak = max(c.longReads.since(now, c.firstLong), c.longPeak*c.fade)
	c.setDecode(c.decodeWanted(now), now)
}

// setDecode keeps engines for decoding or gives them back until there are so many.
func (c *Cell) setDecode(wanted int, now time.Duration) {
	c.decodeEngines = 0
	for _, e := range c.list {
		if e.decode && (!e.canDecode(now) || wanted == 0 || e.emptying && e.batch.protected == 0) {
			e.decode, e.emptying = false, false
		}
		if e.decode && !e.emptying {
			c.decodeEngines++
		}
	}
	for ; c.decodeEngines < wanted; c.decodeEngines++ {
		e := c.bestForDecode(now)
		if e == nil {
			return
		}
		e.decode, e.emptying = true, false
	}
	if c.decodeEngines <= wanted+decodeRelease {
		return
	}
	for ; c.decodeEngines > wanted+decodeRelease/2; c.decodeEngines-- {
		c.giveBackDecode()
	}
}

// hurriedStreams returns how many hurried streams run and wait, or will do so
// at the rate at which they come, and notes the least urgent tier that has any.
func (c *Cell) hurriedStreams(now time.Duration) float64 {
	streams := 0.0
	c.decodeTier = -1
	for _, q := range c.order {
		share := 1.0
		if !q.protected {
			share = q.meanSensitivity.value
		}
		if !q.protected && !c.crowdedOut(q) {
			continue
		}
		n := max(float64(q.running+q.waiting()), q.expectedStreams(now)) * share
		if n > 0 {
			c.decodeTier = max(c.decodeTier, q.tier.tier)
		}
		streams += n
	}
	return streams
}

// crowdedOut tells whether answers of less urgent classes last so long that the
// streams of a hurried class find no slots.
func (c *Cell) crowdedOut(q *classQueue) bool {
	if q.policy.Pause == 0 || q.policy.Pause >= unhurriedPause {
		return false
	}
	for _, other := range c.order {
		long := other.meanAnswer.n == 0 || other.meanAnswer.value >= longStream
		if other.tier.tier > q.tier.tier && long {
			return true
		}
	}
	return false
}

// expectedStreams returns how many requests of a class will run at once if they
// go on coming as they do. At the start, and in a burst, that is known seconds
// before they run, and long requests must not take the engines meanwhile.
func (q *classQueue) expectedStreams(now time.Duration) float64 {
	return q.arrivals.since(now, q.firstArrival) * q.meanStay()
}

// meanStay is how long the class's requests run, in seconds.
func (q *classQueue) meanStay() float64 {
	if q.stay.n == 0 {
		return firstStay.Seconds()
	}
	return q.stay.value
}

// decodeWanted returns how many engines are to be kept for decoding.
func (c *Cell) decodeWanted(now time.Duration) int {
	engines, slots := 0, 0
	for _, e := range c.list {
		if e.canDecode(now) {
			engines++
			slots += e.policy.Concurrency
		}
	}
	if engines < 2 || c.decodeTier < 0 || c.off(DecodeEngines) {
		return 0
	}
	c.decodeEach = max(1, min(decodeStreams, decodeSlots*float64(slots)/float64(engines)))
	wanted := c.decodeDemand / c.decodeEach
	if c.bearable == 0 {
		return int(min(math.Ceil(wanted), maxDecode*float64(engines)))
	}
	return c.divide(math.Ceil(wanted), now, engines)
}

// divide returns how many engines are kept for decoding where long reads and protected
// streams are kept apart. One engine stays for either.
//
// If both can't have what their recent peaks ask for, what they need now
// decides: to keep engines for streams that may come back would let reads wait
// that are there. They share in proportion what is left beyond that, or lacking.
func (c *Cell) divide(streams float64, now time.Duration, engines int) int {
	long := max(1, c.longPeak/longBusy)
	if all := float64(engines); streams+long > all {
		streams = c.streamsNow / c.decodeEach
		long = max(1, c.longNow(now)/longBusy)
		streams *= all / (streams + long)
	}
	return min(max(int(math.Round(streams)), 1), engines-1)
}

// longNow is how much reading of long prompts comes and waits, in seconds of an
// engine per second.
func (c *Cell) longNow(now time.Duration) float64 {
	waiting := 0.0
	for _, q := range c.order {
		if !q.protected {
			waiting += float64(q.waiting()) * q.meanRead.value
		}
	}
	return c.longReads.since(now, c.firstLong) + waiting/demandTime.Seconds()
}

// canDecode tells whether an engine batches and takes work.
func (e *endpointState) canDecode(now time.Duration) bool {
	return e.policy.Memory > 0 && !e.policy.Draining && !e.gone && !e.health.ejected(now)
}

// bestForDecode returns the engine that is best kept for decoding: one that was about to
// be given back, or else the one with the least long work.
func (c *Cell) bestForDecode(now time.Duration) *endpointState {
	var best *endpointState
	for _, e := range c.list {
		if e.decode && !e.emptying || !e.canDecode(now) {
			continue
		}
		if best == nil || e.betterForDecode(best) {
			best = e
		}
	}
	return best
}

func (e *endpointState) betterForDecode(other *endpointState) bool {
	switch {
	case e.emptying != other.emptying:
		return e.emptying
	case e.longRuns != other.longRuns:
		return e.longRuns < other.longRuns
	}
	return e.batch.protected > other.batch.protected
}

// giveBackDecode has the decode engine with the fewest protected streams take no
// more of them, and long work as soon as these have ended. To give it long
// reads at once would break them.
func (c *Cell) giveBackDecode() {
	var least *endpointState
	for _, e := range c.list {
		if e.decode && !e.emptying && (least == nil || e.batch.protected < least.batch.protected) {
			least = e
		}
	}
	least.emptying = true
}

// staysLong tells whether a request holds a slot for long or takes long to
// read.
func staysLong(r *Request) bool {
	return r.EstimatedTokens >= longStream || r.PromptTokens >= plainPrompt
}

// staysLongBelow tells whether a request stays long and is less urgent than the
// streams on decode engines.
func (c *Cell) staysLongBelow(r *Request) bool {
	q := c.class(r.Class)
	return q != nil && q.tier.tier > c.decodeTier && staysLong(r)
}
