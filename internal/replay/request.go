package replay

import (
	"time"

	"github.com/beechhead/beechhead/internal/schedule"
)

// request is one request of the load.
type request struct {
	schedule.Request
	player  *player
	class   *Class
	result  *ClassResult
	answer  int
	arrived time.Duration
	granted time.Duration
	// last is when the last event came; zero before the first one.
	last    time.Duration
	longest time.Duration
	events  int
	first   time.Duration
	late    bool
	ended   bool
	// returned reports whether the caller was refused once and has come back.
	returned bool
	engine   *engine
	job      *job
	source   *engine
}

func (r *request) tier() int { return r.class.Tier }

// read notes what of a prompt an engine reads though another has read it.
func (r *request) read(e *engine, has int) {
	p, at := r.player, 0
	for _, part := range r.Parts {
		at += part.Tokens
		if last, ok := p.lastUse[part.ID]; ok && at > has && p.now-last < againWithin {
			p.result.ReadAgain += part.Tokens
		}
		p.lastUse[part.ID] = p.now
	}
	p.result.Read += r.PromptTokens - has
	p.result.Fetched += max(0, has-e.keeps(r.Parts))
}

// token notes a token of an answer.
func (p *player) token(j *job) {
	r := j.request
	if r.ended {
		return
	}
	j.made++
	if j.made == 1 || (j.made-1)%p.s.Engines.TokensPerEvent == 0 {
		p.event(r)
	}
	if j.made >= r.answer {
		r.result.count(r.arrived, r.late)
		p.release(r, schedule.Report{FirstToken: r.first, Duration: p.now - r.granted, LongestGap: r.longest, Tokens: r.events, Done: true})
		p.end(r)
	}
}

func (p *player) event(r *request) {
	r.events++
	if r.events > 1 {
		r.longest = max(r.longest, p.now-r.last)
	}
	switch {
	case r.events == 1:
		r.first = p.now - r.granted
		if p.now-r.arrived > r.class.Target.Std() {
			r.late = true
			r.result.LateFirst++
		}
	case r.class.Pause > 0 && p.now-r.last > r.class.Pause.Std() && !r.late:
		r.late = true
		r.result.LatePause++
	}
	r.last = p.now
	if r.events == 1 || r.events == eventsBeforeProgress {
		progress := schedule.Progress{FirstToken: r.first, Tokens: r.events, Elapsed: p.now - r.granted}
		p.after(controlDelay, func() { p.cell.Progress(r.ID, progress) })
	}
}

func (p *player) release(r *request, report schedule.Report) {
	p.after(controlDelay, func() {
		p.cell.Release(r.ID, report)
		p.step()
	})
}

func (p *player) end(r *request) {
	r.ended = true
	delete(p.pending, r.ID)
	if r.job != nil {
		r.engine.leave(r.job)
	}
}

// expire ends a request at its deadline.
func (p *player) expire(r *request) {
	if r.ended {
		return
	}
	r.result.Expired++
	if r.engine == nil {
		r.result.Held++
		p.cell.Cancel(r.ID)
	} else {
		p.release(r, schedule.Report{Tokens: r.events, Duration: p.now - r.granted})
	}
	p.end(r)
}
