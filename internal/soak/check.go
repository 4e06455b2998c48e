package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// drainBound is how long after an engine's announcement requests may still
	// reach it.
	drainBound = 2 * time.Second
	// touchWindow is how long a daemon must have been without trouble for a
	// bound in time to hold for it.
	touchWindow = 3 * time.Second
	// minServed is the part of the requests that must be served in the calm
	// time at the end.
	minServed = 0.95
	// maxLostAtEnd is how many requests at the end may be lost on their way to an engine.
	maxLostAtEnd = 1
	// streamEvents is the length of the stand-in engines' streams.
	streamEvents = 20
)

// Check is one promise with what looks for its violations.
type Check struct {
	Promise string
	find    func(*Record) []string
}

// Checks holds all promises.
var Checks = []Check{
	{"at most once", atMostOnce},
	{"not run", notRun},
	{"whole answers", wholeAnswers},
	{"asked", asked},
	{"revoked keys", revokedKeys},
	{"drain", drained},
	{"retry budget", retryBudget},
	{"graceful stop", gracefulStop},
	{"recovery", recovered},
	{"ending requests", endingRequests},
	{"ending parts", endingPartRequests},
	{"beside an ending part", soundBesideEndingPart},
	{"engine limits", engineLimits},
	{"brittle engines", brittleEngines},
	{"leaving engines", leavingEngines},
	{"back-off", backoffs},
	{"lost path", withoutPath},
	{"stream versions", streamVersions},
	{"streams taken up", streamsTakenUp},
	{"urgent streams", preemptedForOthers},
	{"answers kept", answersKept},
	{"served again", servedAgain},
	{"slow readers", slowReaders},
	{"duties", func(rec *Record) []string { return rec.Duties.Broken }},
}

// Find returns all violations in a record.
func Find(rec *Record) []Violation {
	all := slices.Clone(rec.Noted)
	for _, c := range Checks {
		for _, what := range c.find(rec) {
			all = append(all, Violation{Promise: c.Promise, What: what})
		}
	}
	return all
}

// repeatable reports whether a route's requests may run more than once.
func repeatable(route string) bool { return route != "pay" && route != "draft" }

func (rec *Record) runsByID() map[string][]Run {
	byID := map[string][]Run{}
	for _, r := range rec.Runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	return byID
}

func atMostOnce(rec *Record) (found []string) {
	runs := rec.runsByID()
	for _, c := range rec.Calls {
		if n := len(runs[c.ID]); n > 1 && !repeatable(c.Route) {
			found = append(found, fmt.Sprintf("%s (%s) ran %d times", c.ID, c.Route, n))
		}
	}
	return found
}

func notRun(rec *Record) (found []string) {
	runs := rec.runsByID()
	for _, c := range rec.Calls {
		if len(runs[c.ID]) > 0 && !repeatable(c.Route) && standin.PromisesNotRun(c.Answer.Status) {
			found = append(found, fmt.Sprintf("%s (%s) got status %d and has run", c.ID, c.Route, c.Answer.Status))
		}
	}
	return found
}

// wholeBody is the whole answer to a call.
func wholeBody(c *Call) string {
	if !standin.IsStream(c.Route) {
		return standin.ResponseBody(c.ID)
	}
	var b strings.Builder
	for i := c.LastEvent; i < streamEvents; i++ {
		b.WriteString(standin.EventText(c.ID, i+1))
	}
	return b.String()
}

func wholeAnswers(rec *Record) (found []string) {
	for i := range rec.Calls {
		c := &rec.Calls[i]
		whole := wholeBody(c)
		body, _ := standin.SplitVersions(c.Answer.Body)
		switch {
		case c.Answer.Status != http.StatusOK:
		case !c.Answer.Signed:
			found = append(found, fmt.Sprintf("%s (%s) got a success that no engine signed", c.ID, c.Route))
		case c.Cause == "" && body != whole:
			found = append(found, fmt.Sprintf("%s (%s) got %q as a whole answer", c.ID, c.Route, body))
		case c.Cause != "" && !strings.HasPrefix(whole, body):
			found = append(found, fmt.Sprintf("%s (%s) got %q before its answer broke off", c.ID, c.Route, body))
		}
	}
	return found
}

