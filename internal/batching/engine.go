package batching

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/completion"
	"github.com/beechhead/beechhead/internal/enginespeed"
	"github.com/beechhead/beechhead/internal/interference"
)

const (
	// overdueSlack is how late a first token may be before the engine is assumed
	// to be behind its recorded prefill.
	overdueSlack = 80 * time.Millisecond
	// maxPrefillShare limits the share of its time that an engine is assumed to
	// spend on prefill.
	maxPrefillShare = 0.9
	// maxPrefillRecords is the number of prefills that an engine's history holds.
	maxPrefillRecords = 64
)

// Engine is the state of one engine. The engine's own load reports are hundreds
// of milliseconds old, so grants are recorded here at once; the progress of
// prefill is extrapolated by the clock and corrected by each first token.
type Engine struct {
	Name string
	// hash is the hash of the name, for prefix affinity.
	hash uint64
	// Memory is the size of the engine's KV cache in tokens; zero means that it
	// does not batch.
	Memory int
	// Concurrency is the number of requests that it runs at once.
	Concurrency int
	Zone        string
	// Closed means that the engine accepts no new requests, because it is
	// draining or gone.
	Closed bool
	// Running is the number of running requests.
	Running int
	// Free reports whether one more request fits, Ejected whether the engine is
	// temporarily excluded, and RateLimited whether its advertised rate limit
	// admits no request at the moment. Slowdown returns its processing time
	// relative to other engines.
	Free        func(now time.Duration) bool
	Ejected     func(now time.Duration) bool
	RateLimited func(now time.Duration) bool
	Slowdown    func() float64
	// Decode engines accept no long requests that are less urgent than
	// latency-sensitive streams.
	Decode bool

	// releasing decode engines accept no more protected streams either.
	releasing bool
	// longRequests is the number of running long requests.
	longRequests int
	// reservedMemory is the KV cache that running requests need in addition to the
	// parts of their prompts, which several requests may share, in tokens.
	reservedMemory int
	parts          PrefixCache
	// prefillDoneAt is when the engine is expected to finish all its prefill.
	prefillDoneAt time.Duration
	// correction is the sum of all corrections of prefillDoneAt.
	correction time.Duration
	// prefillLoad is the share of time that the engine spends on prefill, weighted
	// by interference, and sensitivity the sum over its streams.
	prefillLoad decayingRate
	sensitivity float64
	// recentPrefills are the last prefills given to the engine. protected is the
	// number of running streams that long prefills would delay too much.
	recentPrefills []prefillRecord
	protected      int
	// prefilling lists the requests without a first token, in the order of their
	// grants.
	prefilling []*RequestState
	// streams are the running requests whose deadlines are known.
	streams completion.Streams
	// prefilled is the prefill that the engine has completed, in tokens at the start
	// of a prompt.
	prefilled float64
	// slowdown is the processing time relative to an engine of median speed, as of
	// the last review; speed has the observations.
	slowdown float64
	speed    enginespeed.Speed
}

// prefillRecord is the prefill of one prompt.
type prefillRecord struct {
	// grantedAt is when the engine was given the prompt; the prefill was expected
	// to run from begin to end.
	grantedAt, begin, end time.Duration
	slowdown              float64
}

// Rename sets the name.
func (e *Engine) Rename(name string) {
	e.Name, e.hash = name, xxhash.Sum64String(name)
}

// Prefilling returns the number of running requests without a first token.
func (e *Engine) Prefilling() int { return len(e.prefilling) }

// MemoryInUse returns the KV cache that running requests use, in tokens, including
// the parts of their prompts.
func (e *Engine) MemoryInUse() int { return e.reservedMemory + e.parts.inUse }

// Protected returns the number of running streams that long prefills would delay
// too much.
func (e *Engine) Protected() int { return e.protected }

// CachedTokens returns how many tokens from the start of a prompt the engine has
// cached.
func (e *Engine) CachedTokens(parts []Part) int { return e.parts.Cached(parts) }

