package schedule

import (
	"maps"
	"time"
)

// classFigures counts what became of a class's requests.
type classFigures struct {
	granted, aged, preempted, cancelled int64
	refused                             map[Refusal]int64
	longestWait                         time.Duration
}

// cellFigures counts what happened in a cell.
type cellFigures struct {
	ejections int64
}

// CellStatus is what operators see of a cell.
type CellStatus struct {
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Places    int              `json:"places"`
	Ejections int64            `json:"ejections"`
	Classes   []ClassStatus    `json:"classes"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Estimates EstimateError    `json:"estimates"`
}

// ClassStatus is what operators see of a class in a cell. The counts are since
// this daemon runs the cell.
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
	// LongestWaitMS is that of all requests granted; OldestWaitMS is that
	// of those which wait.
	LongestWaitMS int64 `json:"longestWaitMs"`
	OldestWaitMS  int64 `json:"oldestWaitMs"`
}

// EndpointStatus is what operators see of an endpoint.
type EndpointStatus struct {
	Endpoint    Endpoint `json:"endpoint"`
	Concurrency int      `json:"concurrency"`
	Running     int      `json:"running"`
	// Foreign counts requests that others run there, by its last report.
	Foreign int `json:"foreign"`
	// OutstandingTokens is the estimated work of the running grants.
	OutstandingTokens int         `json:"outstandingTokens"`
	Draining          bool        `json:"draining"`
	Ejected           EjectReason `json:"ejected,omitempty"`
	// LimitPerSecond is the limit that the endpoint names; zero is none.
	LimitPerSecond float64 `json:"limitPerSecond,omitempty"`
	// BetweenTokensMS is the measured time per token; zero is unknown.
	BetweenTokensMS float64 `json:"betweenTokensMs"`
}

// Status returns the cell's figures.
func (c *Cell) Status() CellStatus {
	now := c.now()
	s := CellStatus{
		Waiting:   c.waiting,
		Running:   c.running,
		Places:    c.places,
		Ejections: c.figures.ejections,
		Estimates: c.estimates.Error(),
	}
	for _, q := range c.order {
		s.Classes = append(s.Classes, q.status(now))
	}
	for _, e := range c.list {
		s.Endpoints = append(s.Endpoints, EndpointStatus{
			Endpoint:          e.policy.Name,
			Concurrency:       e.policy.Concurrency,
			Running:           e.Running,
			Foreign:           e.foreign(now),
			OutstandingTokens: int(e.outstanding),
			Draining:          e.policy.Draining,
			Ejected:           e.health.reason,
			LimitPerSecond:    e.limit.perSecond,
			BetweenTokensMS:   e.health.token.Value * 1000,
		})
	}
	return s
}

func (q *classQueue) status(now time.Duration) ClassStatus {
	s := ClassStatus{
		Class:         q.policy.Name,
		Tier:          q.policy.Tier,
		Waiting:       q.waiting(),
		Running:       q.Running,
		Granted:       q.figures.granted,
		Aged:          q.figures.aged,
		Preempted:     q.figures.preempted,
		Cancelled:     q.figures.cancelled,
		Refused:       maps.Clone(q.figures.refused),
		LongestWaitMS: q.figures.longestWait.Milliseconds(),
	}
	if e := q.oldest.first(); e != nil {
		s.OldestWaitMS = (now - e.Since).Milliseconds()
	}
	return s
}

// Pressure is how crowded a cell is for a tier: the waiting requests of the
// tier and those above it, plus the running grants that it can't displace,
// divided by the places.
func (c *Cell) Pressure(t Tier) float64 {
	if c.places == 0 {
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
	return float64(n) / float64(c.places)
}