// asked looks for runs that nobody asked for like that.
func asked(rec *Record) (found []string) {
	calls := rec.callsByID()
	for _, r := range rec.Runs {
		c := calls[r.ID]
		switch {
		case c == nil:
			found = append(found, fmt.Sprintf("%q ran, which nobody sent", r.ID))
		case r.Method != http.MethodPost || r.Target != c.Target() || r.Body != c.Content():
			found = append(found, fmt.Sprintf("%s ran as %s %s with body %q", r.ID, r.Method, r.Target, r.Body))
		case r.Key != "" || !c.isOf(r.Account):
			found = append(found, fmt.Sprintf("%s (%s) ran with key %q for account %q", r.ID, c.Route, r.Key, r.Account))
		}
	}
	return found
}

// isOf reports whether a run of the request may be charged to an account.
func (c *Call) isOf(account string) bool {
	switch {
	case c.Route == "open" || strings.HasPrefix(c.Route, "extra"):
		return account != "acme" && account != "other"
	case c.Key == standin.OtherSampleKey:
		return account == "other"
	}
	return account == "acme"
}

// revokedKeys looks for runs of requests that were sent too long after their
// key was taken away; that binds every daemon, whatever troubles it.
func revokedKeys(rec *Record) (found []string) {
	at := map[string]time.Time{}
	for _, r := range rec.Revoked {
		at[r.Key] = r.At
	}
	runs := rec.runsByID()
	for _, c := range rec.Calls {
		since, ok := at[c.Key]
		if ok && len(runs[c.ID]) > 0 && c.Route != "open" && c.Sent.Sub(since) > revokeAfter {
			found = append(found, fmt.Sprintf("%s ran with a key that was taken away %v before", c.ID, c.Sent.Sub(since)))
		}
	}
	return found
}

// troubled reports whether something that is not planned has struck a daemon or
// the store in a time, or shortly before.
func (rec *Record) troubled(daemon int, from, to time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		mine := f.ofStore() || f.ofDaemon() && f.Target == daemon
		return mine && !f.planned() && f.overlaps(from.Add(-touchWindow), to)
	})
}

func (f Struck) overlaps(from, to time.Time) bool { return f.From.Before(to) && f.To.After(from) }

// stopping reports whether a daemon was stopped or started in a time.
func (rec *Record) stopping(daemon int, from, to time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		return f.Kind == KindStop && f.Target == daemon && f.overlaps(from.Add(-touchWindow), to)
	})
}

// drained looks for runs at an engine after all daemons in touch must have
// heard that it leaves.
func drained(rec *Record) (found []string) {
	daemons := rec.daemonsByID()
	for _, d := range rec.Drains {
		for _, r := range rec.Runs {
			late := r.Began.After(d.From.Add(drainBound)) && r.Began.Before(d.To)
			if r.Engine != d.Engine || !late || rec.troubled(daemons[r.ID], d.From, r.Began) || rec.stopping(daemons[r.ID], d.From, r.Began) {
				continue
			}
			found = append(found, fmt.Sprintf("%s reached engine %d %v after it announced to leave", r.ID, d.Engine, r.Began.Sub(d.From)))
		}
	}
	return found
}

// retryBudget looks for a window in which a pool got more runs beyond the
// first of each request than the daemons may send together.
func retryBudget(rec *Record) (found []string) {
	type sum struct{ requests, extra int }
	for from := rec.Began; from.Before(rec.Ended); from = from.Add(retryWindow / 4) {
		pools := map[bool]*sum{true: {}, false: {}}
		for _, c := range rec.Calls {
			if c.Sent.After(from.Add(-retryWindow)) && c.Sent.Before(from.Add(retryWindow)) {
				pools[standin.IsStream(c.Route)].requests++
			}
		}
		for _, runs := range rec.runsByID() {
			for _, r := range runs[1:] {
				if !r.Began.Before(from) && r.Began.Before(from.Add(retryWindow)) {
					pools[r.Engine%2 == 0].extra++
				}
			}
		}
		for streams, s := range pools {
			if most := retryShare*float64(s.requests) + retrySlack; float64(s.extra) > most {
				found = append(found, fmt.Sprintf("%d repeats in a window (streams %v), %.0f allowed", s.extra, streams, most))
			}
		}
	}
	return found
}

