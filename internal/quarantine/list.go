package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// threshold is the number of endpoints that must terminate during a request
	// before it is quarantined. One or two may have terminated for another
	// reason.
	threshold = 3
	// quarantineDuration is how long a request is quarantined after the last
	// endpoint terminated. It may then be sent again, and is quarantined again
	// if one more endpoint terminates.
	quarantineDuration = 10 * time.Minute
	// retentionOne is how long a request is tracked after its only endpoint
	// terminated, and retentionMany the same if several have. The former is
	// short because most requests affected by a mass termination of endpoints
	// have lost only one.
	retentionOne  = 2 * time.Minute
	retentionMany = time.Hour
	// renewalInterval is how much later than the last known termination another
	// one must be to count if it adds no endpoint to those recorded for the
	// request.
	renewalInterval = time.Minute
	// maxEndpoints limits the endpoints recorded per request.
	maxEndpoints = 8
	// maxSuspects limits the tracked requests. Those with the fewest terminated
	// endpoints are evicted first.
	maxSuspects = 1024
	// maxCompleted limits the requests that are remembered as completed.
	maxCompleted = 4096
	// maxTerminated limits the endpoints that are remembered as terminated, and
	// terminatedFor is how long they are: the registration of one that does not start
	// again lapses before.
	maxTerminated = 4096
	terminatedFor = 2 * time.Minute
)

// List tracks the requests during which endpoints have terminated, as observed
// by this daemon or reported by others. It is safe for concurrent use.
type List struct {
	// OnChange is called when a request is quarantined, and when it is released
	// because an endpoint has completed it. It must be set before the list is
	// used and must not call the list.
	OnChange func(f Fingerprint, quarantined bool)

	mu sync.Mutex
	tracker[Fingerprint, *suspectRequest]
	// completed holds the most recently completed requests.
	completed recent[Fingerprint, struct{}]
	// terminated holds when the endpoints that terminated last have done so.
	terminated recent[EndpointID, time.Time]
}

// suspectRequest is a request during which endpoints have terminated.
type suspectRequest struct {
	// endpoints lists the terminated endpoints in ascending order, at most
	// maxEndpoints.
	endpoints []EndpointID
	// completed is set once an endpoint has completed the request. The request
	// is then not quarantined until its entry expires.
	completed bool
	// lastTermination is when the last endpoint terminated.
	lastTermination time.Time
}

func (s *suspectRequest) quarantined(now time.Time) bool {
	return len(s.endpoints) >= threshold && !s.completed && now.Sub(s.lastTermination) < quarantineDuration
}

// NewList returns an empty list.
func NewList(clock clockwork.Clock) *List {
	return &List{
		OnChange:   func(Fingerprint, bool) {},
		tracker:    newTracker[Fingerprint, *suspectRequest](clock),
		completed:  newRecent[Fingerprint, struct{}](maxCompleted),
		terminated: newRecent[EndpointID, time.Time](maxTerminated),
	}
}

// IsQuarantined reports whether a request is quarantined and must not be sent.
func (l *List) IsQuarantined(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	return s != nil && s.quarantined(l.clock.Now())
}

// IsSuspect reports whether endpoints have terminated during a request of late, and none
// has completed it.
func (l *List) IsSuspect(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	return s != nil && len(s.endpoints) > 0 && !s.completed && l.clock.Since(s.lastTermination) < quarantineDuration
}

// QuarantinedCount returns the number of quarantined requests.
func (l *List) QuarantinedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.suspects {
		if s.quarantined(l.clock.Now()) {
			n++
		}
	}
	return n
}

// RecordTermination records that an endpoint terminated while processing a
// request.
func (l *List) RecordTermination(f Fingerprint, endpoint table.EndpointName) {
	l.Apply(Update{Fingerprint: f, Terminated: []EndpointID{EndpointIDOf(endpoint)}})
}

// RecordCompletion records that an endpoint has completed a request. This shows
// that the request is not what terminated other endpoints.
func (l *List) RecordCompletion(f Fingerprint) {
	l.mu.Lock()
	l.completed.put(f, struct{}{})
	tracked := l.suspects[f] != nil
	l.mu.Unlock()
	if tracked {
		l.Apply(Update{Fingerprint: f, Completed: true})
	}
}

// HasTerminated reports whether an endpoint has terminated of late. What responds at its
// address afterwards is another process, even if it has not registered yet.
func (l *List) HasTerminated(endpoint table.EndpointName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.terminated.values[EndpointIDOf(endpoint)]
	return ok && l.clock.Since(at) < terminatedFor
}

// Apply merges an update. Updates may be applied in any order and repeatedly
// without losing what is already known.
func (l *List) Apply(n Update) {
	if n.Age >= retention(len(n.Terminated)) {
		return
	}
	l.mu.Lock()
	_, completed := l.completed.values[n.Fingerprint]
	n.Completed = n.Completed || completed
	now := l.clock.Now()
	for _, e := range n.Terminated {
		l.recordTerminated(e, now.Add(-n.Age))
	}
	s := l.suspects[n.Fingerprint]
	if s == nil {
		s = &suspectRequest{lastTermination: now.Add(-n.Age)}
		l.suspects[n.Fingerprint] = s
	}
	before := s.quarantined(now)
	changed := s.merge(n, now)
	after := s.quarantined(now)
	if changed {
		l.changed(n.Fingerprint, s)
	}
	l.mu.Unlock()
	if after != before {
		l.OnChange(n.Fingerprint, after)
	}
}

// recordTerminated records when an endpoint has terminated. An update about several has
// the time of the last one, so that the earliest known time counts.
func (l *List) recordTerminated(e EndpointID, at time.Time) {
	if known, ok := l.terminated.values[e]; ok && known.Before(at) && at.Sub(known) < terminatedFor {
		return
	}
	l.terminated.put(e, at)
}

// merge adds the information in an update that is not known yet, and reports
// whether there is any.
func (s *suspectRequest) merge(n Update, now time.Time) bool {
	termination := now.Add(-n.Age)
	terminated := len(n.Terminated) > 0 && termination.Sub(s.lastTermination) >= renewalInterval
	for _, e := range n.Terminated {
		at, known := slices.BinarySearch(s.endpoints, e)
		if !known && len(s.endpoints) < maxEndpoints {
			s.endpoints = slices.Insert(s.endpoints, at, e)
			terminated = true
		}
	}
	if terminated && termination.After(s.lastTermination) {
		s.lastTermination = termination
	}
	completed := n.Completed && !s.completed
	s.completed = s.completed || n.Completed
	return terminated || completed
}

// retention returns how long a request is tracked after the last of the given
// number of endpoints terminated.
func retention(endpoints int) time.Duration {
	if endpoints < 2 {
		return retentionOne
	}
	return retentionMany
}

func (s *suspectRequest) expiresAt() time.Time {
	return s.lastTermination.Add(retention(len(s.endpoints)))
}

func (s *suspectRequest) terminations() int { return len(s.endpoints) }
