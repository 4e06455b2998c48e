// Package attainment counts, per request class, how many requests met the
// latency targets of the class, how many were refused, and how many tokens were
// delivered and wasted.
package attainment

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// Figures are the counts of one class.
type Figures struct {
	// Total counts the requests that ended, including refused ones.
	Total int64 `json:"total"`
	// Met counts the requests that were answered completely and met every
	// target.
	Met int64 `json:"met"`
	// The next three count the complete responses that met the respective
	// target.
	MetFirstToken    int64 `json:"metFirstToken"`
	MetBetweenTokens int64 `json:"metBetweenTokens"`
	MetWholeAnswer   int64 `json:"metWholeAnswer"`
	// Answered counts the requests that were answered completely.
	Answered int64 `json:"answered"`
	// Tokens counts the tokens of complete responses; GoodTokens those of
	// responses that met every target.
	Tokens     int64 `json:"tokens"`
	GoodTokens int64 `json:"goodTokens"`
	// WastedTokens counts the tokens of responses that were not completed.
	WastedTokens int64 `json:"wastedTokens"`
	// Refused counts the requests that were not answered completely, by reason.
	Refused map[outcome.Reason]int64 `json:"refused"`
}

// Add adds the counts of o.
func (f *Figures) Add(o Figures) {
	f.Total += o.Total
	f.Met += o.Met
	f.MetFirstToken += o.MetFirstToken
	f.MetBetweenTokens += o.MetBetweenTokens
	f.MetWholeAnswer += o.MetWholeAnswer
	f.Answered += o.Answered
	f.Tokens += o.Tokens
	f.GoodTokens += o.GoodTokens
	f.WastedTokens += o.WastedTokens
	for reason, n := range o.Refused {
		if f.Refused == nil {
			f.Refused = map[outcome.Reason]int64{}
		}
		f.Refused[reason] += n
	}
}

// Attainment returns the fraction of requests that met every target, or 1 if
// there were none.
func (f *Figures) Attainment() float64 {
	if f.Total == 0 {
		return 1
	}
	return float64(f.Met) / float64(f.Total)
}

// ClassStatus holds the current counts of one class.
type ClassStatus struct {
	// Waiting counts the requests without a first token, Running the other
	// requests in progress.
	Waiting int64 `json:"waiting"`
	Running int64 `json:"running"`
	// Recent covers the last minute, Since the time since the daemon's start.
	Recent Figures `json:"recent"`
	Since  Figures `json:"since"`
}

// Add adds the status that another daemon reports.
func (s *ClassStatus) Add(o ClassStatus) {
	s.Waiting += o.Waiting
	s.Running += o.Running
	s.Recent.Add(o.Recent)
	s.Since.Add(o.Since)
}

// Recent figures are kept in buckets of bucketLength, so that old ones can be
// dropped.
const (
	bucketLength = 10 * time.Second
	bucketCount  = 6
	// Window is the time that recent figures cover.
	Window = bucketCount * bucketLength
)

// Recorder counts the requests of all classes. It is safe for concurrent use.
type Recorder struct {
	clock clockwork.Clock

	mu      sync.Mutex
	classes map[table.ClassName]*classRecord
}

// classRecord holds the counts of one class.
type classRecord struct {
	waiting int64
	running int64
	since   Figures
	// recent is a ring buffer: a bucket's index is its number modulo
	// bucketCount.
	recent [bucketCount]bucket
}

type bucket struct {
	number  int64
	figures Figures
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock clockwork.Clock) *Recorder {
	return &Recorder{clock: clock, classes: map[table.ClassName]*classRecord{}}
}

// class returns the record of a class, creating it if needed. The caller must
// hold the lock.
func (r *Recorder) class(name table.ClassName) *classRecord {
	c := r.classes[name]
	if c == nil {
		c = &classRecord{}
		r.classes[name] = c
	}
	return c
}

func (r *Recorder) bucketNumber() int64 { return r.clock.Now().UnixNano() / int64(bucketLength) }

// addFigures adds figures to a class. The caller must hold the lock.
func (r *Recorder) addFigures(c *classRecord, f Figures) {
	c.since.Add(f)
	number := r.bucketNumber()
	s := &c.recent[number%bucketCount]
	if s.number != number {
		*s = bucket{number: number}
	}
	s.figures.Add(f)
}

// Status returns the status of every class.
func (r *Recorder) Status() map[table.ClassName]ClassStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.bucketNumber() - bucketCount + 1
	all := make(map[table.ClassName]ClassStatus, len(r.classes))
	for name, c := range r.classes {
		s := ClassStatus{Waiting: c.waiting, Running: c.running, Since: c.since}
		s.Since.Refused = maps.Clone(c.since.Refused)
		for i := range c.recent {
			if c.recent[i].number >= oldest {
				s.Recent.Add(c.recent[i].figures)
			}
		}
		all[name] = s
	}
	return all
}
