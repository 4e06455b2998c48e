package schedule

import (
	"maps"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// classCounters counts the requests of a class by outcome.
type classCounters struct {
	granted, aged, preempted, cancelled int64
	refused                             map[Refusal]int64
	// outlasting counts those refused as too late because their responses would end, not
	// begin, too late.
	outlasting int64
	// refusedEarly counts the requests that were refused before their callers gave up,
	// returnedOnTime and returnedEarly the arrivals of callers that were refused before.
	refusedEarly, returnedOnTime, returnedEarly int64
	longestWait                                 time.Duration
}

// cellCounters counts events of a cell.
type cellCounters struct {
	ejections int64
	// sharedFailures counts the failures that were not held against an endpoint, because
	// nearly all others failed too.
	sharedFailures int64
}

// CellStatus is the state of a cell as shown to operators.
type CellStatus struct {
	Waiting   int   `json:"waiting"`
	Running   int   `json:"running"`
	Places    int   `json:"places"`
	Ejections int64 `json:"ejections"`
	// SharedFailures counts the failures that are not held against endpoints, because
	// nearly all of them failed.
	SharedFailures int64            `json:"sharedFailures"`
	Classes        []ClassStatus    `json:"classes"`
	Endpoints      []EndpointStatus `json:"endpoints"`
	Estimates      EstimateError    `json:"estimates"`
	// Crossings counts the requests that were sent to another availability zone.
	Crossings map[batching.CrossingReason]batching.Crossings `json:"crossings,omitempty"`
	// Engines describes the engines that batch; it is absent if there are none.
	Engines *batching.Status `json:"engines,omitempty"`
}

// ClassStatus is the state of a class in a cell as shown to operators. Counters
// start when this daemon takes over the cell.
type ClassStatus struct {
	Class     Class             `json:"class"`
	Tier      Tier              `json:"tier"`
	Waiting   int               `json:"waiting"`
	Running   int               `json:"running"`
	Granted   int64             `json:"granted"`
	Aged      int64             `json:"aged"`
	Preempted int64             `json:"preempted"`
	Cancelled int64             `json:"cancelled"`
	Refused   map[Refusal]int64 `json:"refused"`
	// Outlasting counts those refused as too late whose responses could have begun in
	// time, but not ended.
	Outlasting int64 `json:"outlasting"`
	// RefusedEarly counts the requests that were refused, on their arrival or once they
	// were late, because the queue would not serve them while their callers wait.
	RefusedEarly int64 `json:"refusedEarly"`
	// ReturnedOnTime and ReturnedEarly count the arrivals of refused callers after and
	// before the time that they were told.
	ReturnedOnTime int64 `json:"returnedOnTime"`
	ReturnedEarly  int64 `json:"returnedEarly"`
	// LongestWaitMS is the longest wait of all granted requests, OldestWaitMS
	// that of the requests that still wait.
	LongestWaitMS int64 `json:"longestWaitMs"`
	OldestWaitMS  int64 `json:"oldestWaitMs"`
	// Protected is set while long prefills are kept away from the class's streams.
	Protected bool `json:"protected,omitempty"`
}

// EndpointStatus is the state of an endpoint as shown to operators.
type EndpointStatus struct {
	Endpoint    Endpoint `json:"endpoint"`
	Concurrency int      `json:"concurrency"`
	Running     int      `json:"running"`
	// Foreign counts the requests that others run on the endpoint, according to
	// its last load report.
	Foreign int `json:"foreign"`
	// OutstandingTokens is the estimated work of the running grants.
	OutstandingTokens int `json:"outstandingTokens"`
	// EndingLate counts the running streams that are expected to end after their callers
	// have left.
	EndingLate int         `json:"endingLate,omitempty"`
	Draining   bool        `json:"draining"`
	Ejected    EjectReason `json:"ejected,omitempty"`
	// LimitPerSecond is the rate limit that the endpoint reports; zero means none.
	LimitPerSecond float64 `json:"limitPerSecond,omitempty"`
	// BetweenTokensMS is the measured time per token; zero means unknown.
	BetweenTokensMS float64 `json:"betweenTokensMs"`
	// Slowdown is the processing time of a batching engine relative to one of median
	// speed; Decode is set if it is reserved for streams that long prefills would delay.
	Slowdown float64 `json:"slowdown,omitempty"`
	Decode   bool    `json:"decode,omitempty"`
}

// Status returns the state of the cell.
func (c *Cell) Status() CellStatus {
	now := c.now()
	s := CellStatus{
		Waiting:        c.waiting,
		Running:        c.running,
		Places:         c.totalSlots,
		Ejections:      c.counters.ejections,
		SharedFailures: c.counters.sharedFailures,
		Estimates:      c.estimates.Error(),
		Crossings:      maps.Clone(c.pool.Crossings()),
		Engines:        c.pool.Status(),
	}
	for _, q := range c.classOrder {
		s.Classes = append(s.Classes, q.status(now))
	}
	for _, e := range c.sortedEndpoints {
		s.Endpoints = append(s.Endpoints, EndpointStatus{
			Endpoint:          e.policy.Name,
			Concurrency:       e.policy.Concurrency,
			Running:           e.Running,
			Foreign:           e.foreign(now),
			OutstandingTokens: int(e.outstanding),
			EndingLate:        e.EndingLate(),
			Draining:          e.policy.Draining,
			Ejected:           e.health.reason,
			LimitPerSecond:    e.limit.perSecond,
			BetweenTokensMS:   e.health.tokenTime.Value * 1000,
			Slowdown:          c.slowdownStatus(e),
			Decode:            e.Decode,
		})
	}
	return s
}

// slowdownStatus returns the slowdown of an engine that batches, or zero.
func (c *Cell) slowdownStatus(e *endpointState) float64 {
	if e.Memory == 0 {
		return 0
	}
	return e.Slowdown()
}

func (q *classQueue) status(now time.Duration) ClassStatus {
	s := ClassStatus{
		Class:          q.policy.Name,
		Tier:           q.policy.Tier,
		Waiting:        q.waiting(),
		Running:        q.Running,
		Granted:        q.counters.granted,
		Aged:           q.counters.aged,
		Preempted:      q.counters.preempted,
		Cancelled:      q.counters.cancelled,
		Refused:        maps.Clone(q.counters.refused),
		RefusedEarly:   q.counters.refusedEarly,
		ReturnedOnTime: q.counters.returnedOnTime,
		ReturnedEarly:  q.counters.returnedEarly,
		Outlasting:     q.counters.outlasting,
		Protected:      q.Protected(),
		LongestWaitMS:  q.counters.longestWait.Milliseconds(),
	}
	if e := q.oldest.first(); e != nil {
		s.OldestWaitMS = (now - e.WaitingSince).Milliseconds()
	}
	return s
}

// Pressure returns the load of the cell as seen by a tier: the waiting requests
// of the tier and those above it, plus the running grants that it can't preempt,
// divided by the number of slots.
func (c *Cell) Pressure(t Tier) float64 {
	if c.totalSlots == 0 {
		return 0
	}
	n := c.running
	for _, q := range c.tiers {
		if q.tier <= t {
			n += q.waiting
		} else {
			n -= q.preemptible.n
		}
	}
	return float64(n) / float64(c.totalSlots)
}
