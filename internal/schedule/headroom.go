package schedule

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
	// demandTime is over how long a class's demand is averaged.
	demandTime = time.Second
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

// demand is how much engine time a class asks for, averaged.
type demand struct {
	at time.Duration
	// rate is in seconds of an engine per second.
	rate float64
}

func (d *demand) decay(now time.Duration) {
	d.rate *= math.Exp(-(now - d.at).Seconds() / demandTime.Seconds())
	d.at = now
}

// present returns the rate without changing it.
func (d *demand) present(now time.Duration) float64 {
	return d.rate * math.Exp(-(now-d.at).Seconds()/demandTime.Seconds())
}

// since returns the rate of what began at a moment, or zero if too little time
// has passed to tell it from chance.
func (d *demand) since(now, began time.Duration) float64 {
	seen := 1 - math.Exp(-(now-began).Seconds()/demandTime.Seconds())
	if d.rate == 0 || seen < minSeen {
		return 0
	}
	return d.present(now) / seen
}

func (d *demand) add(now, read time.Duration) {
	d.decay(now)
	d.rate += read.Seconds() / demandTime.Seconds()
}

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

// headroomFor returns the headroom for a request.
func (c *Cell) headroomFor(r *Request, now time.Duration) headroom {
	q := c.class(r.Class)
	if q == nil || q.policy.Target == 0 || c.off(Headroom) {
		return headroom{spare: len(c.list)}
	}
	own := c.classPatience(q)
	needed, limit := 0.0, time.Duration(0)
	for _, other := range c.order {
		patience := c.classPatience(other)
		if other.policy.Target == 0 || time.Duration(urgency*float64(patience)) >= own {
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
		return headroom{spare: len(c.list)}
	}
	free := 0
	for _, e := range c.list {
		if e.policy.Memory > 0 && e.free(now) && e.batch.backlog(now) <= limit {
			free++
		}
	}
	reserve := min(math.Ceil(headroomFactor*needed), maxHeadroom*float64(len(c.list)))
	return headroom{limit: limit, spare: free - int(reserve)}
}

// minDemand is the demand below which no engine is kept for a class.
const minDemand = 0.01

// classPatience is the backlog that a short prompt of a class may find.
func (c *Cell) classPatience(q *classQueue) time.Duration {
	return max(time.Duration(targetShare*float64(q.policy.Target))-c.overhead, minBacklog)
}
