package forward

import (
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
)

// expectedShare is the share of the latest responses within whose time a request is expected
// to end. The callers of safe requests repeat them, streams break off, and it would not be
// known of the others whether they were run.
var expectedShare = map[catalog.Kind]float64{
	catalog.Safe:   0.5,
	catalog.Stream: 0.95,
	catalog.Unsafe: 1,
}

const leavingMessage = "this host is leaving"

// lastStart returns the time since the machine's start until which a leaving daemon may
// send the request; false if there is no limit. A stream that has begun is continued as
// long as possible, and a request ends by itself if its deadline comes before the end of the
// daemon.
func (r *run) lastStart() (at time.Duration, limited bool) {
	grace := r.f.Grace
	repeatable := r.req.Repeatable()
	if !grace.HasBegun() || r.headSent || r.req.Deadline <= grace.LastResponse(repeatable) {
		return 0, false
	}
	expected, known := r.f.durations.Quantile(r.req.Class, r.req.OutputTokens, expectedShare[r.req.Kind])
	if !known && r.mayHaveRun > 0 {
		// Nothing can be promised any more, so that another attempt costs nothing.
		return 0, false
	}
	return grace.LastStart(repeatable, expected, known), true
}

// untilLastStart returns the time until abandonUnsent must be called. It must be called
// without mu.
func (r *run) untilLastStart() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, limited := r.lastStart()
	if !limited {
		return never
	}
	return at - r.f.BootClock.Now()
}

// tooLate reports whether the request would not end before this daemon.
func (r *run) tooLate() bool {
	at, limited := r.lastStart()
	return limited && (r.abandoned || r.f.BootClock.Now() >= at)
}

// abandonUnsent ends the attempts that no endpoint has received: too little time is left
// for the response. It must be called without mu.
func (r *run) abandonUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, limited := r.lastStart(); !limited {
		return
	}
	r.abandoned = true
	for _, c := range r.calls {
		if !c.sent && !c.writable {
			c.cancel()
		}
	}
}

// leavingRefusal returns the refusal of a request that this daemon must not send any more.
func (r *run) leavingRefusal() *outcome.Refusal {
	refusal := outcome.NotRunError(outcome.ReasonLeaving, leavingMessage)
	refusal.RetryAfter = leavingRetryAfter
	return refusal
}

// leavingRetryAfter is the Retry-After time of these refusals: other hosts can serve the
// request at once.
const leavingRetryAfter = 200 * time.Millisecond
