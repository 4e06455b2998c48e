package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// ownResponseWait is how long the response to a request that must not be repeated is
// awaited after one that may answer another request. The slot stays taken meanwhile.
const ownResponseWait = time.Second

// needsUnused reports whether the request must be sent to an address over a connection that
// has carried none, since a refusal would otherwise leave open whether it was run. The id in
// a response names the request, not the attempt: a refusal of an earlier attempt there may
// come once more. It requires mu.
func (r *run) needsUnused(address string) bool {
	return r.unattributed || slices.Contains(r.sentTo, address) || !r.req.Repeatable() && r.f.refusals.AreExpected(r.req.Pool, r.f.Clock)
}

// mayBeOwn reports whether a response that names no request may answer this one, if nothing
// else was sent on its connection. A refusal may not if the endpoints of the pool name the
// requests that they refuse, unless another process than the expected one has sent it, which
// has no reason to run the request. It must be called without mu.
func (r *run) mayBeOwn(status int, h http.Header) bool {
	verdict := r.f.Protocol.ReadHead(status, h)
	return r.req.Repeatable() || !verdict.NotRun || verdict.OtherProcess || !r.f.refusals.AreNamed(r.req.Pool, r.f.Clock)
}

// awaitOwn returns how long the response that names the request is awaited after one that
// does not. A request that may be repeated is sent elsewhere instead.
func (r *run) awaitOwn() time.Duration {
	if r.req.Repeatable() {
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
		c.recordRefusal(verdict)
		result.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_REFUSED_BY_ENDPOINT
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.unattributed = true
	return result
}

// recordAnnouncement records what the head of a response announces, and returns what it
// says.
func (c *call) recordAnnouncement(status int, h http.Header) ResponseInfo {
	verdict := c.run.f.Protocol.ReadHead(status, h)
	c.grant.RecordAnnouncement(verdict.Announcement)
	c.run.f.Notices.Record(&c.grant.Endpoint, verdict.Announcement)
	return verdict
}

// recordRefusal records whether a refusal names its request.
func (c *call) recordRefusal(verdict ResponseInfo) {
	if !verdict.OtherProcess {
		c.run.f.refusals.Record(c.run.req.Pool, c.attribution == http1.Own, c.run.f.Clock)
	}
}
