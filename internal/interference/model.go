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

// Reading is a period in which an engine processes prompts without a break.
type Reading struct {
	// Time is the length of the period.
	Time time.Duration
	// Slowdown is the processing time of a token at the end of the longest
	// prompt relative to one at the start of a prompt. Values below 1 count as 1.
	Slowdown float64
}

// Stream describes the timing of one completed response.
type Stream struct {
	Events int
	// Longest is the longest gap between two events.
	Longest time.Duration
	// Running is the number of requests that ran on the engine.
	Running int
	// Beside is the longest prefill that ran on the engine at the same time.
	Beside Reading
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
	base := m.Event(s.Running)
	// Only a prefill that outlasted the longest gap shows how much fits into
	// an event; a shorter one ended within the event.
	if s.Events < minEvents || base == 0 || s.Beside.Time <= s.Longest || s.Longest <= base {
		return
	}
	m.maxPrefill.add((s.Longest-base).Seconds()/s.Beside.slowdown(), maxPrefillQuantile)
}

// Event returns the time of an event without concurrent prefill at a number of
// running requests, or zero if it is unknown.
func (m *Model) Event(running int) time.Duration {
	return seconds(m.eventTime.predict(float64(running)))
}

// MeanEvent returns Event at the mean number of running requests.
func (m *Model) MeanEvent() time.Duration { return seconds(m.eventTime.predictAtMean()) }

// PerRun returns the additional time of an event for each running request,
// relative to the time of an event on an otherwise idle engine.
func (m *Model) PerRun() float64 { return m.eventTime.slopeRatio() }

// Full returns the most prefill time that falls into an event, for tokens at
// the start of a prompt, or zero if it is unknown.
func (m *Model) Full() time.Duration {
	if m.maxPrefill.n < minSamples {
		return 0
	}
	return seconds(m.maxPrefill.value)
}

// Pause returns the longest gap between events that a stream is expected to have
// during a prefill, at a number of running requests.
func (m *Model) Pause(running int, r Reading) time.Duration {
	return m.Event(running) + m.prefillInEvent(r)
}

// prefillInEvent returns how much of a prefill falls into one event.
func (m *Model) prefillInEvent(r Reading) time.Duration {
	if full := m.Full(); full > 0 {
		return min(r.Time, time.Duration(float64(full)*r.slowdown()))
	}
	return r.Time
}

func (r Reading) slowdown() float64 { return max(1, r.Slowdown) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
