package attainment

import (
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// lateShare is the share of an answer's gaps between tokens that may exceed
// the target: one in lateShare, as 95 in 100 are promised.
const lateShare = 20

// Request is one request in progress. It is not safe for concurrent use.
type Request struct {
	recorder *Recorder
	class    table.ClassName
	target   table.Target
	begun    time.Time

	tokens int64
	first  time.Duration
	last   time.Time
	// late counts the gaps between tokens that exceeded the target.
	late int64
}

// Begin counts a request of a class as waiting. It must be ended.
func (r *Recorder) Begin(class *table.Class) *Request {
	r.mu.Lock()
	r.class(class.Name).waiting++
	r.mu.Unlock()
	return &Request{recorder: r, class: class.Name, target: class.Target, begun: r.clock.Now()}
}

// Token notes that a token was delivered.
func (q *Request) Token() {
	now := q.recorder.clock.Now()
	q.tokens++
	if q.tokens == 1 {
		q.first = now.Sub(q.begun)
		q.started()
	} else if target := q.target.BetweenTokens.Std(); target > 0 && now.Sub(q.last) > target {
		q.late++
	}
	q.last = now
}

// started counts the request as running instead of waiting.
func (q *Request) started() {
	q.recorder.mu.Lock()
	defer q.recorder.mu.Unlock()
	c := q.recorder.class(q.class)
	c.waiting--
	c.running++
}

// End counts how the request ended: with its whole answer if err is nil.
func (q *Request) End(err error) {
	f := Figures{Total: 1}
	if err == nil {
		q.answered(&f)
	} else {
		f.WastedTokens = q.tokens
		f.Refused = map[outcome.Reason]int64{outcome.FromError(err).Reason: 1}
	}
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.class(q.class)
	if q.tokens == 0 {
		c.waiting--
	} else {
		c.running--
	}
	r.count(c, f)
}

func (q *Request) answered(f *Figures) {
	whole := q.recorder.clock.Now().Sub(q.begun)
	first := q.first
	if q.tokens == 0 {
		// A plain service's answer comes at once: its first byte is its last.
		first = whole
	}
	gaps := max(q.tokens-1, 0)
	f.Answered, f.Tokens = 1, q.tokens
	f.MetFirstToken = met(first, q.target.FirstToken)
	f.MetWholeAnswer = met(whole, q.target.WholeAnswer)
	if q.late*lateShare <= gaps {
		f.MetBetweenTokens = 1
	}
	f.Met = f.MetFirstToken * f.MetBetweenTokens * f.MetWholeAnswer
	f.GoodTokens = f.Met * f.Tokens
}

// met returns 1 if the time is within the target, or there is none.
func met(d time.Duration, target table.Duration) int64 {
	if target > 0 && d > target.Std() {
		return 0
	}
	return 1
}
