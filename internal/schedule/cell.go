package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/returns"
	"github.com/beechhead/beechhead/internal/stat"
)

// Cell is the scheduler of a bounded set of endpoints. It is not safe for
// concurrent use.
type Cell struct {
	clock Clock
	// start is when the cell was created; times are stored relative to it.
	start      time.Time
	discipline Discipline
	maxWaiting int
	disabled   []Mechanism
	share      int

	classes    map[Class]*classQueue
	classOrder []*classQueue
	// tiers is sorted, highest tier first. Tiers are kept after their last class
	// has been removed.
	tiers []*tierQueue

	endpoints map[Endpoint]*endpointState
	// sortedEndpoints is sorted by name.
	sortedEndpoints []*endpointState
	// poolBrittle applies to endpoints that have not responded yet.
	poolBrittle poolBrittleness
	// totalSlots is the sum of the endpoints' concurrency.
	totalSlots int
	// pool selects among the endpoints that batch their requests.
	pool     *batching.Pool
	prefixes prefixTable

	entries map[RequestID]*entry
	// fingerprints counts the entries by the fingerprint of their request.
	fingerprints map[uint64]int
	freeEntries  []*entry
	// waiting and running count entries. preempting counts the running entries
	// that are being preempted, agedRunning those that were granted by ageing.
	waiting, running, preempting, agedRunning int
	// grantsSinceAged counts the grants since the last one by ageing.
	grantsSinceAged int
	arrivals        uint64
	grants          uint64
	roundRobinIndex int
	deferred        []*entry
	// decisions collects those for the next call of Step, returned holds those
	// that the last call returned; the two slices are swapped to reuse memory.
	decisions, returned []Decision

	estimates          *Estimator
	meanWork           stat.Mean
	medianTokenTime    float64
	medianAdjustedTime float64
	// ttftPerToken is the time to first token per token of the prompt, in
	// seconds.
	ttftPerToken       stat.Mean
	lastStragglerCheck time.Duration
	// lastTooLateCheck is when shedTooLate last examined the queue.
	lastTooLateCheck time.Duration
	// refused holds the callers that were refused and may return.
	refused returns.Ledger
	// hasNewSamples reports whether an endpoint was measured since the last
	// straggler check.
	hasNewSamples bool
	scratch       []float64
	counters      cellCounters
}

// NewCell returns a cell without classes or endpoints.
func NewCell(clock Clock) *Cell {
	return &Cell{
		clock:           clock,
		start:           clock.Now(),
		classes:         map[Class]*classQueue{},
		endpoints:       map[Endpoint]*endpointState{},
		entries:         map[RequestID]*entry{},
		fingerprints:    map[uint64]int{},
		grantsSinceAged: agedGrantInterval,
		estimates:       NewEstimator(),
		meanWork:        stat.Mean{Value: defaultTokens},
		pool:            batching.NewPool(),
	}
}

// now returns the time since the cell was created.
func (c *Cell) now() time.Duration { return c.clock.Now().Sub(c.start) }

// Idle reports whether no requests are waiting or running.
func (c *Cell) Idle() bool { return len(c.entries) == 0 }

// Tiers returns the tiers that have classes, highest tier first.
func (c *Cell) Tiers() []Tier {
	var tiers []Tier
	for _, t := range c.tiers {
		if len(t.classes) > 0 {
			tiers = append(tiers, t.tier)
		}
	}
	return tiers
}

// Step makes all decisions that are possible now and returns them with those
// made since the last call. The result is valid until the next call of Step.
func (c *Cell) Step() []Decision {
	now := c.now()
	c.ejectStragglers(now)
	c.pool.Review(now)
	c.shedTooLate(now)
	c.grantAll(now)
	c.recordPace(now)
	c.shedExpired(now)
	c.shedOverflow(now)
	c.preemptAll(now)
	out := c.decisions
	c.decisions, c.returned = c.returned[:0], out
	return out
}

func (c *Cell) decide(d Decision) { c.decisions = append(c.decisions, d) }
