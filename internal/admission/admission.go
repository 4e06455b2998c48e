package admission

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

const (
	// TransitTime is an allowance for the network transit of a refusal and of a
	// response.
	TransitTime = 100 * time.Millisecond
	// minReturn and maxReturn bound the time after which callers are told to return,
	// before it is spread.
	minReturn = 200 * time.Millisecond
	maxReturn = 3 * time.Second
	// returnDivisor limits that time to this part of the time that is left: callers do
	// not wait longer before they return.
	returnDivisor = 3
	// overloadMargin is the part of its target that a request of an account that
	// overloads its queue may be expected to wait.
	overloadMargin = 0.5
	// spread is the part of the time over which returns are spread.
	spread = 0.5
)

// Queue is what a request meets in its queue. Rates are per second.
type Queue struct {
	// Pace is the rate of grants while requests wait, Arrivals that of requests that
	// come for the first time.
	Pace, Arrivals float64
	// Above is how long the requests of higher tiers that wait take to be granted.
	Above time.Duration
	// Ahead is the number of requests that are granted before it while it can meet its
	// target, Waiting that of all that wait.
	Ahead, Waiting float64
	// Heavy reports whether the account is one of those that overload the queue.
	Heavy bool
}

// Request is what matters of a request. Times are counted from its arrival; zero means
// unknown.
type Request struct {
	// Lead is the expected time from the grant to the first token.
	Lead time.Duration
	// Target is the target time to first token.
	Target time.Duration
	// StartTimeout is when a response must have begun to be of use, EndTimeout when it
	// must have ended.
	StartTimeout, EndTimeout time.Duration
	// Waited is the time since the arrival.
	Waited time.Duration
}

// Wait returns the expected wait of a request that is granted while it can meet its
// target.
func (q *Queue) Wait() time.Duration {
	return q.Above + stat.Seconds(q.Ahead/q.Pace)
}

// LateWait returns the expected wait of a request that can no longer meet its target. It
// is granted what first arrivals leave over; ok is false if they leave nothing.
func (q *Queue) LateWait() (wait time.Duration, ok bool) {
	left := q.Pace - q.Arrivals
	if left <= 0 {
		return 0, false
	}
	return q.Above + stat.Seconds(q.Waiting/left), true
}

// IsHopeless reports whether a request will not be granted in time for its response to
// reach a caller who waits.
func (q *Queue) IsHopeless(r *Request) bool {
	if r.StartTimeout == 0 {
		return false
	}
	limit := r.StartTimeout - TransitTime - r.Lead - r.Waited
	wait := q.Wait()
	late, ok := q.LateWait()
	switch {
	case r.Target == 0:
		return wait > limit
	case !ok:
		return wait > limit || r.Waited+wait >= scale(r.Target-r.Lead, q.margin())
	case r.Waited+wait+r.Lead < r.Target:
		return wait > limit
	}
	return late > limit
}

// margin returns which part of its target a request may be expected to wait while
// first arrivals take all that is granted. More of them will arrive and be granted first.
func (q *Queue) margin() float64 {
	if q.Heavy {
		return overloadMargin
	}
	return 1
}

// IsOverloaded reports whether first arrivals leave nothing to requests that can no longer
// meet their target, and keep a queue.
func (q *Queue) IsOverloaded(target time.Duration) bool {
	_, ok := q.LateWait()
	return !ok && q.Above+stat.Seconds(q.Waiting/q.Pace) >= target/2
}

// ReturnAfter returns when a refused caller should return: when the queue will have
// served what waits, spread by part, which is in [0, 1), so that callers do not return
// at once. It returns zero if the caller could not be served any more by then.
func (q *Queue) ReturnAfter(r *Request, part float64) time.Duration {
	after := maxReturn
	if wait, ok := q.LateWait(); ok {
		after = wait
	}
	return Spread(after, r, part)
}

// Spread bounds and spreads the time after which a caller should return.
func Spread(after time.Duration, r *Request, part float64) time.Duration {
	after = scale(min(max(after, minReturn), maxReturn), 1+spread*(part-0.5))
	if r.EndTimeout == 0 {
		return after
	}
	left := r.EndTimeout - r.Waited
	after = min(after, scale(left/returnDivisor, 1-spread*(1-part)))
	if after <= 0 || after+r.Lead+TransitTime >= left {
		return 0
	}
	return after
}

// Heeded returns after which time a caller returns that heeds the time that it was told.
func (r *Request) Heeded(after time.Duration) time.Duration {
	if r.EndTimeout == 0 {
		return after
	}
	return min(after, (r.EndTimeout-r.Waited)/returnDivisor)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
