package placement

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// Report tells how the use of a place ended.
type Report struct {
	Outcome peerv1.ReleaseOutcome
	// FirstToken and Duration are counted from the grant. FirstToken is not
	// needed if the grant was told of the tokens.
	FirstToken time.Duration
	Duration   time.Duration
	Tokens     int
}

// Choice is what the coordinator went by, for the log.
type Choice struct {
	// Backlog is how long the endpoint had to read, Unread how long it will
	// read this prompt.
	Backlog, Unread time.Duration
	// Decode endpoints are kept for streams that long reads would break.
	Decode bool
}

// Grant is a place on an endpoint. It must be released. It is not safe for
// concurrent use.
type Grant struct {
	Endpoint table.Endpoint
	// FetchFrom is an engine that keeps parts of the prompt which the endpoint
	// should fetch, or nil.
	FetchFrom *table.Endpoint
	Choice    Choice

	placer  *Placer
	pending *pending
	granted time.Time
	first   time.Duration
	tokens  int
	// last is when the last token came, longest the longest pause between two,
	// longestAt the number of the token after it.
	last      time.Time
	longest   time.Duration
	longestAt int
	// unlimited says that an answer came that named no limit.
	unlimited bool
	// nextProgress is the number of tokens at which progress is told next.
	nextProgress int
}

// Coordinator returns the host that gave the place, or that knows of it now.
func (g *Grant) Coordinator() membership.HostID {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	return g.pending.host.ID
}

// OnPreempted has f called, by a goroutine of its own, when the place must be
// given back at once. No goroutine waits until then: a stream that is idle for
// long should cost little memory.
func (g *Grant) OnPreempted(f func()) {
	p := g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	g.pending.onPreempted = f
	if g.pending.preempted {
		go f()
	}
}

// A grant's progress is told to the coordinator with the first token, after
// progressAfter tokens, and again whenever there are progressFactor times as
// many. The release comes too late to find a straggler: its answers take
// longest.
const (
	progressAfter  = 32
	progressFactor = 4
)

// Token tells that a token has come.
func (g *Grant) Token() {
	g.tokens++
	now := g.placer.clock.Now()
	if pause := now.Sub(g.last); g.tokens > 1 && pause > g.longest {
		g.longest, g.longestAt = pause, g.tokens
	}
	g.last = now
	if g.tokens == 1 {
		g.first = now.Sub(g.granted)
		g.nextProgress = progressAfter
		g.sendProgress(g.first)
		return
	}
	if g.tokens == g.nextProgress {
		g.nextProgress *= progressFactor
		g.sendProgress(now.Sub(g.granted))
	}
}

// LongestPause is the longest time between two tokens, and the number of the
// token that ended it; zero if there was none.
func (g *Grant) LongestPause() (pause time.Duration, token int) { return g.longest, g.longestAt }

func (g *Grant) sendProgress(elapsed time.Duration) {
	p := g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	g.pending.begun = true
	l := p.links[g.pending.host.ID]
	if l == nil {
		return
	}
	p.sendOn(l, &peerv1.ReservationsRequest{Progress: []*peerv1.Progress{{
		Sequence:     g.pending.sequence,
		Cell:         g.pending.reserve.GetCell(),
		FirstTokenUs: uint32(g.first / time.Microsecond),
		ElapsedUs:    uint32(elapsed / time.Microsecond),
		Tokens:       uint32(g.tokens),
	}}})
}

// Release gives the place back.
func (g *Grant) Release(r Report) {
	if g.tokens > 0 {
		r.FirstToken = g.first
	}
	p, w := g.placer, g.pending
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, w.sequence)
	l := p.links[w.host.ID]
	if l == nil || l.host.Incarnation != w.host.Incarnation {
		p.owed[w.host.ID] = true
		return
	}
	p.sendOn(l, &peerv1.ReservationsRequest{Releases: []*peerv1.Release{{
		Sequence:     w.sequence,
		Cell:         w.reserve.GetCell(),
		Endpoint:     string(g.Endpoint.Name),
		FirstTokenUs: uint32(r.FirstToken / time.Microsecond),
		DurationMs:   uint32(r.Duration / time.Millisecond),
		Tokens:       uint32(r.Tokens),
		Outcome:      r.Outcome,

		LongestPauseUs: uint32(g.longest / time.Microsecond),
		Unlimited:      g.unlimited,
	}}})
}
