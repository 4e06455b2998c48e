package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxRefused bounds the sends of one request that end before it runs:
	// endpoints that can't be reached, or that refuse it.
	maxRefused = 4
	// placeRetry is the pause before a place is asked for again when the
	// coordinator named an endpoint that this daemon does not know yet.
	placeRetry = 40 * time.Millisecond
	// maxUnknown bounds that.
	maxUnknown = 4
	// defaultRetry is what callers are told to wait where nothing is known.
	defaultRetry = 500 * time.Millisecond
)

// run is the progress of one request over its attempts.
type run struct {
	f      *Forwarder
	r      *Request
	sink   Sink
	budget Budget

	began time.Time
	// ran counts the endpoints that may have run the request, refused those
	// that certainly have not.
	ran, refused int
	// unknown counts the places on endpoints that are not known here.
	unknown int
	failed  []table.EndpointName
	// begun says that the head of an answer was passed on.
	begun bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	events    int
	// first is the time to the first event, waited that to the last place.
	first, waited time.Duration
	// answer is an endpoint's own failure, to be passed on if nothing better
	// comes.
	answer *answer
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// end is how an attempt ended.
type end struct {
	// err is nil if the answer was passed on whole.
	err    error
	reason outcome.Reason
	// ran says that the endpoint may have run the request.
	ran bool
	// ended says that the endpoint itself ended, and not only the connection.
	ended bool
	// success says that the endpoint has completed the request.
	success bool
	// report tells the coordinator.
	report peerv1.ReleaseOutcome
}

func (r *run) do(ctx context.Context) error {
	if refusal := r.quarantined(); refusal != nil {
		return refusal
	}
	for {
		grant, err := r.reserve(ctx)
		if err != nil {
			return r.noPlace(ctx, err)
		}
		began := r.f.Clock.Now()
		e := r.attempt(ctx, grant)
		grant.Release(placement.Report{Outcome: e.report, Duration: r.f.Clock.Since(began), Tokens: r.events})
		if e.err == nil {
			r.answered(grant, e)
			return nil
		}
		r.count(grant, e)
		if !r.mayGoOn(ctx, e) {
			return r.final(ctx, e)
		}
	}
}

// placed notes that the request got a place.
func (r *run) placed(grant *placement.Grant) {
	waited := r.f.Clock.Since(r.began)
	r.waited = waited
	r.f.Metrics.ObserveClass("wait.ms", string(r.r.Class), waited.Milliseconds())
	if !r.r.Logged {
		return
	}
	fetchFrom := table.EndpointName("")
	if grant.FetchFrom != nil {
		fetchFrom = grant.FetchFrom.Name
	}
	r.f.Logger.Info("placed", "request", r.r.ID, "fingerprint", r.r.Fingerprint.String(), "class", r.r.Class, "account", r.r.Account, "endpoint", grant.Endpoint.Name,
		"coordinator", grant.Coordinator(), "fetchFrom", fetchFrom, "attempt", r.ran+r.refused, "waitMs", waited.Milliseconds(),
		"leftMs", (r.r.End - r.f.Boot.Now()).Milliseconds(), "promptTokens", r.r.PromptTokens,
		"backlogMs", grant.Choice.Backlog.Milliseconds(), "unreadMs", grant.Choice.Unread.Milliseconds(), "decode", grant.Choice.Decode)
}

// answered notes that the answer was passed on whole.
func (r *run) answered(grant *placement.Grant, e end) {
	if e.success {
		r.f.Suspects.Completed(r.r.Fingerprint)
	}
	took := r.f.Clock.Since(r.began)
	r.f.Metrics.ObserveClass("answer.ms", string(r.r.Class), took.Milliseconds())
	pause, at := grant.LongestPause()
	if r.events > 0 {
		r.f.Metrics.ObserveClass("firstEvent.ms", string(r.r.Class), r.first.Milliseconds())
		r.f.Metrics.ObserveClass("pause.ms", string(r.r.Class), pause.Milliseconds())
		r.late(grant, pause, at)
	}
	if r.r.Logged {
		r.f.Logger.Info("answered", "request", r.r.ID, "class", r.r.Class, "endpoint", grant.Endpoint.Name,
			"attempts", r.ran+r.refused+1, "events", r.events, "firstEventMs", r.first.Milliseconds(),
			"longestPauseMs", pause.Milliseconds(), "longestPauseEvent", at, "tookMs", took.Milliseconds())
	}
}

// late notes that a stream began late or paused for too long, with what its
// place was chosen by, whether or not the request's other lines are logged.
func (r *run) late(grant *placement.Grant, pause time.Duration, at int) {
	beganLate := r.r.Objective > 0 && r.first > r.r.Objective
	pausedLong := r.r.Pause > 0 && pause > r.r.Pause
	if !beganLate && !pausedLong {
		return
	}
	if beganLate {
		r.f.Metrics.Inc("late.firstEvent")
	}
	if pausedLong {
		r.f.Metrics.Inc("late.pause")
	}
	r.f.Logger.Info("answered late", "request", r.r.ID, "class", r.r.Class, "endpoint", grant.Endpoint.Name,
		"coordinator", grant.Coordinator(), "attempts", r.ran+r.refused+1,
		"firstEventMs", r.first.Milliseconds(), "targetMs", r.r.Objective.Milliseconds(),
		"longestPauseMs", pause.Milliseconds(), "longestPauseEvent", at, "pauseAllowedMs", r.r.Pause.Milliseconds(),
		"waitMs", r.waited.Milliseconds(), "backlogMs", grant.Choice.Backlog.Milliseconds(),
		"unreadMs", grant.Choice.Unread.Milliseconds(), "decode", grant.Choice.Decode, "promptTokens", r.r.PromptTokens)
}

// count books a failed attempt.
func (r *run) count(grant *placement.Grant, e end) {
	r.failed = append(r.failed, grant.Endpoint.Name)
	if e.ran {
		r.ran++
	} else {
		r.refused++
	}
	r.f.Metrics.Inc("attempts." + string(e.reason))
	if e.ended {
		r.f.Metrics.Inc("attempts.endpointEnded")
		r.f.Suspects.Ended(r.r.Fingerprint, grant.Endpoint.Name)
	}
	r.f.Logger.Info("attempt failed", "request", r.r.ID, "class", r.r.Class, "endpoint", grant.Endpoint.Name,
		"fingerprint", r.r.Fingerprint.String(), "coordinator", grant.Coordinator(),
		"reason", e.reason, "mayHaveRun", e.ran, "endpointEnded", e.ended, "events", r.events,
		"sinceBeginMs", r.f.Clock.Since(r.began).Milliseconds(), "cause", e.err.Error())
}

// reserve asks for a place on an endpoint that this daemon knows to take work.
func (r *run) reserve(ctx context.Context) (*placement.Grant, error) {
	for {
		grant, err := r.f.Reserve(ctx, placement.Request{
			Pool:            r.r.Pool,
			Class:           r.r.Class,
			Account:         r.r.Account,
			PromptTokens:    r.r.PromptTokens,
			EstimatedTokens: r.r.OutputTokens,
			Parts:           r.r.Parts,
			Waited:          r.f.Boot.Now() - r.r.Began,
			Useful:          r.useful(),
			Excluded:        r.failed,
			Attempt:         r.ran + r.refused,
		})
		if err != nil {
			if !r.awaitEndpoint(ctx, err) {
				return nil, err
			}
			continue
		}
		if refusal := r.maySend(); refusal != nil {
			grant.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
			return nil, refusal
		}
		if r.f.Usable(&grant.Endpoint) {
			r.placed(grant)
			return grant, nil
		}
		grant.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE})
		r.failed = append(r.failed, grant.Endpoint.Name)
		r.f.Metrics.Inc("places.unusable")
	}
}

