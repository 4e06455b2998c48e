package backlog

import (
	"math"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// settleTime is how long a caller must have been behind before it counts as slow. A
// response that its endpoint has sent at once is also behind until a fast caller has
// taken it. It is below the time after which endpoints cut off what is not read.
const settleTime = time.Second

// holding describes what one response holds.
type holding struct {
	// number counts the responses in the order in which they began to hold anything.
	number uint64
	held   Bytes
	// behindSince is when the response began to hold something without a break, taken
	// what its caller has taken since. Both are zero if nothing is held.
	behindSince time.Time
	taken       Bytes
	// takenAt is when the caller took something last, behindSince if it has not since.
	takenAt time.Time
}

// likeSpeed is the factor up to which the speeds of two callers are alike.
const likeSpeed = 2

// speed returns how many bytes per second the caller takes.
func (h *holding) speed(now time.Time) float64 {
	return float64(h.taken) / now.Sub(h.behindSince).Seconds()
}

// chooseSlowest returns the response whose caller gives way first when many callers read
// slowly: of those that hold at least as much as the mean, the one whose caller is the
// slowest; among callers of a like speed the one that began last, since the others are
// closer to their ends. If the callers of all these may still be fast, it returns nil and
// the time until that is known of one. Both are zero if nothing is held.
func chooseSlowest(all []*holding, now time.Time) (slowest *holding, wait time.Duration) {
	var sum, n Bytes
	for _, h := range all {
		if h.held > 0 {
			sum += h.held
			n++
		}
	}
	var slow []*holding
	lowest := math.Inf(1)
	for _, h := range all {
		if h.held == 0 || h.held < sum/n {
			continue
		}
		if unsettled := settleTime - now.Sub(h.behindSince); unsettled <= 0 {
			slow = append(slow, h)
			lowest = min(lowest, h.speed(now))
		} else if wait == 0 || unsettled < wait {
			wait = unsettled
		}
	}
	for _, h := range slow {
		if h.speed(now) <= likeSpeed*lowest && (slowest == nil || h.number > slowest.number) {
			slowest = h
		}
	}
	if slowest != nil {
		wait = 0
	}
	return slowest, wait
}
