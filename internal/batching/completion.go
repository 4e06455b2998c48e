package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/completion"
)

// Engines that process prompts without a break decode at a fraction of their pace. The
// first token of a stream is then in time, and the stream still runs when its caller
// leaves. Package completion predicts the ends of the streams of an engine; an engine is
// not given a request that would make one of them, or the request itself, end too late.

// streamReviewInterval is the time between two estimates of the streams' progress.
const streamReviewInterval = 50 * time.Millisecond

// minSlowdown is the least slowdown of an engine that is expected.
const minSlowdown = 0.2

// reviewStreams periodically estimates the progress of the streams.
func (p *Pool) reviewStreams(now time.Duration) {
	if now-p.lastStreamReview < streamReviewInterval {
		return
	}
	p.lastStreamReview = now
	pace := p.pace.Pace()
	p.hasIdleEngine, p.leastSlowdown = false, 1
	for _, e := range p.engines {
		if e.Memory == 0 {
			continue
		}
		if e.canDecode(now) {
			p.hasIdleEngine = p.hasIdleEngine || e.Running == 0
			p.leastSlowdown = min(p.leastSlowdown, e.Slowdown())
		}
		e.streams.Advance(pace.Slowed(e.Slowdown()), e.prefillShare(e.streams.AdvancedAt(), now), e.Backlog(now), now)
	}
}

// recordStream records that an engine runs a request whose prefill takes the given time.
func (p *Pool) recordStream(e *Engine, g *RequestState, prefill, now time.Duration) {
	if p.isDisabled(Completion) {
		return
	}
	if g.Deadline == 0 {
		e.streams.AddPrefill(prefill)
		return
	}
	g.stream = p.newStream(g, g.firstTokenDue)
	e.streams.AddPrefill(prefill)
	e.streams.Add(&g.stream, p.pace.Pace().Slowed(e.Slowdown()), now)
}

func (p *Pool) newStream(g *RequestState, begins time.Duration) completion.Stream {
	length := completion.Length{Tokens: g.Prompt.ResponseTokens, Class: &g.Class.lengths, Pool: &p.lengths}
	return completion.NewStream(g.Class.Tier, g.WaitingSince, g.Deadline, begins, length)
}

// RecordProgress records that a number of events has been received.
func (g *RequestState) RecordProgress(events int, now time.Duration) { g.stream.Seen(events, now) }

// RecordLength records the number of events of a complete response.
func (p *Pool) RecordLength(g *RequestState, events int) {
	p.lengths.Observe(events, g.Prompt.ResponseTokens)
	g.Class.lengths.Observe(events, g.Prompt.ResponseTokens)
}

// endsInTime reports whether an engine can take a request so that the request and the
// streams that run there end in time. An idle engine always can: it shows its pace.
func (p *Pool) endsInTime(e *Engine, c *Candidate, backlog, now time.Duration) bool {
	if e.Running == 0 || p.isDisabled(Completion) {
		return true
	}
	prefill := p.engineTime(e, c.prefillTime.Seconds()*p.prefillRate)
	if !c.state.hasWaitedLong(now) && !e.streams.Bears(prefill, c.state.Class.Tier) {
		return false
	}
	return p.endsBeforeCallerLeaves(c.state, now+backlog+prefill+p.overhead, p.pace.Pace().Slowed(e.Slowdown()))
}

// hasWaitedLong reports whether a request has waited for half of its caller's time, or must
// run and has waited for longer than its target. It then no longer waits for an engine
// whose streams bear its prefill, which may never come.
func (g *RequestState) hasWaitedLong(now time.Duration) bool {
	waited := now - g.WaitingSince
	if g.Deadline == 0 || g.MustRun {
		return waited > g.Class.Target
	}
	return waited > (g.Deadline-g.WaitingSince)/2
}

// endsBeforeCallerLeaves reports whether a request whose first token is generated at a
// given time ends in time at a pace. It does if its deadline is unknown or it must run in
// any case.
func (p *Pool) endsBeforeCallerLeaves(g *RequestState, begins time.Duration, pace completion.Pace) bool {
	if g.Deadline == 0 || g.MustRun {
		return true
	}
	s := p.newStream(g, begins)
	return s.EndsInTime(pace)
}

// Outlasts reports whether the response to a waiting request would end too late even if
// the fastest engine began with it now and had no prefill. While an engine is idle, none
// does.
func (p *Pool) Outlasts(g *RequestState, now time.Duration) bool {
	if !p.hasBatching || p.hasIdleEngine || p.isDisabled(Completion) {
		return false
	}
	return !p.endsBeforeCallerLeaves(g, now+p.FirstToken(g), p.pace.Fastest().Slowed(max(p.leastSlowdown, minSlowdown)))
}

// EndingLate returns the number of streams that are expected to end after their callers
// have left.
func (e *Engine) EndingLate() int { return e.streams.EndingLate() }

// prefillShare returns the share of its time that an engine has spent on prefill.
func (e *Engine) prefillShare(from, to time.Duration) float64 {
	return min(1, e.prefillTimeBetween(from, to).Seconds()/max(to-from, 1).Seconds())
}
