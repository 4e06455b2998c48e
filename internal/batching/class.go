package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/completion"
	"github.com/beechhead/beechhead/internal/stat"
)

// Class is the state of one class of requests.
type Class struct {
	// Tier orders classes; zero is the most urgent. Target is the promised time
	// to the first token, Pause the longest promised gap between two events.
	// Zero means no promise.
	Tier          int
	Target, Pause time.Duration
	// Running is the number of running requests. Waiting returns the number of
	// waiting ones.
	Running int
	Waiting func() int

	// demand is the prefill time that the class asks for.
	demand decayingRate
	// meanSensitivity is the mean of the sensitivity of its requests.
	meanSensitivity stat.Mean
	// arrivals is the rate of its requests, firstArrival when the first arrived;
	// runTime is how long they run, in seconds.
	arrivals     decayingRate
	firstArrival time.Duration
	runTime      stat.Mean
	// meanPrefill is the prefill time of its requests, in seconds, and
	// meanResponse the expected length of their responses, in tokens. protected
	// means that the current long prefills delay its streams too much.
	meanPrefill, meanResponse stat.Mean
	protected                 bool
	// violations is the rate of prefills that exceed the gap limit of its
	// streams, violationsPeak its recent peak.
	violations     decayingRate
	violationsPeak float64
	// lengths relates the lengths of its responses to the expected ones.
	lengths completion.LengthRatio
}

// RecordRunTime records how long a request of the class has run.
func (q *Class) RecordRunTime(d time.Duration) { q.runTime.Add(d.Seconds()) }

// expectedStreams returns how many requests of the class will run at once if
// they keep arriving at the present rate. At the start and in a burst, this is
// known seconds before they run, so that long requests can be kept off the engines
// until then.
func (p *Pool) expectedStreams(q *Class, now time.Duration) float64 {
	return q.arrivals.valueSince(now, q.firstArrival) * p.meanRunTime(q)
}

// RunTime returns how long the class's requests run.
func (q *Class) RunTime() time.Duration {
	if q.runTime.N == 0 {
		return initialRunTime
	}
	return stat.Seconds(q.runTime.Value)
}

// meanRunTime returns how long the class's requests run, in seconds.
func (p *Pool) meanRunTime(q *Class) float64 {
	switch {
	case q.runTime.N == 0:
		return initialRunTime.Seconds()
	case q.runTime.N < minRunTimes && len(p.engines) >= minGuessEngines && !p.isDisabled(InitialDecode):
		return max(initialRunTime.Seconds(), q.runTime.Value)
	}
	return q.runTime.Value
}

// hasStreams reports whether requests of the class run, wait or are expected.
func (p *Pool) hasStreams(q *Class, now time.Duration) bool {
	return q.Running+q.Waiting() > 0 || p.expectedStreams(q, now) >= 1
}

// gapLimit returns the longest gap of a stream that prefill may cause; zero
// means no limit.
func (q *Class) gapLimit() time.Duration {
	return time.Duration(gapShare * float64(q.Pause))
}

// protectionThreshold returns the share of delayed streams above which the
// class's streams are protected. It is lower for a class that is protected
// already, so that the state does not oscillate, and lowest while no stream has shown
// yet what prefills do to it.
func (p *Pool) protectionThreshold(q *Class) float64 {
	switch {
	case p.isInitial():
		return initialProtectThreshold
	case q.protected:
		return unprotectThreshold
	}
	return protectThreshold
}
