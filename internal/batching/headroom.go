package batching

import (
	"math"
	"time"
)

// Requests of classes with generous targets would keep the backlog of every engine
// above the limit of urgent classes: whenever the backlog of an engine falls below
// it, another such request fills it up again. In a burst of long prompts the whole
// urgent class would then be late, although it needs only a small share of the
// engines. So as many engines as it needs are kept free for it.

const (
	// headroomFactor is the number of engines that are kept free for each engine
	// that a class keeps busy with prefill. With 1, its requests would queue.
	headroomFactor = 2.5
	// maxHeadroom is the largest share of the engines that is kept free.
	maxHeadroom = 0.6
	// urgencyRatio is the ratio of backlog limits above which the class with the
	// lower limit has priority.
	urgencyRatio = 1.5
	// headroomPenalty is the additional backlog that a request accepts to avoid
	// an engine that is free for urgent requests.
	headroomPenalty = 150 * time.Millisecond
)

// headroom describes which engines a request must leave to more urgent classes.
type headroom struct {
	// backlogLimit is the lowest backlog limit of the more urgent classes; zero
	// if there are none.
	backlogLimit time.Duration
	// spare is the number of engines below the limit that those classes do not
	// need.
	spare int
}

// exceededBy reports whether a prefill of the given time raises an engine's
// backlog above the limit of more urgent classes.
func (r *headroom) exceededBy(backlog, prefill time.Duration) bool {
	return r.backlogLimit > 0 && backlog <= r.backlogLimit && backlog+prefill > r.backlogLimit
}

// headroomFor returns the headroom for a request of a class.
func (p *Pool) headroomFor(q *Class, now time.Duration) headroom {
	if q.Target == 0 || p.isDisabled(Headroom) {
		return headroom{spare: len(p.engines)}
	}
	own := p.classBacklogLimit(q)
	needed, limit := 0.0, time.Duration(0)
	for _, other := range p.classes {
		backlogLimit := p.classBacklogLimit(other)
		if other.Target == 0 || time.Duration(urgencyRatio*float64(backlogLimit)) >= own {
			continue
		}
		other.demand.decay(now)
		if other.demand.rate < minDemand {
			continue
		}
		needed += other.demand.rate
		if limit == 0 || backlogLimit < limit {
			limit = backlogLimit
		}
	}
	if limit == 0 {
		return headroom{spare: len(p.engines)}
	}
	free := 0
	for _, e := range p.engines {
		if e.Memory > 0 && e.Free(now) && e.Backlog(now) <= limit {
			free++
		}
	}
	reserve := min(math.Ceil(headroomFactor*needed), maxHeadroom*float64(len(p.engines)))
	return headroom{backlogLimit: limit, spare: free - int(reserve)}
}

// classBacklogLimit returns the backlog limit of a short prompt of a class.
func (p *Pool) classBacklogLimit(q *Class) time.Duration {
	return max(time.Duration(targetShare*float64(q.Target))-p.overhead, minBacklog)
}
