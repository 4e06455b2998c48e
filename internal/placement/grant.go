package placement

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

// Report describes how the use of a slot ended.
type Report struct {
	Outcome peerv1.ReleaseOutcome
	// FirstToken and Duration are measured from the grant. FirstToken is not
	// needed if Grant.RecordToken was called.
	FirstToken time.Duration
	Duration   time.Duration
	Tokens     int
}

// Choice holds the facts on which the coordinator chose the endpoint, for the
// log.
type Choice struct {
	// Backlog is the expected time until the endpoint has finished its earlier
	// prefill, PrefillTime the expected prefill time of this prompt.
	Backlog, PrefillTime time.Duration
	// Decode means that the endpoint is reserved for streams that long prefills
	// would delay.
	Decode bool
}

// Grant is a slot on an endpoint. It must be released. It is not safe for
// concurrent use.
type Grant struct {
	Endpoint table.Endpoint
	// FetchFrom is an engine from which the endpoint should fetch cached parts
	// of the prompt, or nil.
	FetchFrom *table.Endpoint
	Choice    Choice
	// OnRelease is called, if set, when the slot is returned.
	OnRelease func()

	placer     *Placer
	pending    *pending
	grantedAt  time.Time
	firstToken time.Duration
	tokens     int
	// lastTokenAt is when the last token arrived, longestGap the longest gap
	// between two tokens, longestGapToken the number of the token after it.
	lastTokenAt     time.Time
	longestGap      time.Duration
	longestGapToken int
	// unlimited means that a response advertised no limit.
	unlimited bool
	// notBrittle means that a response did not say that the endpoint is brittle.
	notBrittle bool
	// nextProgress is the number of tokens at which progress is reported next.
	nextProgress int
}

// Coordinator returns the host that gave the grant or has taken it over.
func (g *Grant) Coordinator() membership.HostID {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	return g.pending.host.ID
}

// OnPreempted sets a function that is called in its own goroutine when the slot
// must be given up at once. No goroutine waits for this, so that idle streams need
// little memory.
func (g *Grant) OnPreempted(f func()) {
	p := g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	g.pending.onPreempted = f
	if g.pending.preempted {
		go f()
	}
}

// A grant reports its progress to the coordinator at the first token, after
// progressAfter tokens, and whenever the number of tokens has grown by
// progressFactor. Waiting for the release would detect stragglers too late, because
// their responses take longest.
const (
	progressAfter  = 32
	progressFactor = 4
)

// RecordToken records the arrival of a token.
func (g *Grant) RecordToken() {
	g.tokens++
	g.pending.tokens.Store(uint32(g.tokens))
	now := g.placer.clock.Now()
	if gap := now.Sub(g.lastTokenAt); g.tokens > 1 && gap > g.longestGap {
		g.longestGap, g.longestGapToken = gap, g.tokens
	}
	g.lastTokenAt = now
	if g.tokens == 1 {
		g.firstToken = now.Sub(g.grantedAt)
		g.nextProgress = progressAfter
		g.sendProgress(g.firstToken)
		return
	}
	if g.tokens == g.nextProgress {
		g.nextProgress *= progressFactor
		g.sendProgress(now.Sub(g.grantedAt))
	}
}

// RecordHoldUp records that nothing was read from the endpoint for some time until now.
// This is no part of the gap between two tokens.
func (g *Grant) RecordHoldUp(d time.Duration) {
	if g.tokens > 0 {
		g.lastTokenAt = g.lastTokenAt.Add(d)
	}
}

// LongestPause returns the longest gap between two tokens and the number of the
// token that ended it; both are zero if there was none.
func (g *Grant) LongestPause() (pause time.Duration, token int) {
	return g.longestGap, g.longestGapToken
}

func (g *Grant) sendProgress(elapsed time.Duration) {
	p := g.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	g.pending.firstTokenReceived = true
	l := p.links[g.pending.host.ID]
	if l == nil {
		return
	}
	p.sendOn(l, &peerv1.ReservationsRequest{Progress: []*peerv1.Progress{{
		Sequence:     g.pending.sequence,
		Cell:         g.pending.reserve.GetCell(),
		FirstTokenUs: uint32(g.firstToken / time.Microsecond),
		ElapsedUs:    uint32(elapsed / time.Microsecond),
		Tokens:       uint32(g.tokens),
	}}})
}

// Release returns the slot.
func (g *Grant) Release(r Report) {
	if g.tokens > 0 {
		r.FirstToken = g.firstToken
	}
	if g.OnRelease != nil {
		g.OnRelease()
	}
	p, w := g.placer, g.pending
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, w.sequence)
	if r.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT {
		p.recordRefusal(g.Endpoint.Name, w.sequence)
	}
	l := p.links[w.host.ID]
	if l == nil || l.host.Incarnation != w.host.Incarnation {
		p.unsettled[w.host.ID] = true
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

		LongestPauseUs: uint32(g.longestGap / time.Microsecond),
		Unlimited:      g.unlimited,
		NotBrittle:     g.notBrittle,
	}}})
}