// useful is for how long after the request came an answer that begins is of use;
// zero once an endpoint may have run it, since it can't be refused then.
func (r *run) useful() time.Duration {
	if r.ran > 0 || r.begun {
		return 0
	}
	until := r.r.End - r.r.Began
	if r.r.Leaves > 0 {
		until = min(until, r.r.Leaves)
	}
	return until
}

// awaitEndpoint pauses before a place is asked for again, if the refusal may
// come from knowledge that differs between daemons for a moment.
func (r *run) awaitEndpoint(ctx context.Context, err error) bool {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	if !ok || r.unknown >= maxUnknown {
		return false
	}
	if refusal.Reason != outcome.ReasonNoEndpoint && refusal.Reason != outcome.ReasonUnknownClass {
		return false
	}
	r.unknown++
	select {
	case <-ctx.Done():
		return false
	case <-r.f.Clock.After(placeRetry):
		return true
	}
}

// mayGoOn decides whether another endpoint may be asked after a failure.
func (r *run) mayGoOn(ctx context.Context, e end) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case e.ran && !r.r.repeatable():
		return false
	case errors.As(e.err, new(*outcome.Refusal)):
		return false
	case r.ran >= r.r.Attempts || r.refused >= maxRefused:
		return false
	case r.f.Suspects.Kept(r.r.Fingerprint):
		return false
	case e.reason == outcome.ReasonConnect:
		// Nothing arrived anywhere, so that nothing is repeated.
	case !r.budget.Take():
		r.f.Metrics.Inc("retryBudget.exhausted")
		return false
	}
	r.f.Metrics.Retried(e.reason)
	return true
}

