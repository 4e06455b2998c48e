// Package report gathers what callers saw in a load experiment and prints it.
package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	maxLatencyUs      = 10 * 60 * 1_000_000
	significantDigits = 3
)

// Result is how one request ended for its caller.
type Result int

// The results. Each request has exactly one.
const (
	// Whole is a whole and right answer.
	Whole Result = iota
	// Refused is a refusal by the daemons.
	Refused
	// Failed is a broken connection or stream.
	Failed
	// Wrong is an answer that ended cleanly and is not the right one.
	Wrong
	// Unfinished is a request that the experiment's end cut off.
	Unfinished
)

// Sample is one finished request.
type Sample struct {
	Result Result
	// Reason is set for refusals.
	Reason outcome.Reason
	// FirstToken is zero if no token came.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Gaps          []time.Duration
	// Took is the time to the end of the request.
	Took   time.Duration
	Tokens int
}

// Class gathers the samples of one class. It is safe for concurrent use.
type Class struct {
	name   table.ClassName
	target table.Target

	mu      sync.Mutex
	offered int
	met     int
	late    int
	results map[Result]int
	refused map[outcome.Reason]int
	// goodTokens are those of answers that met the target.
	goodTokens, wholeTokens int
	first, between          *hdrhistogram.Histogram
	longest                 time.Duration
}

// NewClass returns an empty class.
func NewClass(name table.ClassName, target table.Target) *Class {
	return &Class{
		name:    name,
		target:  target,
		results: map[Result]int{},
		refused: map[outcome.Reason]int{},
		first:   hdrhistogram.New(1, maxLatencyUs, significantDigits),
		between: hdrhistogram.New(1, maxLatencyUs, significantDigits),
	}
}

// Add takes in a sample.
func (c *Class) Add(s *Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered++
	c.results[s.Result]++
	if s.Result == Refused {
		c.refused[s.Reason]++
	}
	if s.FirstToken > 0 && s.Result != Refused {
		_ = c.first.RecordValue(s.FirstToken.Microseconds())
	}
	for _, gap := range s.Gaps {
		_ = c.between.RecordValue(gap.Microseconds())
	}
	c.longest = max(c.longest, s.wait())
	if s.Result != Whole {
		return
	}
	c.wholeTokens += s.Tokens
	if !s.meets(c.target) {
		c.late++
		return
	}
	c.met++
	c.goodTokens += s.Tokens
}

// wait is the time without a token: to the first one, or to the end if none
// came. A refusal is no wait.
func (s *Sample) wait() time.Duration {
	switch {
	case s.Result == Refused:
		return 0
	case s.FirstToken > 0:
		return s.FirstToken
	}
	return s.Took
}

// meets reports whether a whole answer kept every target of its class. Between
// tokens the mean counts, so that one slow token in a long answer is no miss.
func (s *Sample) meets(t table.Target) bool {
	within := func(took time.Duration, target table.Duration) bool { return target == 0 || took <= target.Std() }
	return within(s.FirstToken, t.FirstToken) && within(s.BetweenTokens, t.BetweenTokens) && within(s.Took, t.WholeAnswer)
}

// Summary is the result of a class, in JSON.
type Summary struct {
	Class   table.ClassName `json:"class"`
	Offered int             `json:"offered"`
	Met     int             `json:"met"`
	// Attainment is the share of the offered requests that met the targets.
	Attainment float64 `json:"attainment"`
	// Goodput is the tokens per second of answers that met the targets. Calls
	// of plain services count as one token.
	Goodput    float64                `json:"goodput"`
	Late       int                    `json:"late"`
	Refused    map[outcome.Reason]int `json:"refused"`
	Failed     int                    `json:"failed"`
	Wrong      int                    `json:"wrong"`
	Unfinished int                    `json:"unfinished"`
	FirstToken Percentiles            `json:"firstTokenMs"`
	Between    Percentiles            `json:"betweenTokensMs"`
	// LongestWaitMs is the longest time that a request went without its first
	// token.
	LongestWaitMs float64 `json:"longestWaitMs"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// RefusedTotal returns the refusals of all reasons.
func (s *Summary) RefusedTotal() int {
	n := 0
	for _, count := range s.Refused {
		n += count
	}
	return n
}

// Summary returns what the class came to over the duration.
func (c *Class) Summary(d time.Duration) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{
		Class:         c.name,
		Offered:       c.offered,
		Met:           c.met,
		Goodput:       float64(c.goodTokens) / d.Seconds(),
		Late:          c.late,
		Refused:       c.refused,
		Failed:        c.results[Failed],
		Wrong:         c.results[Wrong],
		Unfinished:    c.results[Unfinished],
		FirstToken:    percentiles(c.first),
		Between:       percentiles(c.between),
		LongestWaitMs: float64(c.longest.Milliseconds()),
	}
	if c.offered > 0 {
		s.Attainment = float64(c.met) / float64(c.offered)
	}
	return s
}

// DeliveredTokens returns the tokens of whole answers.
func (c *Class) DeliveredTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wholeTokens
}
