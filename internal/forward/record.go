package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// recordPlaced records metrics and a log line for a granted slot.
func (r *run) recordPlaced(grant *placement.Grant) {
	waited := r.f.Clock.Since(r.began)
	r.slotWait = waited
	r.f.Metrics.ObserveClass("wait.ms", string(r.req.Class), waited.Milliseconds())
	r.recordContinued(grant)
	if !r.req.Logged {
		return
	}
	fetchFrom := table.EndpointName("")
	if grant.FetchFrom != nil {
		fetchFrom = grant.FetchFrom.Name
	}
	r.f.Logger.Info("placed", "request", r.req.ID, "fingerprint", r.req.Fingerprint.String(), "class", r.req.Class, "account", r.req.Account, "endpoint", grant.Endpoint.Name, "version", grant.Endpoint.SoftwareVersion,
		"coordinator", grant.Coordinator(), "fetchFrom", fetchFrom, "attempt", r.mayHaveRun+r.notRun, "waitMs", waited.Milliseconds(),
		"leftMs", (r.req.Deadline - r.f.BootClock.Now()).Milliseconds(), "promptTokens", r.req.PromptTokens,
		"backlogMs", grant.Choice.Backlog.Milliseconds(), "unreadMs", grant.Choice.PrefillTime.Milliseconds(), "decode", grant.Choice.Decode)
}

// recordContinued records that a stream of which the caller has received events is
// continued.
func (r *run) recordContinued(grant *placement.Grant) {
	if !r.continues() {
		return
	}
	r.f.Metrics.Inc("streams.continued")
	r.f.Logger.Info("stream continued", "request", r.req.ID, "resumes", r.req.Resumes, "class", r.req.Class, "lastEvent", r.lastEvent,
		"began", r.begunVersion, "endpoint", grant.Endpoint.Name, "version", grant.Endpoint.SoftwareVersion)
}

// recordAnswered records metrics and a log line for a response that was forwarded
// completely.
func (r *run) recordAnswered(c *call) {
	grant, e := c.grant, c.result
	r.completed = e.completed || e.unframed
	switch {
	case e.completed:
		r.f.recordCompletion(r.req)
	case e.unframed:
		go r.f.recheckUnframed(r.req, grant.Endpoint)
	}
	if r.completed {
		r.f.durations.Observe(r.req.Class, r.req.OutputTokens, r.f.Clock.Since(c.sentAt))
	}
	took := r.f.Clock.Since(r.began)
	r.f.Metrics.ObserveClass("answer.ms", string(r.req.Class), took.Milliseconds())
	pause, at := grant.LongestPause()
	if r.events > 0 {
		r.f.Metrics.ObserveClass("firstEvent.ms", string(r.req.Class), r.firstEvent.Milliseconds())
		r.f.Metrics.ObserveClass("pause.ms", string(r.req.Class), pause.Milliseconds())
		r.recordLate(grant, pause, at)
	}
	if r.req.Logged {
		r.f.Logger.Info("answered", "request", r.req.ID, "class", r.req.Class, "endpoint", grant.Endpoint.Name, "via", c.via,
			"attempts", r.mayHaveRun+r.notRun+1, "events", r.events, "firstEventMs", r.firstEvent.Milliseconds(),
			"longestPauseMs", pause.Milliseconds(), "longestPauseEvent", at, "tookMs", took.Milliseconds())
	}
}

// recordLate records whether a stream began late or had too long a gap. The log
// line includes the data by which the endpoint was chosen, and is written even if
// Logged is not set.
func (r *run) recordLate(grant *placement.Grant, pause time.Duration, at int) {
	beganLate := r.req.StartTarget > 0 && r.firstEvent > r.req.StartTarget
	pausedLong := r.req.GapTarget > 0 && pause > r.req.GapTarget
	if !beganLate && !pausedLong {
		return
	}
	if beganLate {
		r.f.Metrics.Inc("late.firstEvent")
	}
	if pausedLong {
		r.f.Metrics.Inc("late.pause")
	}
	r.f.Logger.Info("answered late", "request", r.req.ID, "class", r.req.Class, "endpoint", grant.Endpoint.Name,
		"coordinator", grant.Coordinator(), "attempts", r.mayHaveRun+r.notRun+1,
		"firstEventMs", r.firstEvent.Milliseconds(), "targetMs", r.req.StartTarget.Milliseconds(),
		"longestPauseMs", pause.Milliseconds(), "longestPauseEvent", at, "pauseAllowedMs", r.req.GapTarget.Milliseconds(),
		"waitMs", r.slotWait.Milliseconds(), "backlogMs", grant.Choice.Backlog.Milliseconds(),
		"unreadMs", grant.Choice.PrefillTime.Milliseconds(), "decode", grant.Choice.Decode, "promptTokens", r.req.PromptTokens)
}

// sharedParts returns the IDs of the parts of a prompt that other prompts may have, in
// the format of the callers.
func sharedParts(parts []placement.Part) string {
	ids := make([]string, 0, len(parts))
	for i := range len(parts) - 1 {
		ids = append(ids, strconv.FormatUint(parts[i].ID, 16))
	}
	return strings.Join(ids, ",")
}

// recordFailure records a failed attempt.
func (r *run) recordFailure(c *call) {
	grant, e := c.grant, c.result
	if !c.superseded || c.replaced {
		r.failed = append(r.failed, grant.Endpoint.Name)
	}
	r.terminatedEndpoint = r.terminatedEndpoint || e.terminated
	isUnanswered := !e.mayHaveRun && errors.Is(e.err, http1.ErrSilent)
	switch {
	case e.mayHaveRun:
		r.mayHaveRun++
	case isUnanswered:
		r.unanswered = append(r.unanswered, grant.Endpoint.Name)
	default:
		r.notRun++
	}
	r.f.Metrics.Inc("attempts." + string(e.reason))
	if e.terminated {
		r.f.recordTermination(r.req, grant.Endpoint.Name)
	}
	if isUnanswered && r.readmitted {
		return
	}
	r.f.Logger.Info("attempt failed", "request", r.req.ID, "class", r.req.Class, "endpoint", grant.Endpoint.Name, "version", grant.Endpoint.SoftwareVersion, "via", c.via,
		"fingerprint", r.req.Fingerprint.String(), "parts", sharedParts(r.req.Parts), "coordinator", grant.Coordinator(),
		"reason", e.reason, "mayHaveRun", e.mayHaveRun, "endpointEnded", e.terminated, "events", r.events,
		"sinceBeginMs", r.f.Clock.Since(r.began).Milliseconds(), "cause", e.err.Error())
}

// recordNoRetry records why a request is not sent to another endpoint.
func (r *run) recordNoRetry(why obstacle) {
	r.f.Logger.Info("no further attempt", "request", r.req.ID, "class", r.req.Class, "why", why,
		"attempts", r.mayHaveRun+r.notRun, "events", r.events, "sinceBeginMs", r.f.Clock.Since(r.began).Milliseconds())
}
