package dispatch

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/activity"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// silenceLimits are the times after which endpoints that send nothing count as
// silent. Only total ends an attempt; after the others another endpoint is asked.
type silenceLimits struct {
	// hedge is the time after which a second endpoint is asked before the
	// response has begun; zero if never.
	hedge time.Duration
	// first is the deadline from sending to the first event, between that
	// between two events.
	first, between time.Duration
	// total is how long the last endpoint that was asked is waited for; zero if
	// another deadline ends the attempts.
	total time.Duration
}

func chatLimits(c *table.Class) silenceLimits {
	l := silenceLimits{first: firstTokenDeadline(c.Target), between: betweenTokensDeadline(c.Target)}
	l.total = max(callDeadline(c.Target), l.first, l.between)
	if c.Idempotent {
		l.hedge = hedgeFactor * c.Target.FirstToken.Std()
	}
	return l
}

// graceDivisor sets the part of a deadline that must be left after the process
// has found the rest of it over.
const graceDivisor = 10

// silenceTimer measures a deadline in two steps. If the process itself stood
// still, the timer fires late, while what it waits for may lie in the sockets.
// The second step leaves time to read that, and does not count if it is late.
type silenceTimer struct {
	clock clockwork.Clock
	timer clockwork.Timer
	// firesAt is when the timer fires; zero if it is not set. It may be before
	// due, since events that follow each other closely do not set it anew.
	firesAt time.Time
	// due is when the current step ends; zero if nothing is measured.
	due   time.Time
	grace time.Duration
	// inGrace is set during the second step.
	inGrace bool
}

func newSilenceTimer(clock clockwork.Clock) silenceTimer {
	t := silenceTimer{clock: clock, timer: clock.NewTimer(time.Hour)}
	t.timer.Stop()
	return t
}

// start measures a deadline from now on, instead of what was measured before.
func (t *silenceTimer) start(now time.Time, d time.Duration) {
	t.grace = d / graceDivisor
	t.inGrace = false
	t.wait(now, d-t.grace)
}

func (t *silenceTimer) wait(now time.Time, d time.Duration) {
	t.due = now.Add(d)
	if t.firesAt.IsZero() || t.firesAt.After(t.due) {
		t.firesAt = t.due
		t.timer.Reset(d)
	}
}

// stop ends the measurement.
func (t *silenceTimer) stop() { t.due = time.Time{} }

// expired reports whether the deadline has passed. It must be called when the
// timer fires.
func (t *silenceTimer) expired() bool {
	t.firesAt = time.Time{}
	now := t.clock.Now()
	late := now.Sub(t.due)
	switch {
	case t.due.IsZero():
		return false
	case late < 0:
		t.wait(now, -late)
		return false
	case t.inGrace && late < t.grace:
		return true
	}
	t.inGrace = true
	t.wait(now, t.grace)
	return false
}

// silence is the state of a run whose open attempts are silent.
type silence struct {
	timer silenceTimer
	// since is the time of the last event, or of the first sending.
	since time.Time
	// lastSign is the time of the last event or sending.
	lastSign time.Time
	// overdue is set once the silence has lasted for its deadline.
	overdue bool
	// alone is why no other attempt was made the last time; it is empty if one
	// was made.
	alone string
}

// Reasons why no other attempt is made, in addition to those of refusals.
const (
	aloneNotIdempotent = "notIdempotent"
	aloneNotResumable  = "notResumable"
	aloneAttempts      = "attempts"
	aloneNoSlot        = "noSlot"
	aloneShared        = "sharedSilence"
)

// reasonAlone returns why no other attempt can be made, or nothing if one can.
// It then has taken a retry from the budget. A silence that most endpoints share is
// waited out until it is long.
func (r *run) reasonAlone(long bool) string {
	switch {
	case !r.class.Idempotent:
		return aloneNotIdempotent
	case !r.content.resumable():
		return aloneNotResumable
	case r.attempts >= maxAttempts+r.preempted:
		return aloneAttempts
	case r.waitsForSlot():
		return aloneNoSlot
	case r.d.suspects.IsQuarantined(r.fingerprint):
		return string(outcome.ReasonQuarantined)
	case !long && r.d.activities.IsShared(r.request.Pool, r.d.clock.Now()):
		return aloneShared
	case !r.budget.Take():
		r.d.metrics.Inc("retryBudget.exhausted")
		return string(outcome.ReasonRetryBudget)
	}
	return ""
}

// waitsForSlot reports whether an open attempt waits for a slot.
func (r *run) waitsForSlot() bool {
	for _, a := range r.open {
		if !a.sent {
			return true
		}
	}
	return false
}

// markLate counts the silent attempts as late if the deadline is almost over.
func (r *run) markLate() {
	if !r.silence.timer.inGrace {
		return
	}
	for _, a := range r.open {
		if a.sent && !a.late && r.d.clock.Since(a.lastSign) >= activity.Recently {
			a.late = true
			a.activity.AddLate(1)
		}
	}
}

// recordSign records that the endpoint has sent something; wentOn reports whether it
// was silent before.
func (a *attempt) recordSign(now time.Time, wentOn bool) {
	a.activity.Record(now, wentOn)
	a.endLate()
}

func (a *attempt) endLate() {
	if a.late {
		a.late = false
		a.activity.AddLate(-1)
	}
}

// setAlone records why no other attempt was made.
func (r *run) setAlone(reason string) {
	r.silence.alone = reason
	if r.silence.overdue && reason != "" {
		r.d.metrics.Inc("silence.alone." + reason)
	}
}

// How silence beyond the deadline ended.
const (
	wentOnSame  = "same"
	wentOnOther = "other"
	wentOnNone  = "none"
)

// endSilence counts and logs a silence that has lasted beyond its deadline. The
// winner is the attempt that ended it, or nil.
func (r *run) endSilence(winner *attempt) {
	if !r.silence.overdue {
		return
	}
	r.silence.overdue = false
	wentOn := wentOnNone
	var endpoint table.EndpointName
	if winner != nil {
		endpoint = winner.grant.Endpoint.Name
		wentOn = wentOnSame
		if winner.occasion != inSequence && !winner.hasData {
			wentOn = wentOnOther
		}
	}
	lasted := r.d.clock.Since(r.silence.since)
	r.d.metrics.Inc("silence.wentOn." + wentOn)
	r.d.metrics.Observe("silence.ms", lasted.Milliseconds())
	r.d.Logger.Info("answer waited for", "request", r.id, "class", r.class.Name, "wentOn", wentOn, "endpoint", endpoint,
		"silentMs", lasted.Milliseconds(), "attempts", len(r.open), "alone", r.silence.alone)
}
