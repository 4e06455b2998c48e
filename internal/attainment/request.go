package attainment

import (
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// lateGapRatio limits how many gaps between a response's tokens may exceed the
// target: one in lateGapRatio, since the target applies to 95 percent of the
// gaps.
const lateGapRatio = 20

// Request records one request in progress. It is not safe for concurrent use.
type Request struct {
	recorder *Recorder
	class    table.ClassName
	target   table.Target
	beganAt  time.Time

	tokens      int64
	firstToken  time.Duration
	lastTokenAt time.Time
	// lateGaps counts the gaps between tokens that exceeded the target.
	lateGaps int64
}

// Begin counts a new request of a class as waiting. End must be called on the
// result.
func (r *Recorder) Begin(class *table.Class) *Request {
	r.mu.Lock()
	r.class(class.Name).waiting++
	r.mu.Unlock()
	return &Request{recorder: r, class: class.Name, target: class.Target, beganAt: r.clock.Now()}
}

// RecordToken records that a token was delivered.
func (q *Request) RecordToken() {
	now := q.recorder.clock.Now()
	q.tokens++
	if q.tokens == 1 {
		q.firstToken = now.Sub(q.beganAt)
		q.markRunning()
	} else if target := q.target.BetweenTokens.Std(); target > 0 && now.Sub(q.lastTokenAt) > target {
		q.lateGaps++
	}
	q.lastTokenAt = now
}

// markRunning counts the request as running instead of waiting.
func (q *Request) markRunning() {
	q.recorder.mu.Lock()
	defer q.recorder.mu.Unlock()
	c := q.recorder.class(q.class)
	c.waiting--
	c.running++
}

// End records how the request ended: with a complete response if err is nil.
func (q *Request) End(err error) {
	f := Figures{Total: 1}
	if err == nil {
		q.addAnswered(&f)
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
	r.addFigures(c, f)
}

func (q *Request) addAnswered(f *Figures) {
	total := q.recorder.clock.Now().Sub(q.beganAt)
	first := q.firstToken
	if q.tokens == 0 {
		// The response of a plain service is forwarded as a whole, so its first
		// byte comes with its last.
		first = total
	}
	gaps := max(q.tokens-1, 0)
	f.Answered, f.Tokens = 1, q.tokens
	f.MetFirstToken = met(first, q.target.FirstToken)
	f.MetWholeAnswer = met(total, q.target.WholeAnswer)
	if q.lateGaps*lateGapRatio <= gaps {
		f.MetBetweenTokens = 1
	}
	f.Met = f.MetFirstToken * f.MetBetweenTokens * f.MetWholeAnswer
	f.GoodTokens = f.Met * f.Tokens
}

// met returns 1 if there is no target or d does not exceed it, and 0 otherwise.
func met(d time.Duration, target table.Duration) int64 {
	if target > 0 && d > target.Std() {
		return 0
	}
	return 1
}