// Backlog returns the expected time until the engine has finished its prefill.
func (e *Engine) Backlog(now time.Duration) time.Duration {
	backlog := max(0, e.prefillDoneAt-now)
	if len(e.prefilling) == 0 {
		return 0
	}
	if late := now - e.firstTokenDue(e.prefilling[0]) - overdueSlack; late > 0 {
		backlog += late
	}
	return backlog
}

// firstTokenDue returns when a request's first token is expected.
func (e *Engine) firstTokenDue(g *RequestState) time.Duration {
	return g.firstTokenDue + e.correction - g.correctionAtGrant
}

// fits reports whether the engine has the memory for one more request.
func (e *Engine) fits(c *Candidate) bool {
	return e.parts.inUse+e.parts.newlyInUse(c.Parts)+e.reservedMemory+c.memory <= e.Memory
}

// RecordRelease records the end of a grant.
func (e *Engine) RecordRelease(g *RequestState) {
	e.EndPrefill(g)
	e.streams.Remove(&g.stream)
	if g.reservedMemory > 0 {
		e.parts.Release(g.Prompt.Parts)
	}
	e.reservedMemory -= g.reservedMemory
	e.sensitivity = max(0, e.sensitivity-g.sensitivity)
	g.reservedMemory, g.sensitivity = 0, 0
	if g.protected {
		e.protected--
		g.protected = false
	}
	if g.longRunning {
		e.longRequests--
		g.longRunning = false
	}
}

// EndPrefill removes a request from those without a first token. It returns false if
// the request is not among them.
func (e *Engine) EndPrefill(g *RequestState) bool {
	for i, pending := range e.prefilling {
		if pending == g {
			e.prefilling = append(e.prefilling[:i], e.prefilling[i+1:]...)
			return true
		}
	}
	return false
}

// recordPrefill adds the prefill of a prompt to the history. It takes the given
// time and ends at prefillDoneAt.
func (e *Engine) recordPrefill(now, took time.Duration, prompt int) {
	if len(e.recentPrefills) >= maxPrefillRecords {
		copy(e.recentPrefills, e.recentPrefills[1:])
		e.recentPrefills = e.recentPrefills[:maxPrefillRecords-1]
	}
	e.recentPrefills = append(e.recentPrefills, prefillRecord{grantedAt: now, begin: e.prefillDoneAt - took, end: e.prefillDoneAt, slowdown: attentionSlowdown(prompt)})
}

// longestPrefillSince returns the longest prefill, counting only what was still
// to be done at time t.
func (e *Engine) longestPrefillSince(t time.Duration) interference.Prefill {
	longest := interference.Prefill{}
	for _, r := range e.recentPrefills {
		if left := r.end - max(r.grantedAt, t); left > longest.Time {
			longest = interference.Prefill{Time: left, Slowdown: r.slowdown}
		}
	}
	return longest
}

// prefillTimeBetween returns how long the engine has spent on prefill between two
// times.
func (e *Engine) prefillTimeBetween(from, to time.Duration) time.Duration {
	total := time.Duration(0)
	for i := len(e.recentPrefills) - 1; i >= 0 && e.recentPrefills[i].end > from; i-- {
		total += max(0, min(e.recentPrefills[i].end, to)-max(e.recentPrefills[i].begin, from))
	}
	return total
}

// timeWithoutPrefill returns a request's time per token without the prefill that
// ran beside it. Compared by the uncorrected time, engines with much prefill would
// be taken for stragglers.
func (e *Engine) timeWithoutPrefill(perToken float64, from, to time.Duration) float64 {
	prefillShare := min(maxPrefillShare, e.prefillTimeBetween(from, to).Seconds()/max(to-from, 1).Seconds())
	return perToken * (1 - prefillShare)
}

// canDecode reports whether an engine batches and accepts requests.
func (e *Engine) canDecode(now time.Duration) bool {
	return e.Memory > 0 && !e.Closed && !e.Ejected(now)
}

func (e *Engine) betterForDecode(other *Engine) bool {
	switch {
	case e.muchFasterThan(other):
		return true
	case other.muchFasterThan(e):
		return false
	case e.releasing != other.releasing:
		return e.releasing
	case e.longRequests != other.longRequests:
		return e.longRequests < other.longRequests
	}
	return e.protected > other.protected
}
