// Package interference models how prefill on a batching engine delays the
// streams that the same engine decodes.
//
// Such an engine works in steps. Each step generates one token for every stream
// and processes a chunk of a prompt, if one is waiting. An event of a stream
// carries several tokens, so a long prompt adds a chunk to each of the event's
// steps and the gap between two events grows. Its length follows from two
// properties of the engines, which are estimated from the streams: the time of
// an event without concurrent prefill, and the most prefill time that fits into
// one event.
package interference

import "time"

const (
	// maxPrefillQuantile is the quantile of the samples that is taken as the most
	// prefill time per event. Some samples are too low, because the prefill did
	// not run when it was expected to.
	maxPrefillQuantile = 0.8
	// minSamples is the number of samples below which an estimate is not used.
	minSamples = 20
	// minEvents is the number of events below which a stream is ignored.
	minEvents = 5
)

// Prefill is a period in which an engine processes prompts without a break.
type Prefill struct {
	// Time is the length of the period.
	Time time.Duration
	// Slowdown is the processing time of a token at the end of the longest
	// prompt relative to one at the start of a prompt. Values below 1 count as 1.
	Slowdown float64
}

// Stream describes the timing of one completed response.
type Stream struct {
	Events int
	// LongestGap is the longest gap between two events.
	LongestGap time.Duration
	// Running is the number of requests that ran on the engine.
	Running int
	// ConcurrentPrefill is the longest prefill that ran on the engine at the same
	// time.
	ConcurrentPrefill Prefill
}

// Model holds the estimates for the engines of a pool. The zero value has no
// samples, and assumes that a stream has no event during a prefill.
type Model struct {
	// eventTime estimates the time of an event by the number of running requests.
	eventTime eventTimeFit
	// maxPrefill estimates the most prefill time that fits into an event, for
	// tokens at the start of a prompt, in seconds.
	maxPrefill quantile
}

// ObserveEvent records the time of a stream's events, without the prefill
// between them, at a number of running requests.
func (m *Model) ObserveEvent(running int, took time.Duration) {
	m.eventTime.observe(float64(running), took.Seconds())
}

// Observe records the timing of a completed stream.
func (m *Model) Observe(s Stream) {
	base := m.EventTime(s.Running)
	// Only a prefill that outlasted the longest gap shows how much fits into
	// an event; a shorter one ended within the event.
	if s.Events < minEvents || base == 0 || s.ConcurrentPrefill.Time <= s.LongestGap || s.LongestGap <= base {
		return
	}
	m.maxPrefill.add((s.LongestGap-base).Seconds()/s.ConcurrentPrefill.slowdown(), maxPrefillQuantile)
}

// EventTime returns the time of an event without concurrent prefill at a number of
// running requests, or zero if it is unknown.
func (m *Model) EventTime(running int) time.Duration {
	return seconds(m.eventTime.predict(float64(running)))
}

// MeanEventTime returns EventTime at the mean number of running requests.
func (m *Model) MeanEventTime() time.Duration { return seconds(m.eventTime.predictAtMean()) }

// SlowdownPerRequest returns the additional time of an event for each running
// request, relative to the time of an event on an otherwise idle engine.
func (m *Model) SlowdownPerRequest() float64 { return m.eventTime.slopeRatio() }

// MaxPrefill returns the most prefill time that falls into an event, for tokens at
// the start of a prompt, or zero if it is unknown.
func (m *Model) MaxPrefill() time.Duration {
	if m.maxPrefill.n < minSamples {
		return 0
	}
	return seconds(m.maxPrefill.value)
}

// ExpectedGap returns the longest gap between events that a stream is expected to
// have during a prefill, at a number of running requests.
func (m *Model) ExpectedGap(running int, r Prefill) time.Duration {
	return m.EventTime(running) + m.prefillInEvent(r)
}

// prefillInEvent returns how much of a prefill falls into one event.
func (m *Model) prefillInEvent(r Prefill) time.Duration {
	if full := m.MaxPrefill(); full > 0 {
		return min(r.Time, time.Duration(float64(full)*r.slowdown()))
	}
	return r.Time
}

func (r Prefill) slowdown() float64 { return max(1, r.Slowdown) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
