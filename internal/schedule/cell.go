package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/interference"
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

	classes map[Class]*classQueue
	order   []*classQueue
	// tiers is sorted, the highest first; a tier stays when its classes go.
	tiers []*tierQueue

	endpoints map[Endpoint]*endpointState
	// list has the endpoints sorted by name.
	list []*endpointState
	// places is the sum of the endpoints' concurrency.
	places int
	// batching says that some endpoint batches its requests.
	batching bool
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
	meanWork    average
	medianToken float64
	medianPace  float64
	// firstPerToken is the time to the first token per token of the prompt,
	// in seconds.
	firstPerToken average
	judged        time.Duration
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
	streamsNow      float64
	decodeDemand    float64
	decodeTier      Tier
	decodeReviewed  time.Duration
	tooLateReviewed time.Duration
	// decodeEngines counts the decode engines, decodeEach is how many streams each of
	// them is planned for.
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
		meanWork:  average{value: defaultTokens},
		readRate:  firstReadRate,
		overhead:  firstOverhead,
		lastUse:   map[uint64]time.Duration{},
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
	c.forgetUses(now)
	c.reviewDecode(now)
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
