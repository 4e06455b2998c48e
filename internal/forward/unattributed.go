package forward

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// ownResponseWait is how long the response to a request that must not be repeated is
	// awaited after one that may answer another request. The slot stays taken meanwhile.
	ownResponseWait = time.Second
	// refusalMemory is how long after a refusal without a request id requests that must
	// not be repeated use connections that have carried none.
	refusalMemory = 10 * time.Second
)

// refusals records when endpoints have last refused a request without naming it, by pool.
// On a connection that has carried another request, such a refusal proves nothing. It is
// safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	last map[table.Pool]time.Time
}

func (u *refusals) record(pool table.Pool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last == nil {
		u.last = map[table.Pool]time.Time{}
	}
	u.last[pool] = now
}

// expected reports whether further refusals of the pool are to be expected.
func (u *refusals) expected(pool table.Pool, clock clockwork.Clock) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.last[pool]
	return ok && clock.Since(at) < refusalMemory
}

// needsUnused reports whether the request must be sent over a connection that has carried
// none, since a refusal would otherwise leave open whether it was run. It requires mu.
func (r *run) needsUnused() bool {
	return r.unattributed || !r.req.repeatable() && r.f.refusals.expected(r.req.Pool, r.f.Clock)
}

// awaitOwn returns how long the response that names the request is awaited after one that
// does not. A request that may be repeated is sent elsewhere instead.
func (r *run) awaitOwn() time.Duration {
	if r.req.repeatable() {
		return 0
	}
	return ownResponseWait
}

// unattributedResult returns the result of an attempt to which only a response came that may
// answer another request. What it announces is true of its endpoint all the same.
func (c *call) unattributedResult(e *http1.UnattributedError) attemptResult {
	c.status = e.Status
	verdict := c.recordAnnouncement(e.Status, e.Header)
	result := failedResult(outcome.ReasonUnattributed, e)
	if verdict.NotRun {
		c.recordRefusal()
		result.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.unattributed = true
	return result
}

// recordAnnouncement records what the head of a response announces, and returns what it
// says.
func (c *call) recordAnnouncement(status int, h map[string][]string) ResponseInfo {
	verdict := c.run.f.Protocol.ReadHead(status, h)
	c.grant.RecordAnnouncement(verdict.Announcement)
	c.run.f.Notices.Record(&c.grant.Endpoint, verdict.Announcement)
	return verdict
}

// recordRefusal records a refusal that does not name its request.
func (c *call) recordRefusal() {
	if c.attribution == http1.Unstated {
		c.run.f.refusals.record(c.run.req.Pool, c.run.f.Clock.Now())
	}
}
