package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/stat"
)

// Cell holds the queue and the places of a bounded set of endpoints. It is not
// safe for concurrent use.
type Cell struct {
	clock Clock
	// start is the origin of the cell's time.
	start      time.Time
	discipline Discipline
	maxWaiting int
	disabled   []Mechanism
	share      int

	classes map[Class]*classQueue
	order   []*classQueue
	// tiers is sorted, the highest first; a tier stays when its classes go.
	tiers []*tierQueue

	endpoints map[Endpoint]*endpointState
	// list has the endpoints sorted by name.
	list []*endpointState
	// places is the sum of the endpoints' concurrency.
	places int
	// pool chooses among the endpoints that batch their requests.
	pool     *batching.Pool
	prefixes prefixTable

	entries map[RequestID]*entry
	spare   []*entry
	// waiting and running count entries; preempting those of the running
	// that were asked back, agedRunning those granted by ageing.
	waiting, running, preempting, agedRunning int
	// sinceAged counts the grants since the last aged one.
	sinceAged int
	arrivals  uint64
	grants    uint64
	turn      int
	setAside  []*entry
	// decisions are those of the next step, handedOut those of the last one,
	// whose memory the step after takes.
	decisions, handedOut []Decision

	estimates   *Estimator
	meanWork    stat.Mean
	medianToken float64
	medianPace  float64
	// firstPerToken is the time to the first token per token of the prompt,
	// in seconds.
	firstPerToken stat.Mean
	judged        time.Duration
	// tooLateReviewed is when all that wait were last looked at.
	tooLateReviewed time.Duration
	// unjudged says that something was measured since the last judgement.
	unjudged bool
	scratch  []float64
	figures  cellFigures
}

// NewCell returns a cell without classes and endpoints.
func NewCell(clock Clock) *Cell {
	return &Cell{
		clock:     clock,
		start:     clock.Now(),
		classes:   map[Class]*classQueue{},
		endpoints: map[Endpoint]*endpointState{},
		entries:   map[RequestID]*entry{},
		sinceAged: agedEvery,
		estimates: NewEstimator(),
		meanWork:  stat.Mean{Value: defaultTokens},
		pool:      batching.NewPool(),
	}
}

// now returns the time since the cell was made.
func (c *Cell) now() time.Duration { return c.clock.Now().Sub(c.start) }

// Idle tells whether nothing waits or runs.
func (c *Cell) Idle() bool { return len(c.entries) == 0 }

// Tiers returns the tiers of the classes, the highest first.
func (c *Cell) Tiers() []Tier {
	var tiers []Tier
	for _, t := range c.tiers {
		if len(t.classes) > 0 {
			tiers = append(tiers, t.tier)
		}
	}
	return tiers
}

// Step decides all that can be decided now. The result is valid until the
// next call of Step.
func (c *Cell) Step() []Decision {
	now := c.now()
	c.judge(now)
	c.pool.Review(now)
	c.shedTooLate(now)
	c.grantAll(now)
	c.shedExpired(now)
	c.shedOverflow(now)
	c.preemptAll(now)
	out := c.decisions
	c.decisions, c.handedOut = c.handedOut[:0], out
	return out
}

func (c *Cell) decide(d Decision) { c.decisions = append(c.decisions, d) }