// final ends a request that no endpoint has answered.
func (r *run) final(ctx context.Context, e end) error {
	switch {
	case r.begun:
		return errors.Wrap(ErrBroken, e.err.Error())
	case r.answer != nil && ctx.Err() == nil:
		return r.passAnswer(r.answer)
	}
	if refusal, ok := errors.Into[*outcome.Refusal](e.err); ok && r.ran == 0 {
		return refusal
	}
	return r.refusal(ctx, e.reason, e.err.Error())
}

// noPlace ends a request that got no place.
func (r *run) noPlace(ctx context.Context, err error) error {
	refusal, ok := errors.Into[*outcome.Refusal](err)
	switch {
	case r.begun:
		return errors.Wrap(ErrBroken, err.Error())
	case r.answer != nil && ctx.Err() == nil:
		return r.passAnswer(r.answer)
	case !ok:
		return r.refusal(ctx, outcome.ReasonOverloaded, err.Error())
	case r.ran > 0:
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

func (r *run) refusal(ctx context.Context, reason outcome.Reason, message string) *outcome.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = outcome.ReasonDeadline
	case ctx.Err() != nil:
		reason = outcome.ReasonCallerGone
	}
	if r.ran > 0 {
		return outcome.UnknownError(reason, message)
	}
	refusal := outcome.NotRunError(reason, message)
	refusal.RetryAfter = defaultRetry
	return refusal
}

// passAnswer passes on an endpoint's own failure unchanged. A status that
// promises that the request was not run is not the endpoint's to give unless
// it says so; the caller would repeat what may have run.
func (r *run) passAnswer(a *answer) error {
	if r.f.Wire.Promises(a.status) {
		return outcome.UnknownError(outcome.ReasonEndpointFailed, "the endpoint failed the request")
	}
	r.sink.Head(a.status, a.header, int64(len(a.body)))
	if err := r.sink.Body(a.body); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return nil
}

// attempt sends the request to one endpoint and passes the answer on.
func (r *run) attempt(ctx context.Context, grant *placement.Grant) end {
	left := r.r.End - r.f.Boot.Now()
	endpoint := &grant.Endpoint
	send := Send{Request: r.r, Endpoint: endpoint, Left: left, LastEvent: r.lastEvent}
	if grant.FetchFrom != nil {
		send.FetchFrom = address(grant.FetchFrom)
	}
	x, err := r.f.Pool.Send(ctx, address(endpoint), &http1.Request{
		Method: r.r.Method,
		Target: r.r.Target,
		Host:   r.r.Host,
		Header: r.f.Wire.Header(send),
		Body:   r.r.Body,
		Check:  func() error { return r.mayWrite(endpoint) },
		Mine:   func(h http.Header) bool { return r.f.Wire.Mine(r.r, h) },
	})
	if refusal, ok := errors.Into[*outcome.Refusal](err); ok {
		return end{err: refusal, reason: refusal.Reason, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	}
	if errors.Is(err, errLeft) {
		r.f.Metrics.Inc("places.unusable")
		return end{err: err, reason: outcome.ReasonConnect, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
	}
	if err != nil {
		return end{err: err, reason: outcome.ReasonConnect, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED}
	}
	stop := context.AfterFunc(ctx, x.Abort)
	defer stop()
	e := r.exchange(ctx, x, grant)
	if e.err != nil {
		x.Abort()
		if ctx.Err() != nil && e.ran {
			e.report = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE
		} else if e.reason == outcome.ReasonSilent || e.reason == outcome.ReasonConnectionLost {
			r.f.Pool.Drop(address(endpoint))
		}
		e.ended = r.endpointEnded(ctx, e, endpoint)
	}
	return e
}

// maySend is asked when there is a place and right before each send.
func (r *run) maySend() *outcome.Refusal {
	if refusal := r.r.MaySend(); refusal != nil {
		return refusal
	}
	return r.quarantined()
}

// errLeft says that the endpoint took no more work when the request was to be
// written.
var errLeft = errors.New("the endpoint has left")

// mayWrite is asked when a connection to the endpoint is there. Opening one may
// take a second, in which the endpoint may leave or the caller's key may end.
func (r *run) mayWrite(e *table.Endpoint) error {
	if refusal := r.maySend(); refusal != nil {
		return refusal
	}
	if !r.f.Usable(e) {
		return errLeft
	}
	return nil
}

// address returns where an endpoint listens.
func address(e *table.Endpoint) string {
	_, address, _ := strings.Cut(e.URL, "://")
	return address
}
