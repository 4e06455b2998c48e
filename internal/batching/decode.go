package batching

import (
	"math"
	"time"
)

// A burst of long requests takes every engine: first their prompts slow down
// the urgent streams beside them, then their answers hold the slots for
// seconds, and urgent requests that come meanwhile find no place at all. To
// let each engine take some of both is the worst of it, since every stream is
// then slowed down by some prompt. So some engines are kept for decoding: they
// run hurried streams and short requests, and no long ones that are less
// urgent. How many follows from the streams that run and wait.

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
	// longBusy is how much of its time an engine that takes long reads should
	// read them.
	longBusy = 0.6
	// brokenTime is how much more backlog a long read rather finds than to
	// break a protected stream.
	brokenTime = 100 * time.Millisecond
)

// reviewDecode chooses the decode engines anew from time to time.
func (p *Pool) reviewDecode(now time.Duration) {
	if !p.batches || now-p.decodeReviewed < decodeInterval {
		return
	}
	since := now - p.decodeReviewed
	p.decodeReviewed = now
	p.fade = math.Exp(-since.Seconds() / decodeFade.Seconds())
	p.reviewProtected(now)
	p.streamsNow = p.hurriedStreams(now)
	p.decodeDemand = max(p.streamsNow, p.decodeDemand*p.fade)
	p.longPeak = max(p.longReads.since(now, p.firstLong), p.longPeak*p.fade)
	p.setDecode(p.decodeWanted(now), now)
}

// setDecode keeps engines for decoding or gives them back until there are so many.
func (p *Pool) setDecode(wanted int, now time.Duration) {
	p.decodeEngines = 0
	for _, e := range p.engines {
		if e.Decode && (!e.canDecode(now) || wanted == 0 || e.emptying && e.protected == 0) {
			e.Decode, e.emptying = false, false
		}
		if e.Decode && !e.emptying {
			p.decodeEngines++
		}
	}
	for ; p.decodeEngines < wanted; p.decodeEngines++ {
		e := p.bestForDecode(now)
		if e == nil {
			return
		}
		e.Decode, e.emptying = true, false
	}
	if p.decodeEngines <= wanted+decodeRelease {
		return
	}
	for ; p.decodeEngines > wanted+decodeRelease/2; p.decodeEngines-- {
		p.giveBackDecode()
	}
}

// hurriedStreams returns how many hurried streams run and wait, or will do so
// at the rate at which they come, and notes the least urgent tier that has any.
func (p *Pool) hurriedStreams(now time.Duration) float64 {
	streams := 0.0
	p.decodeTier = -1
	for _, q := range p.classes {
		share := 1.0
		if !q.protected {
			share = q.meanSensitivity.Value
		}
		if !q.protected && !p.crowdedOut(q) {
			continue
		}
		n := max(float64(q.Running+q.Waiting()), q.expectedStreams(now)) * share
		if n > 0 {
			p.decodeTier = max(p.decodeTier, q.Tier)
		}
		streams += n
	}
	return streams
}

// crowdedOut tells whether answers of less urgent classes last so long that the
// streams of a hurried class find no slots.
func (p *Pool) crowdedOut(q *Class) bool {
	if q.Pause == 0 || q.Pause >= unhurriedPause {
		return false
	}
	for _, other := range p.classes {
		long := other.meanAnswer.N == 0 || other.meanAnswer.Value >= longStream
		if other.Tier > q.Tier && long {
			return true
		}
	}
	return false
}

// decodeWanted returns how many engines are to be kept for decoding.
func (p *Pool) decodeWanted(now time.Duration) int {
	engines, slots := 0, 0
	for _, e := range p.engines {
		if e.canDecode(now) {
			engines++
			slots += e.Concurrency
		}
	}
	if engines < 2 || p.decodeTier < 0 || p.off(DecodeEngines) {
		return 0
	}
	p.decodeEach = max(1, min(decodeStreams, decodeSlots*float64(slots)/float64(engines)))
	wanted := p.decodeDemand / p.decodeEach
	if p.bearable == 0 {
		return int(min(math.Ceil(wanted), maxDecode*float64(engines)))
	}
	return p.divide(math.Ceil(wanted), now, engines)
}

// divide returns how many engines are kept for decoding where long reads and protected
// streams are kept apart. One engine stays for either.
//
// If both can't have what their recent peaks ask for, what they need now
// decides: to keep engines for streams that may come back would let reads wait
// that are there. They share in proportion what is left beyond that, or lacking.
func (p *Pool) divide(streams float64, now time.Duration, engines int) int {
	long := max(1, p.longPeak/longBusy)
	if all := float64(engines); streams+long > all {
		streams = p.streamsNow / p.decodeEach
		long = max(1, p.longNow(now)/longBusy)
		streams *= all / (streams + long)
	}
	return min(max(int(math.Round(streams)), 1), engines-1)
}

// longNow is how much reading of long prompts comes and waits, in seconds of an
// engine per second.
func (p *Pool) longNow(now time.Duration) float64 {
	waiting := 0.0
	for _, q := range p.classes {
		if !q.protected {
			waiting += float64(q.Waiting()) * q.meanRead.Value
		}
	}
	return p.longReads.since(now, p.firstLong) + waiting/demandTime.Seconds()
}

// canDecode tells whether an engine batches and takes work.
// bestForDecode returns the engine that is best kept for decoding: one that was about to
// be given back, or else the one with the least long work.
func (p *Pool) bestForDecode(now time.Duration) *Engine {
	var best *Engine
	for _, e := range p.engines {
		if e.Decode && !e.emptying || !e.canDecode(now) {
			continue
		}
		if best == nil || e.betterForDecode(best) {
			best = e
		}
	}
	return best
}

// giveBackDecode has the decode engine with the fewest protected streams take no
// more of them, and long work as soon as these have ended. To give it long
// reads at once would break them.
func (p *Pool) giveBackDecode() {
	var least *Engine
	for _, e := range p.engines {
		if e.Decode && !e.emptying && (least == nil || e.protected < least.protected) {
			least = e
		}
	}
	least.emptying = true
}

// staysLong tells whether a request holds a slot for long or takes long to
// read.
func staysLong(r *Prompt) bool {
	return r.Answer >= longStream || r.Tokens >= plainPrompt
}

// staysLongBelow tells whether a request stays long and is less urgent than the
// streams on decode engines.
func (p *Pool) staysLongBelow(q *Class, r *Prompt) bool {
	return q.Tier > p.decodeTier && staysLong(r)
}
