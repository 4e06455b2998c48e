package batching

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/interference"
)

const (
	// overdueSlack is how late a first token may be before the engine is
	// thought to lag behind what is booked.
	overdueSlack = 80 * time.Millisecond
	// maxReadShare bounds the part of its time that an engine is taken to read.
	maxReadShare = 0.9
	// readsSeen bounds what an engine remembers of its reads.
	readsSeen = 64
)

// Engine is what is known of one engine, and what is booked on it. Its own
// reports lag by hundreds of milliseconds; what is granted is booked, the
// reading is followed by the clock and corrected by each first token.
type Engine struct {
	Name string
	// hash is that of the name, by which homes are chosen.
	hash uint64
	// Memory is what the engine keeps, in tokens; one with none does not batch.
	Memory int
	// Concurrency is how many requests it runs at once.
	Concurrency int
	Zone        string
	// Closed says that the engine takes no new requests: it leaves, or has left.
	Closed bool
	// Running counts the requests that run there.
	Running int
	// Free tells whether one more request fits, Ejected whether the engine gets
	// none for a while, Paced whether it gets none for the moment by a limit
	// that it has named, Sluggishness by how much slower than others it is.
	Free         func(now time.Duration) bool
	Ejected      func(now time.Duration) bool
	Paced        func(now time.Duration) bool
	Sluggishness func() float64
	// Decode engines take no long requests that are less urgent than hurried
	// streams.
	Decode bool

	// emptying decode engines take no more protected streams either.
	emptying bool
	// longRuns counts the long requests that run.
	longRuns int
	// held is the memory that running requests take beside the parts of their
	// prompts, which several may share, in tokens.
	held  int
	parts PartList
	// readyAt is when the engine is expected to have read all it was given.
	readyAt time.Duration
	// shift is the sum of the corrections of readyAt.
	shift time.Duration
	// reading is how much of its time the engine reads, averaged, and
	// sensitivity the sum of its streams'.
	reading     demand
	sensitivity float64
	// seen has what the engine was last given to read; protected counts the
	// streams that run and suffer from long reads.
	seen      []readSeen
	protected int
	// unread has the requests without a first token, in order of their grants.
	unread []*Work
}

// readSeen is a prompt that an engine was given to read.
type readSeen struct {
	// given is when, begin and end are between which it was to be read.
	given, begin, end time.Duration
	slowdown          float64
}

// Rename sets the name.
func (e *Engine) Rename(name string) {
	e.Name, e.hash = name, xxhash.Sum64String(name)
}

// Unread returns how many requests run there whose prompts are not read yet.
func (e *Engine) Unread() int { return len(e.unread) }

// Held returns the memory that running requests take, in tokens, parts of
// prompts included.
func (e *Engine) Held() int { return e.held + e.parts.inUse }

// Protected returns how many streams run there that suffer from long reads.
func (e *Engine) Protected() int { return e.protected }

// Kept returns how many tokens from the start of a prompt the engine keeps.
func (e *Engine) Kept(parts []Part) int { return e.parts.Cached(parts) }

// Backlog returns how long an engine will be reading what it was given.
func (e *Engine) Backlog(now time.Duration) time.Duration {
	backlog := max(0, e.readyAt-now)
	if len(e.unread) == 0 {
		return 0
	}
	if late := now - e.due(e.unread[0]) - overdueSlack; late > 0 {
		backlog += late
	}
	return backlog
}

// due returns when a request's first token is expected.
func (e *Engine) due(g *Work) time.Duration { return g.due + e.shift - g.shift }

// fits tells whether the memory holds one more request.
func (e *Engine) fits(c *Candidate) bool {
	return e.parts.inUse+e.parts.added(c.Parts)+e.held+c.memory <= e.Memory
}

// Unbook notes the end of a grant.
func (e *Engine) Unbook(g *Work) {
	e.Forget(g)
	if g.held > 0 {
		e.parts.Leave(g.Prompt.Parts)
	}
	e.held -= g.held
	e.sensitivity = max(0, e.sensitivity-g.sensitivity)
	g.held, g.sensitivity = 0, 0
	if g.protected {
		e.protected--
		g.protected = false
	}
	if g.long {
		e.longRuns--
		g.long = false
	}
}

// Forget takes a request out of those without a first token; false means that
// it was not there.
func (e *Engine) Forget(g *Work) bool {
	for i, one := range e.unread {
		if one == g {
			e.unread = append(e.unread[:i], e.unread[i+1:]...)
			return true
		}
	}
	return false
}

// noteRead remembers that an engine was given one more prompt to read, for
// which it will take until readyAt.
func (e *Engine) noteRead(now, took time.Duration, prompt int) {
	if len(e.seen) >= readsSeen {
		copy(e.seen, e.seen[1:])
		e.seen = e.seen[:readsSeen-1]
	}
	e.seen = append(e.seen, readSeen{given: now, begin: e.readyAt - took, end: e.readyAt, slowdown: slowdownAt(prompt)})
}

// longestSince returns the longest reading that was still to be done at or
// after a moment.
func (e *Engine) longestSince(t time.Duration) interference.Reading {
	longest := interference.Reading{}
	for _, r := range e.seen {
		if left := r.end - max(r.given, t); left > longest.Time {
			longest = interference.Reading{Time: left, Slowdown: r.slowdown}
		}
	}
	return longest
}

// readBetween returns how much of a time an engine has spent reading.
func (e *Engine) readBetween(from, to time.Duration) time.Duration {
	total := time.Duration(0)
	for i := len(e.seen) - 1; i >= 0 && e.seen[i].end > from; i-- {
		total += max(0, min(e.seen[i].end, to)-max(e.seen[i].begin, from))
	}
	return total
}

// stepTime returns what a token of a request took without the reading beside
// it. Judged by the plain time, engines that read much would be taken for
// stragglers beside those that read little.
func (e *Engine) stepTime(perToken float64, from, to time.Duration) float64 {
	read := min(maxReadShare, e.readBetween(from, to).Seconds()/max(to-from, 1).Seconds())
	return perToken * (1 - read)
}

// canDecode tells whether an engine batches and takes work.
func (e *Engine) canDecode(now time.Duration) bool {
	return e.Memory > 0 && !e.Closed && !e.Ejected(now)
}

func (e *Engine) betterForDecode(other *Engine) bool {
	switch {
	case e.emptying != other.emptying:
		return e.emptying
	case e.longRuns != other.longRuns:
		return e.longRuns < other.longRuns
	}
	return e.protected > other.protected
}
