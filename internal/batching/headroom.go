package batching

import (
	"math"
	"time"
)

// Requests of classes with much time would keep every engine's backlog beyond
// what urgent ones can bear: whenever an engine falls below it, there is
// another of them to fill it up again. In a burst of long prompts the urgent
// class is then late as a whole, though it needs a small part of the engines.
// So some engines are kept free for it, as many as it needs.

const (
	// headroomFactor is how many engines are kept free for each engine that a class
	// keeps busy with reading. With one its requests would queue up for it.
	headroomFactor = 2.5
	// maxHeadroom is the greatest part of the engines that is kept free.
	maxHeadroom = 0.6
	// urgency is by how much less patience a class must have to go before
	// another one in this.
	urgency = 1.5
	// crowdTime is how much more backlog a request rather finds than to crowd
	// an engine that is free for urgent ones.
	crowdTime = 150 * time.Millisecond
)

// headroom is how much a request of some class may crowd the engines.
type headroom struct {
	// limit is the backlog that the most urgent class before it can bear; zero
	// if there is none.
	limit time.Duration
	// spare is how many engines below the limit are not needed by those.
	spare int
}

// crowds tells whether an engine with a backlog is free for urgent requests
// now and no longer once a prompt that takes that long was added.
func (r *headroom) crowds(backlog, read time.Duration) bool {
	return r.limit > 0 && backlog <= r.limit && backlog+read > r.limit
}

// headroomFor returns the headroom for a request of a class.
func (p *Pool) headroomFor(q *Class, now time.Duration) headroom {
	if q.Target == 0 || p.off(Headroom) {
		return headroom{spare: len(p.engines)}
	}
	own := p.classPatience(q)
	needed, limit := 0.0, time.Duration(0)
	for _, other := range p.classes {
		patience := p.classPatience(other)
		if other.Target == 0 || time.Duration(urgency*float64(patience)) >= own {
			continue
		}
		other.demand.decay(now)
		if other.demand.rate < minDemand {
			continue
		}
		needed += other.demand.rate
		if limit == 0 || patience < limit {
			limit = patience
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
	return headroom{limit: limit, spare: free - int(reserve)}
}

// classPatience is the backlog that a short prompt of a class may find.
func (p *Pool) classPatience(q *Class) time.Duration {
	return max(time.Duration(targetShare*float64(q.Target))-p.overhead, minBacklog)
}