// gracefulStop looks for stops that did not end by themselves, and for requests
// that a stop cut off with nothing else in the way.
func gracefulStop(rec *Record) (found []string) {
	for _, s := range rec.Stops {
		if !s.Clean && !s.Young {
			found = append(found, fmt.Sprintf("host-%d ended with a failure after SIGTERM", s.Daemon))
		}
		for _, c := range rec.Calls {
			during := c.Daemon == s.Daemon && c.Sent.Before(s.At) && c.Ended.After(s.At)
			broken := c.Cause != "" && !c.Left && c.Ended.Sub(c.Sent) < c.Deadline
			if !during || !broken || rec.anyTrouble(c.Sent, c.Ended) {
				continue
			}
			found = append(found, fmt.Sprintf("%s (%s) at host-%d was cut off %v after SIGTERM: %s", c.ID, c.Route, s.Daemon, c.Ended.Sub(s.At), c.Cause))
		}
	}
	return found
}

// anyTrouble reports whether anything unplanned has struck anything in a time. A
// coordinator that is gone delays requests at all other daemons.
func (rec *Record) anyTrouble(from, to time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		return !f.planned() && f.overlaps(from.Add(-touchWindow), to)
	})
}

// recovered looks at the calm time at the end: everything is served, and every
// daemon obeys the newest document.
func recovered(rec *Record) (found []string) {
	asked, served := 0, 0
	revoked := map[string]bool{}
	for _, r := range rec.Revoked {
		revoked[r.Key] = true
	}
	for _, c := range rec.Calls {
		if c.Sent.Before(rec.Calm) || c.Sent.After(rec.Ended) || revoked[c.Key] {
			continue
		}
		asked++
		if c.served() {
			served++
		}
	}
	if asked == 0 || float64(served) < minServed*float64(asked) {
		found = append(found, fmt.Sprintf("%d of %d requests were served in the calm time", served, asked))
	}
	if len(rec.Final) != rec.Daemons {
		found = append(found, fmt.Sprintf("%d of %d daemons answered at the end", len(rec.Final), rec.Daemons))
	}
	for _, f := range rec.Final {
		if f.Newest != 0 && f.Newest != http.StatusOK {
			found = append(found, fmt.Sprintf("host-%d answers %d on the newest route", f.Daemon, f.Newest))
		}
		if f.Revoked != 0 && f.Revoked != http.StatusUnauthorized {
			found = append(found, fmt.Sprintf("host-%d answers %d to a key that was taken away", f.Daemon, f.Revoked))
		}
		if slices.ContainsFunc(f.Usual, func(status int) bool { return status != http.StatusOK }) {
			found = append(found, fmt.Sprintf("host-%d answers %v at the end", f.Daemon, f.Usual))
		}
	}
	return append(found, rec.lostAtEnd()...)
}

// lostAtEnd looks for requests at the end whose outcome was unknown, except one that no
// engine has received: an engine may close an idle connection while a request is written
// to it, and that request may not be sent again.
func (rec *Record) lostAtEnd() (found []string) {
	lost := 0
	for _, f := range rec.Final {
		for _, id := range f.Lost {
			lost++
			received := slices.ContainsFunc(rec.Arrivals, func(a Arrival) bool { return a.ID == id })
			if received || lost > maxLostAtEnd {
				found = append(found, fmt.Sprintf("host-%d lost %s at the end", f.Daemon, id))
			}
		}
	}
	return found
}
