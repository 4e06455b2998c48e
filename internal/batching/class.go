package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// Class is what is known of one class of requests.
type Class struct {
	// Tier orders classes; zero is the most urgent. Target is the promised time
	// to the first token, Pause that between two events; zero promises nothing.
	Tier          int
	Target, Pause time.Duration
	// Running counts the requests that run, Waiting tells how many wait.
	Running int
	Waiting func() int

	// demand is how much of the engines the class asks for.
	demand demand
	// meanSensitivity is that of its requests.
	meanSensitivity stat.Mean
	// arrivals is the rate of its requests, firstArrival when the first came;
	// stay is how long they run, in seconds.
	arrivals     demand
	firstArrival time.Duration
	stay         stat.Mean
	// meanRead is how long engines read for its requests, in seconds; meanAnswer
	// how many tokens they are expected to make. protected says that its streams
	// suffer from the long reads that come.
	meanRead, meanAnswer stat.Mean
	protected            bool
	// breakers counts the reads that would break its streams, breakersPeak is
	// its recent peak.
	breakers     demand
	breakersPeak float64
}

// Stayed takes in how long a request of the class has run.
func (q *Class) Stayed(d time.Duration) { q.stay.Add(d.Seconds()) }

// expectedStreams returns how many requests of a class will run at once if they
// go on coming as they do. At the start, and in a burst, that is known seconds
// before they run, and long requests must not take the engines meanwhile.
func (q *Class) expectedStreams(now time.Duration) float64 {
	return q.arrivals.since(now, q.firstArrival) * q.meanStay()
}

// meanStay is how long the class's requests run, in seconds.
func (q *Class) meanStay() float64 {
	if q.stay.N == 0 {
		return firstStay.Seconds()
	}
	return q.stay.Value
}

// hasStreams tells whether requests of a class run, wait, or are about to come.
func (q *Class) hasStreams(now time.Duration) bool {
	return q.Running+q.Waiting() > 0 || q.expectedStreams(now) >= 1
}

// pauseLimit is how long a stream may pause by reading alone; zero is no limit.
func (q *Class) pauseLimit() time.Duration {
	return time.Duration(pauseShare * float64(q.Pause))
}

// brokenBound is from which share on a class's streams are protected. It is
// lower for those that are, so that the two don't alternate.
func (q *Class) brokenBound() float64 {
	if q.protected {
		return brokenKept
	}
	return brokenFirst
}
