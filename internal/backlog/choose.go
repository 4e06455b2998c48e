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
	// older and newer are the last two marks of what was taken; newer was set at most
	// markInterval before the caller took something last.
	older, newer mark
}

// mark is what a caller had taken at a time.
type mark struct {
	at    time.Time
	taken Bytes
}

// markInterval is the time between two marks. A speed is that since the last mark of at least
// this age: what was taken before may have gone into the kernel's buffer rather than to the
// caller, who may have stopped since.
const markInterval = settleTime

// take records that the caller has taken n bytes.
func (h *holding) take(now time.Time, n Bytes) {
	if now.Sub(h.newer.at) >= markInterval {
		h.older, h.newer = h.newer, mark{at: now, taken: h.taken}
	}
	h.taken += n
	h.takenAt = now
}

// likeSpeed is the factor up to which the speeds of two callers are alike.
const likeSpeed = 2

// speed returns how many bytes per second the caller has taken lately.
func (h *holding) speed(now time.Time) float64 {
	if now.Sub(h.takenAt) >= markInterval {
		return 0
	}
	from := h.newer
	if now.Sub(from.at) < markInterval {
		from = h.older
	}
	if from.at.Before(h.behindSince) {
		from = mark{at: h.behindSince}
	}
	return float64(h.taken-from.taken) / now.Sub(from.at).Seconds()
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
