package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/interference"
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
	// decodeWait is the part of its target, as a divisor, for which a protected
	// stream waits for a decode engine.
	decodeWait = 2
	// readsSeen bounds what an engine remembers of its reads.
	readsSeen = 64
)

// readSeen is a prompt that an engine was given to read.
type readSeen struct {
	// given is when, begin and end are between which it was to be read.
	given, begin, end time.Duration
	slowdown          float64
}

// slowdownAt is by how much the last token of a prompt takes longer to read
// than one at the start of a prompt.
func slowdownAt(prompt int) float64 { return 1 + 2*pairCost*float64(prompt) }

// noteRead remembers that an engine was given one more prompt to read, for
// which it will take until readyAt.
func (b *batch) noteRead(now, took time.Duration, prompt int) {
	if len(b.seen) >= readsSeen {
		copy(b.seen, b.seen[1:])
		b.seen = b.seen[:readsSeen-1]
	}
	b.seen = append(b.seen, readSeen{given: now, begin: b.readyAt - took, end: b.readyAt, slowdown: slowdownAt(prompt)})
}

// longestSince returns the longest reading that was still to be done at or
// after a moment.
func (b *batch) longestSince(t time.Duration) interference.Reading {
	longest := interference.Reading{}
	for _, r := range b.seen {
		if left := r.end - max(r.given, t); left > longest.Time {
			longest = interference.Reading{Time: left, Slowdown: r.slowdown}
		}
	}
	return longest
}

// readBetween returns how much of a time an engine has spent reading.
func (b *batch) readBetween(from, to time.Duration) time.Duration {
	total := time.Duration(0)
	for i := len(b.seen) - 1; i >= 0 && b.seen[i].end > from; i-- {
		total += max(0, min(b.seen[i].end, to)-max(b.seen[i].begin, from))
	}
	return total
}

// observePauses takes in what an answer showed of what reading does to it.
func (c *Cell) observePauses(g *entry, r Report) {
	if g.endpoint.policy.Memory == 0 || !r.Done || r.Longest == 0 {
		return
	}
	c.pauses.Observe(interference.Stream{
		Events:  r.Tokens,
		Longest: r.Longest,
		Running: g.endpoint.running,
		Beside:  g.endpoint.batch.longestSince(g.granted + r.FirstToken),
	})
}

// reviewProtected finds the classes whose streams suffer from the long reads that
// come, and the longest pause that all of those which have streams bear.
func (c *Cell) reviewProtected(now time.Duration) {
	c.bearable = 0
	c.mostHurried = c.leastPause(now)
	for _, q := range c.order {
		limit := q.pauseLimit()
		own := seconds(q.meanRead.value)
		if limit == 0 || c.pauses.MeanEvent()+own > limit || !c.mayProtect(q) {
			q.protected = false
			continue
		}
		q.protected = c.brokenShare(q, now) > q.brokenBound()
		if q.protected && q.hasStreams(now) && (c.bearable == 0 || limit < c.bearable) {
			c.bearable = limit
		}
	}
}

// pauseLimit is how long a stream may pause by reading alone; zero is no limit.
func (q *classQueue) pauseLimit() time.Duration {
	return time.Duration(pauseShare * float64(q.policy.Pause))
}

// brokenShare is the part of a class's streams that would meet a read which
// breaks them, if all engines took all reads.
func (c *Cell) brokenShare(q *classQueue, now time.Duration) float64 {
	q.breakersPeak = max(q.breakers.since(now, q.firstArrival), q.breakersPeak*c.fade)
	return q.breakersPeak * q.meanStay() / float64(max(1, len(c.list)))
}

// brokenBound is from which share on a class's streams are protected. It is
// lower for those that are, so that the two don't alternate.
func (q *classQueue) brokenBound() float64 {
	if q.protected {
		return brokenKept
	}
	return brokenFirst
}

// countBreakers notes for each class whether a read breaks its streams.
func (c *Cell) countBreakers(read time.Duration, prompt int, now time.Duration) {
	pause := c.pauseBeside(c.typicalRunning(), read, prompt)
	for _, q := range c.order {
		if limit := q.pauseLimit(); limit > 0 && pause > limit && c.mayProtect(q) {
			q.breakers.add(now, time.Second)
		}
	}
}

// mayProtect tells whether a class's streams may be protected. Until it is known
// how much reading falls into an event, only those of the most hurried are.
func (c *Cell) mayProtect(q *classQueue) bool {
	return c.pauses.Full() > 0 || q.policy.Pause == c.mostHurried
}

// leastPause returns the shortest pause that any class with streams allows.
func (c *Cell) leastPause(now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, q := range c.order {
		if p := q.policy.Pause; p > 0 && q.hasStreams(now) && (least == 0 || p < least) {
			least = p
		}
	}
	return least
}

// hasStreams tells whether requests of a class run, wait, or are about to come.
func (q *classQueue) hasStreams(now time.Duration) bool {
	return q.running+q.waiting() > 0 || q.expectedStreams(now) >= 1
}

// pauseBeside is how long a stream pauses beside the reading of a prompt while
// so many requests run.
func (c *Cell) pauseBeside(running int, read time.Duration, prompt int) time.Duration {
	return c.pauses.Pause(running, interference.Reading{Time: read, Slowdown: slowdownAt(prompt)})
}

// typicalRunning is how many requests are taken to run on a decode engine.
func (c *Cell) typicalRunning() int { return int(c.decodeEach) }

// breaks tells whether a reading makes streams of the protected classes pause for
// too long on an engine with so many requests.
func (c *Cell) breaks(running int, read time.Duration, prompt int) bool {
	return c.bearable > 0 && c.pauseBeside(running, read, prompt) > c.bearable
}

// crowdsEvent tells whether a read, on top of what an engine has read just now
// and has yet to read, makes protected streams pause for too long: several short
// reads within the time of an event hold it up as one long read does.
func (c *Cell) crowdsEvent(e *endpointState, read time.Duration, prompt int, now time.Duration) bool {
	ahead := e.batch.backlog(now) + read
	just := e.batch.readBetween(now-max(0, c.bearable-ahead), now)
	return c.breaks(e.running, ahead+just, prompt)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
