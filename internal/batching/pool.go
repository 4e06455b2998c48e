package batching

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/interference"
	"github.com/beechhead/beechhead/internal/stat"
)

// Pool chooses among the engines of one cell. It is not safe for concurrent
// use.
type Pool struct {
	engines []*Engine
	classes []*Class
	// disabled mechanisms take no part.
	disabled []Mechanism
	// batches says that some engine batches its requests.
	batches bool

	// readRate is how many tokens an engine reads a second, overhead the time
	// from then to the first token.
	readRate float64
	overhead time.Duration
	// readRates and overheads count the samples of both.
	readRates, overheads int
	// lastUse has when each part of a prompt was last used, usesSwept when
	// old ones were last dropped.
	lastUse   map[uint64]time.Duration
	usesSwept time.Duration
	// streamsNow is how many hurried streams run, wait and are about to come,
	// decodeDemand its recent peak, for which decode engines are planned,
	// decodeTier the least urgent tier that has any; negative is none.
	streamsNow     float64
	decodeDemand   float64
	decodeTier     int
	decodeReviewed time.Duration
	// decodeEngines counts the decode engines, decodeEach is how many streams
	// each of them is planned for.
	decodeEngines int
	decodeEach    float64
	// pauses tells what reading does to streams, bearable is the longest pause
	// that the protected classes allow; zero if there are none.
	pauses   interference.Model
	bearable time.Duration
	// mostHurried is the shortest pause that any class with streams allows.
	mostHurried time.Duration
	// longReads is the demand for reads that protected streams can't bear,
	// longPeak its recent peak. fade is what is left of a peak since the last
	// review.
	fade      float64
	longReads demand
	firstLong time.Duration
	longPeak  float64
}

// NewPool returns a pool without engines and classes.
func NewPool() *Pool {
	return &Pool{readRate: firstReadRate, overhead: firstOverhead, lastUse: map[uint64]time.Duration{}}
}

// Configure puts other engines, sorted by name, other classes in the order of
// the table and other mechanisms in force.
func (p *Pool) Configure(engines []*Engine, classes []*Class, disabled []Mechanism) {
	p.engines, p.classes, p.disabled = engines, classes, disabled
	p.batches = slices.ContainsFunc(engines, func(e *Engine) bool { return e.Memory > 0 })
}

// Batches tells whether some engine batches its requests.
func (p *Pool) Batches() bool { return p.batches }

// Review follows what comes and runs, and divides the engines anew from time
// to time.
func (p *Pool) Review(now time.Duration) {
	p.forgetUses(now)
	p.reviewDecode(now)
}

// FirstToken returns how long a request is expected to take from its grant to
// its first token.
func (p *Pool) FirstToken(g *Work) time.Duration { return p.overhead + g.Unread }

// Overhead returns the time from the end of reading to a first token.
func (p *Pool) Overhead() time.Duration { return p.overhead }

// Arrived takes in that a request came, whether or not it will be served.
func (p *Pool) Arrived(q *Class, r *Prompt, now time.Duration) {
	if q.arrivals.rate == 0 {
		q.firstArrival = now
	}
	q.arrivals.add(now, time.Second)
	q.meanSensitivity.Add(q.sensitivity(r))
	q.meanAnswer.Add(float64(r.Answer))
	q.demand.add(now, p.ReadTime(r.Tokens))
}

// ReadTime returns how long an engine reads of a prompt of which it has nothing.
func (p *Pool) ReadTime(prompt int) time.Duration {
	return stat.Seconds(readCost(prompt, 0) / p.readRate)
}

// Weigh counts what a request asks of the engines.
func (p *Pool) Weigh(g *Work, now time.Duration) {
	r := &g.Prompt
	unread := p.unreadTime(r, p.mostKept(r))
	g.Unread = unread
	g.Class.meanRead.Add(unread.Seconds())
	p.countBreakers(unread, r.Tokens, now)
	if !p.breaks(p.typicalRunning(), unread, r.Tokens) {
		return
	}
	g.LongRead = true
	if p.longReads.rate == 0 {
		p.firstLong = now
	}
	p.longReads.add(now, unread)
}

// Stream is what the answer to a request showed.
type Stream struct {
	Events int
	// FirstToken is counted from the grant, Longest is the longest pause.
	FirstToken, Longest time.Duration
}

// Observe takes in what an answer showed of what reading does to streams.
func (p *Pool) Observe(g *Work, e *Engine, s Stream) {
	if e.Memory == 0 || s.Longest == 0 {
		return
	}
	p.pauses.Observe(interference.Stream{
		Events:  s.Events,
		Longest: s.Longest,
		Running: e.Running,
		Beside:  e.longestSince(g.Granted + s.FirstToken),
	})
}

// Pace returns a request's time per token by what its engine had to do
// meanwhile.
func (p *Pool) Pace(e *Engine, perToken float64, from, to time.Duration) float64 {
	if e.Memory == 0 {
		return perToken
	}
	step := e.stepTime(perToken, from, to)
	p.pauses.ObserveEvent(e.Running, stat.Seconds(step))
	return step / (1 + p.pauses.PerRun()*float64(e.Running))
}

// off tells whether a mechanism is switched off.
func (p *Pool) off(m Mechanism) bool {
	return len(p.disabled) > 0 && slices.Contains(p.disabled, m)
}

// forgetUses drops the parts that have not been used for long.
func (p *Pool) forgetUses(now time.Duration) {
	if now-p.usesSwept < recentUse {
		return
	}
	p.usesSwept = now
	for id, used := range p.lastUse {
		if now-used >= recentUse {
			delete(p.lastUse, id)
		}
	}
}
