package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/interference"
	"github.com/beechhead/beechhead/internal/stat"
)

// A stream is late as a whole if it pauses once for longer than its class
// allows, and prompts that are read beside it make it pause. What a read does
// to streams is learnt (package interference); from that follows which classes
// suffer from the reads that come, and which reads they can't bear. The two are
// kept on different engines, see decode.go.

const (
	// pauseShare is the part of an allowed pause that reading may take up; the
	// rest is for the way to the caller.
	pauseShare = 0.88
	// brokenFirst and brokenKept are the shares of a class's streams that would
	// break by long reads from which on they are kept apart from these.
	brokenFirst = 0.08
	brokenKept  = 0.03
)

// reviewProtected finds the classes whose streams suffer from the long reads that
// come, and the longest pause that all of those which have streams bear.
func (p *Pool) reviewProtected(now time.Duration) {
	p.bearable = 0
	p.mostHurried = p.leastPause(now)
	for _, q := range p.classes {
		limit := q.pauseLimit()
		own := stat.Seconds(q.meanRead.Value)
		if limit == 0 || p.pauses.MeanEvent()+own > limit || !p.mayProtect(q) {
			q.protected = false
			continue
		}
		q.protected = p.brokenShare(q, now) > q.brokenBound()
		if q.protected && q.hasStreams(now) && (p.bearable == 0 || limit < p.bearable) {
			p.bearable = limit
		}
	}
}

// brokenShare is the part of a class's streams that would meet a read which
// breaks them, if all engines took all reads.
func (p *Pool) brokenShare(q *Class, now time.Duration) float64 {
	q.breakersPeak = max(q.breakers.since(now, q.firstArrival), q.breakersPeak*p.fade)
	return q.breakersPeak * q.meanStay() / float64(max(1, len(p.engines)))
}

// countBreakers notes for each class whether a read breaks its streams.
func (p *Pool) countBreakers(read time.Duration, prompt int, now time.Duration) {
	pause := p.pauseBeside(p.typicalRunning(), read, prompt)
	for _, q := range p.classes {
		if limit := q.pauseLimit(); limit > 0 && pause > limit && p.mayProtect(q) {
			q.breakers.add(now, time.Second)
		}
	}
}

// mayProtect tells whether a class's streams may be protected. Until it is known
// how much reading falls into an event, only those of the most hurried are.
func (p *Pool) mayProtect(q *Class) bool {
	return p.pauses.Full() > 0 || q.Pause == p.mostHurried
}

// leastPause returns the shortest pause that any class with streams allows.
func (p *Pool) leastPause(now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, q := range p.classes {
		if p := q.Pause; p > 0 && q.hasStreams(now) && (least == 0 || p < least) {
			least = p
		}
	}
	return least
}

// pauseBeside is how long a stream pauses beside the reading of a prompt while
// so many requests run.
func (p *Pool) pauseBeside(running int, read time.Duration, prompt int) time.Duration {
	return p.pauses.Pause(running, interference.Reading{Time: read, Slowdown: slowdownAt(prompt)})
}

// typicalRunning is how many requests are taken to run on a decode engine.
func (p *Pool) typicalRunning() int { return int(p.decodeEach) }

// breaks tells whether a reading makes streams of the protected classes pause for
// too long on an engine with so many requests.
func (p *Pool) breaks(running int, read time.Duration, prompt int) bool {
	return p.bearable > 0 && p.pauseBeside(running, read, prompt) > p.bearable
}

// Breaks tells whether a reading makes streams of the protected classes on an
// engine pause for too long.
func (p *Pool) Breaks(e *Engine, read time.Duration, prompt int) bool {
	return p.breaks(e.Running, read, prompt)
}

// crowdsEvent tells whether a read, on top of what an engine has read just now
// and has yet to read, makes protected streams pause for too long: several short
// reads within the time of an event hold it up as one long read does.
func (p *Pool) crowdsEvent(e *Engine, read time.Duration, prompt int, now time.Duration) bool {
	ahead := e.Backlog(now) + read
	just := e.readBetween(now-max(0, p.bearable-ahead), now)
	return p.breaks(e.Running, ahead+just, prompt)
}
