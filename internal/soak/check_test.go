package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// goodRecord is a run in which a stop, an edit and a drain harmed nobody.
func goodRecord() *Record {
	rec := &Record{Began: at(0), Calm: at(30), Ended: at(32), Daemons: 1}
	add := func(id, route string, sent float64, engine int) {
		c := Call{Call: standin.Call{ID: id, Route: route, Key: standin.SampleKey, Deadline: callDeadline}, Sent: at(sent), Ended: at(sent + 1)}
		c.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true}
		c.Answer.Body = wholeBody(&c)
		rec.Calls = append(rec.Calls, c)
		r := Run{Engine: engine}
		r.ID, r.Method, r.Target, r.Body, r.Account, r.Began = id, http.MethodPost, "/"+route+"/x", id, "acme", at(sent+0.01)
		rec.Runs = append(rec.Runs, r)
	}
	add("pay", "pay", 10, 1)
	add("draft", "draft", 12, 0)
	add("look", "look", 14, 1)
	add("calm", "chat", 31, 0)
	rec.Stops = []Stop{{Daemon: 0, At: at(10.5), Ended: at(13), Clean: true}}
	rec.Faults = []Struck{{Fault: Fault{Kind: KindStop}, From: at(10.5), To: at(13)}}
	rec.Drains = []Drain{{Engine: 0, From: at(20), To: at(25)}}
	rec.Revoked = []Revoke{{Key: "old", At: at(5)}}
	rec.Final = []Final{{Newest: http.StatusOK, Revoked: http.StatusUnauthorized, Usual: []int{http.StatusOK}}}
	return rec
}

// addEnds adds a request under which an engine ends each second.
func addEnds(rec *Record, n int) {
	for i := range n {
		id, sent := fmt.Sprint("ends-", i), 14+2*float64(i)
		if i < enoughEnds {
			sent = 5 + float64(i)
		}
		c := Call{Call: standin.Call{ID: id, Route: "look", Body: endingBody + "1"}, Sent: at(sent), Ended: at(sent)}
		c.Answer.Status = http.StatusBadGateway
		rec.Calls = append(rec.Calls, c)
		r := Run{Engine: 1}
		r.ID, r.Method, r.Target, r.Body, r.Account, r.Began = id, http.MethodPost, c.Target(), c.Content(), "acme", at(sent)
		rec.Runs = append(rec.Runs, r)
	}
}

// addSlowReaders adds slow callers and requests beside them, of which some are not served.
func addSlowReaders(rec *Record, refused int) {
	rec.Faults = append(rec.Faults, Struck{Fault: Fault{Kind: KindSlowReaders}, From: at(14), To: at(29)})
	for i := range minBeside {
		c := Call{Call: standin.Call{ID: fmt.Sprint("beside-", i), Route: "look", Deadline: callDeadline}, Sent: at(16.5), Ended: at(17)}
		c.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true, Body: standin.ResponseBody(c.ID)}
		if i < refused {
			c.Answer = standin.CallResponse{Status: http.StatusServiceUnavailable}
		}
		rec.Calls = append(rec.Calls, c)
	}
}

// addLimited adds requests to an engine with a limit within two seconds.
func addLimited(rec *Record, n int) {
	rec.Faults = append(rec.Faults, Struck{Fault: Fault{Kind: KindEngineLimit, Target: 1}, From: at(15), To: at(25)})
	for i := range n {
		id, sent := fmt.Sprint("limited-", i), 19+2*float64(i)/float64(n)
		c := Call{Call: standin.Call{ID: id, Route: "look"}, Sent: at(sent), Ended: at(sent)}
		c.Answer.Status = http.StatusBadGateway
		rec.Calls = append(rec.Calls, c)
		r := Run{Engine: 1}
		r.ID, r.Method, r.Target, r.Body, r.Account, r.Began = id, http.MethodPost, c.Target(), c.Content(), "acme", at(sent)
		rec.Runs = append(rec.Runs, r)
	}
}

// addPartEnds adds requests with a part, each of which ends a process of an engine, the
// first five by the fifth second.
func addPartEnds(rec *Record, n int) {
	for i := range n {
		sent := 14 + float64(i)
		if i < enoughPartEnds {
			sent = 1 + float64(i)/2
		}
		addPartRun(rec, sent, fmt.Sprint("engine-1-start", i))
	}
}

// addPartRun adds a request with a part that ends the process of an engine that runs it.
func addPartRun(rec *Record, sent float64, instance string) {
	if len(rec.partRuns()) == 0 {
		rec.Faults = append(rec.Faults, Struck{Fault: Fault{Kind: KindEndingPart}, From: at(1), To: at(27)})
	}
	id := fmt.Sprint("part-", len(rec.Runs))
	c := Call{Call: standin.Call{ID: id, Route: "draft", Body: partBody + id}, Sent: at(sent), Ended: at(sent)}
	c.Answer.Status = http.StatusBadGateway
	rec.Calls = append(rec.Calls, c)
	r := Run{Engine: 1}
	r.ID, r.Method, r.Target, r.Body, r.Account, r.Began = id, http.MethodPost, c.Target(), c.Content(), "acme", at(sent)
	r.Instance = instance
	rec.Runs = append(rec.Runs, r)
}

// addSharedEnds adds requests with a part under which engines end: four begin together on
// one process, three on the next, and the others on a process each, one a second.
func addSharedEnds(rec *Record, others int) {
	for i := range 4 {
		addPartRun(rec, 1+float64(i)/1000, "engine-1-first")
	}
	for i := range 3 {
		addPartRun(rec, 3+float64(i)/1000, "engine-1-second")
	}
	for i := range others {
		addPartRun(rec, 14+float64(i), fmt.Sprint("engine-1-start", i))
	}
}

// addSound adds 30 sound streams beside them, of which some do not begin, and 30 at the
// end of the run, which all do.
func addSound(rec *Record, beside float64, refused int) {
	for i := range 60 {
		id, sent := fmt.Sprint("sound-", i), beside+float64(i)/10
		if i >= 30 {
			sent = 31 + float64(i)/100
		}
		c := Call{Call: standin.Call{ID: id, Route: "draft"}, Sent: at(sent), Ended: at(sent)}
		c.Answer = standin.CallResponse{Status: http.StatusServiceUnavailable}
		if i >= refused {
			c.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true}
			c.Answer.Body = wholeBody(&c)
		}
		rec.Calls = append(rec.Calls, c)
	}
}

// addTakenUp adds 20 streams of v1 that their callers leave and take up again, of which
// some go on, at a version.
func addTakenUp(rec *Record, version string, wentOn int) {
	rec.Starts = []EngineStart{{Engine: 0, Version: "v1", From: at(0)}, {Engine: 2, Version: "v1", From: at(0)}}
	event := func(id string, i int, version string) string {
		return ": version " + version + "\n" + standin.EventText(id, i)
	}
	for i := range 20 {
		id, sent := fmt.Sprint("left-", i), 18+float64(i)/10
		first := Call{Call: standin.Call{ID: id, Route: "chat"}, Left: true, Cause: "left", Sent: at(sent), Ended: at(sent)}
		first.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true, Body: event(id, 1, "v1")}
		next := Call{Call: standin.Call{ID: id + "-1", Body: id, Route: "chat", Resumes: id, LastEvent: 1}, Sent: at(sent), Ended: at(sent)}
		next.Answer = standin.CallResponse{Status: http.StatusServiceUnavailable}
		if i < wentOn {
			next.Cause = "broken"
			next.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true, Body: event(next.ID, 2, version)}
		}
		rec.Calls = append(rec.Calls, first, next)
	}
}

// addStart makes the limited requests reach a start of the engine that got its first
// request at a time.
func addStart(rec *Record, first float64) {
	for i, r := range rec.Runs {
		if strings.HasPrefix(r.ID, "limited-") {
			a := Arrival{Engine: r.Engine}
			a.ID, a.Instance, a.At = r.ID, "engine-1-start2", r.Began
			if i == len(rec.Runs)-1 {
				a.At = at(first)
			}
			rec.Arrivals = append(rec.Arrivals, a)
		}
	}
}

// addArrivals adds requests that reach an engine of the other pool from host-0, one each
// 100 ms.
func addArrivals(rec *Record, n int, from float64, change func(i int, a *Arrival)) {
	for i := range n {
		id, sent := fmt.Sprint("arrival-", i), from+float64(i)/10
		c := Call{Call: standin.Call{ID: id, Route: "look"}, Sent: at(sent), Ended: at(sent)}
		c.Answer.Status = http.StatusBadGateway
		a := Arrival{Engine: 1}
		a.ID, a.Instance, a.At = id, "engine-1", at(sent)
		change(i, &a)
		rec.Calls, rec.Arrivals = append(rec.Calls, c), append(rec.Arrivals, a)
	}
}

// addFalls has brittle engines terminate.
func addFalls(rec *Record, n int) {
	rec.Faults = append(rec.Faults, Struck{Fault: Fault{Kind: KindEngineBrittle, Target: 1}, From: at(15), To: at(25)})
	addArrivals(rec, n, 20, func(_ int, a *Arrival) { a.TurnedAway, a.Full, a.Fell = true, true, true })
}

// addLeaving has an engine say that it leaves, and a request reach it some time after.
func addLeaving(rec *Record, after float64) {
	told := Arrival{Engine: 1}
	told.ID, told.Instance, told.At, told.Leaving = "look", "engine-1", at(14), true
	rec.Arrivals = append(rec.Arrivals, told)
	addArrivals(rec, 1, 15+after, func(int, *Arrival) {})
}

// addBackoff has an engine ask for back-off, and requests reach it within that time.
func addBackoff(rec *Record, n int) {
	addArrivals(rec, 1+n, 20, func(i int, a *Arrival) {
		if i == 0 {
			a.TurnedAway, a.BackoffSeconds = true, 2
			return
		}
		a.At = at(20.5 + float64(i)/10)
	})
}

// addPathLoss has host-0 lose its path, while host-1 serves all; of its 30 requests some
// are served.
func addPathLoss(rec *Record, served int) {
	rec.Daemons = 2
	rec.Final = append(rec.Final, rec.Final[0])
	rec.Faults = append(rec.Faults, Struck{Fault: Fault{Kind: KindPathLost, Spread: SpreadAlone}, From: at(15), To: at(25)})
	for i := range 30 {
		for daemon := range 2 {
			sent := at(20 + float64(i)/10)
			c := Call{Call: standin.Call{ID: fmt.Sprint("path-", daemon, "-", i), Route: "look"}, Daemon: daemon, Sent: sent, Ended: sent}
			c.Answer.Status = http.StatusBadGateway
			if daemon == 1 || i < served {
				c.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true}
				c.Answer.Body = wholeBody(&c)
			}
			rec.Calls = append(rec.Calls, c)
		}
	}
}

// breakOff has the stream that can't go on broken off after two seconds, beside a pause of
// its engine and an edit.
func breakOff(rec *Record) {
	c := &rec.Calls[1]
	c.Cause, c.Answer.Body, c.Ended = "unexpected EOF", standin.EventText("draft", 1), c.Sent.Add(2*time.Second)
	rec.Faults = append(rec.Faults,
		Struck{Fault: Fault{Kind: KindEnginePause, Spread: SpreadPool}, From: at(12.2), To: at(13.8)},
		Struck{Fault: Fault{Kind: KindTimes}, From: at(12.1), To: at(12.11)})
}

// addPoolPause has all engines of the other pool pause, and adds 30 requests from some
// time after on, of which some are served.
func addPoolPause(rec *Record, after float64, served int) {
	rec.Faults = append(rec.Faults, Struck{Fault: Fault{Kind: KindEnginePause, Target: 1, Spread: SpreadPool}, From: at(16), To: at(18)})
	for i := range 30 {
		c := Call{Call: standin.Call{ID: fmt.Sprint("again-", i), Route: "look", Deadline: callDeadline}, Sent: at(18 + after + float64(i)/20)}
		c.Ended = c.Sent
		c.Answer.Status = http.StatusServiceUnavailable
		if i < served {
			c.Answer = standin.CallResponse{Status: http.StatusOK, Signed: true}
			c.Answer.Body = wholeBody(&c)
		}
		rec.Calls = append(rec.Calls, c)
	}
}

func TestNothingIsFoundWhereAllIsWell(t *testing.T) {
	if found := Find(goodRecord()); len(found) > 0 {
		t.Errorf("found %v", found)
	}
}

// Each check must be able to fail: a record that breaks its promise, and no
// other one, is found by it.
func TestEachCheckFindsItsViolation(t *testing.T) {
	tests := []struct {
		name, promise string
		spoil         func(*Record)
	}{
		{"a booking runs twice", "at most once", func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) }},
		{"a stream that can't go on runs twice", "at most once", func(r *Record) { r.Runs = append(r.Runs, r.Runs[1]) }},
		{"refused and has run", "not run", func(r *Record) {
			r.Calls[0].Answer = standin.CallResponse{Status: http.StatusServiceUnavailable}
		}},
		{"another's answer", "whole answers", func(r *Record) { r.Calls[0].Answer.Body = standin.ResponseBody("look") }},
		{"requests with a part that ends engines", "ending parts", func(r *Record) { addPartEnds(r, enoughPartEnds+4) }},
		{"requests with a part of which several end the same process", "ending parts", func(r *Record) { addSharedEnds(r, 3+3+4) }},
		{"sound streams that do not begin beside them", "beside an ending part", func(r *Record) {
			addPartEnds(r, enoughPartEnds)
			addSound(r, 18, 30)
		}},
		{"streams that go on at another version", "stream versions", func(r *Record) { addTakenUp(r, "v2", 12) }},
		{"streams that do not go on", "streams taken up", func(r *Record) { addTakenUp(r, "v1", 9) }},
		{"a short answer that looks whole", "whole answers", func(r *Record) { r.Calls[1].Answer.Body = standin.EventText("draft", 1) }},
		{"an event twice before its engine broke it off", "whole answers", func(r *Record) {
			r.Calls[1].Cause, r.Runs[1].BrokenOff = "EOF", true
			r.Calls[1].Answer.Body = standin.EventText("draft", 1) + standin.EventText("draft", 1)
		}},
		{"a success without signature", "whole answers", func(r *Record) { r.Calls[0].Answer.Signed = false }},
		{"a run that nobody asked for", "asked", func(r *Record) { r.Runs[0].ID = "smuggled" }},
		{"another body", "asked", func(r *Record) { r.Runs[0].Body = "other" }},
		{"the key passed on", "asked", func(r *Record) { r.Runs[0].Key = standin.SampleKey }},
		{"another account", "asked", func(r *Record) { r.Runs[0].Account = "other" }},
		{"a key that was taken away 5.5 s before", "revoked keys", func(r *Record) {
			r.Calls[0].Key, r.Calls[0].Sent = "old", at(10.6)
		}},
		{"a run after the drain", "drain", func(r *Record) { r.Runs[3].Began = at(23) }},
		{"a request cut off by a stop before it was passed on", "graceful stop", func(r *Record) {
			r.Calls[0].Cause, r.Calls[0].Answer.Status = "EOF", 0
			r.Runs = r.Runs[1:]
		}},
		{"a stop that fails", "graceful stop", func(r *Record) { r.Stops[0].Clean = false }},
		{"not served in the calm time", "recovery", func(r *Record) {
			r.Calls[3].Answer = standin.CallResponse{Status: http.StatusBadGateway}
		}},
		{"a daemon obeys an old document", "recovery", func(r *Record) { r.Final[0].Newest = http.StatusNotFound }},
		{"a daemon takes an old key", "recovery", func(r *Record) { r.Final[0].Revoked = http.StatusOK }},
		{"a daemon never came back", "recovery", func(r *Record) { r.Daemons = 2 }},
		{"a daemon loses two requests at the end", "recovery", func(r *Record) { r.Final[0].Lost = []string{"final-draft-0", "final-pay-0"} }},
		{"a request that an engine received is lost at the end", "recovery", func(r *Record) {
			r.Final[0].Lost = []string{"final-draft-0"}
			a := Arrival{Engine: 2}
			a.ID, a.Instance, a.At = "final-draft-0", "engine-2", at(35)
			r.Arrivals = append(r.Arrivals, a)
		}},
		{"a request that ends engines is sent on", "ending requests", func(r *Record) { addEnds(r, 7) }},
		{"an engine gets more than its limit", "engine limits", func(r *Record) { addLimited(r, 18) }},
		{"brittle engines terminate", "brittle engines", func(r *Record) { addFalls(r, 3) }},
		{"an engine that leaves is reached", "leaving engines", func(r *Record) { addLeaving(r, 2.1) }},
		{"an engine gets no rest", "back-off", func(r *Record) { addBackoff(r, 3) }},
		{"a host without a path serves less", "lost path", func(r *Record) { addPathLoss(r, 18) }},
		{"a stream is preempted for a less urgent one", "urgent streams", func(r *Record) {
			r.Preemptions = []standin.Preemption{{ID: "calm", Others: []string{"draft"}}}
		}},
		{"a stream is broken off while its engine is paused", "answers kept", breakOff},
		{"a request without an event is broken off within the grace", "answers kept", func(r *Record) {
			breakOff(r)
			r.Calls[1].Answer = standin.CallResponse{}
			r.Stops = append(r.Stops, Stop{At: at(12.5), Ended: at(14), Clean: true})
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindStop}, From: at(12.5), To: at(14.2)})
		}},
		{"a stream is broken off a millisecond before its deadline", "answers kept", func(r *Record) {
			breakOff(r)
			r.Calls[1].Deadline = r.Calls[1].Ended.Sub(r.Calls[1].Sent) + time.Millisecond
		}},
		{"a stream is broken off beside a fault of another engine", "answers kept", func(r *Record) {
			breakOff(r)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindEngineReset, Target: 2}, From: at(13), To: at(13.1)})
		}},
		{"a pool that was paused is not served again", "served again", func(r *Record) { addPoolPause(r, 3.1, 28) }},
		{"an engine waits for a slow caller", "slow readers", func(r *Record) { r.Runs[1].Cut = true; addSlowReaders(r, 0) }},
		{"others are not served beside slow callers", "slow readers", func(r *Record) { addSlowReaders(r, 2) }},
		{"a window has two contents", "duties", func(r *Record) { r.Duties.Broken = []string{"window 3 has two contents"} }},
		{"too many repeats", "retry budget", func(r *Record) {
			for range retrySlack + 2 {
				r.Runs = append(r.Runs, r.Runs[2])
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := goodRecord()
			tt.spoil(rec)
			found := Find(rec)
			if !slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == tt.promise }) {
				t.Errorf("found %v", found)
			}
			if slices.ContainsFunc(found, func(v Violation) bool { return v.Promise != tt.promise }) {
				t.Errorf("found more: %v", found)
			}
		})
	}
}

// What a trace has shown to be allowed must not be found.
func TestAllowedCasesAreNotFound(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(*Record)
	}{
		{"a stop before the process asked for the signal", func(r *Record) { r.Stops[0].Clean, r.Stops[0].Young = false, true }},
		{"cut off by a stop while a daemon was killed", func(r *Record) {
			r.Calls[0].Cause, r.Calls[0].Answer.Status = "EOF", 0
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindKill}, From: at(9), To: at(10)})
		}},
		{"a late run at a leaving engine by a paused daemon", func(r *Record) {
			r.Runs[3].Began = at(23)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindPause}, From: at(21), To: at(23)})
		}},
		{"a request that ends engines, as often as it may be sent", func(r *Record) { addEnds(r, 6) }},
		{"requests with a part at an engine that failed instead of ending", func(r *Record) {
			addPartEnds(r, enoughPartEnds+4)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindEngineFail, Target: 1}, From: at(0), To: at(4)})
		}},
		{"as many requests as a limit allows", func(r *Record) { addLimited(r, 17) }},
		{"more by a daemon that was paused", func(r *Record) {
			addLimited(r, 18)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindPause}, From: at(18), To: at(18.5)})
		}},
		{"as many terminations of brittle engines as allowed", func(r *Record) { addFalls(r, 2) }},
		{"a request that no engine received is lost at the end", func(r *Record) { r.Final[0].Lost = []string{"final-draft-0"} }},
		{"terminations of brittle engines after an outage of the store", func(r *Record) {
			addFalls(r, 3)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindStoreDown}, From: at(17), To: at(18)})
		}},
		{"terminations by a daemon that was paused", func(r *Record) {
			addFalls(r, 3)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindPause}, From: at(18), To: at(18.5)})
		}},
		{"an engine that leaves is reached in time", func(r *Record) { addLeaving(r, 1.9) }},
		{"an engine that leaves is reached after a restart", func(r *Record) {
			addLeaving(r, 5)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindKill}, From: at(16), To: at(17)})
		}},
		{"as many requests within a back-off as allowed", func(r *Record) { addBackoff(r, 2) }},
		{"more within a back-off without a path", func(r *Record) {
			addBackoff(r, 3)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindPathLost}, From: at(21), To: at(22)})
		}},
		{"a host without a path serves two thirds", func(r *Record) { addPathLoss(r, 20) }},
		{"a host without a path serves less while all others are gone", func(r *Record) {
			addPathLoss(r, 0)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindKill, Target: 1}, From: at(19), To: at(23)})
		}},
		{"a host without a path serves less in an outage of the store", func(r *Record) {
			addPathLoss(r, 0)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindStoreDown}, From: at(16), To: at(23)})
		}},
		{"three more requests with a part that ends engines", func(r *Record) { addPartEnds(r, enoughPartEnds+3) }},
		{"requests with a part under which three processes have ended, each by several", func(r *Record) {
			addSharedEnds(r, 0)
			for i := range 4 {
				addPartRun(r, 20+float64(i)/1000, "engine-1-third")
			}
		}},
		{"three more requests with a part of which several end the same process", func(r *Record) { addSharedEnds(r, 3+3+3) }},
		{"sound streams that begin beside them", func(r *Record) {
			addPartEnds(r, enoughPartEnds)
			addSound(r, 18, 15)
		}},
		{"as many requests to an engine with a limit that has just started again", func(r *Record) {
			addLimited(r, 30)
			addStart(r, 18)
		}},
		{"a stream is preempted beside more urgent ones", func(r *Record) {
			r.Preemptions = []standin.Preemption{{ID: "draft", Others: []string{"calm"}}}
		}},
		{"streams that go on at their version", func(r *Record) { addTakenUp(r, "v1", 12) }},
		{"streams that do not go on at a version with one engine", func(r *Record) {
			addTakenUp(r, "v1", 0)
			r.Starts = r.Starts[:1]
		}},
		{"a stream is broken off by its engine, which ends", func(r *Record) {
			breakOff(r)
			r.Runs[1].BrokenOff = true
		}},
		{"a stream is broken off at its route's timeout", func(r *Record) {
			breakOff(r)
			r.Calls[1].Ended = r.Calls[1].Sent.Add(leastTimeout)
		}},
		{"a stream is broken off at its deadline, in whole milliseconds", func(r *Record) {
			breakOff(r)
			r.Calls[1].Deadline = r.Calls[1].Ended.Sub(r.Calls[1].Sent) + 900*time.Microsecond
		}},
		{"a stream that its caller leaves", func(r *Record) {
			breakOff(r)
			r.Calls[1].Left = true
		}},
		{"a request that reached no engine is broken off", func(r *Record) {
			breakOff(r)
			r.Calls[1].Answer, r.Runs = standin.CallResponse{}, slices.Delete(r.Runs, 1, 2)
		}},
		{"a stream whose engine's connections are reset", func(r *Record) {
			breakOff(r)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindEngineReset}, From: at(13), To: at(13.1)})
		}},
		{"a stream at a daemon that is killed", func(r *Record) {
			breakOff(r)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindKill}, From: at(13.9), To: at(15)})
		}},
		{"a stream longer than the grace", func(r *Record) {
			breakOff(r)
			r.Stops = append(r.Stops, Stop{At: at(5.9), Ended: at(14), Clean: true})
		}},
		{"a pool that is not served within the bound", func(r *Record) { addPoolPause(r, 1.4, 0) }},
		{"a pool that is served again", func(r *Record) { addPoolPause(r, 3.1, 29) }},
		{"a pool that is paused once more", func(r *Record) {
			addPoolPause(r, 3.1, 0)
			r.Faults = append(r.Faults, Struck{Fault: Fault{Kind: KindEnginePause, Target: 1}, From: at(20), To: at(21)})
		}},
		{"a safe request that runs again", func(r *Record) { r.Runs = append(r.Runs, r.Runs[2]) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := goodRecord()
			tt.spoil(rec)
			if found := Find(rec); len(found) > 0 {
				t.Errorf("found %v", found)
			}
		})
	}
}

// A process that was paused right after its start has hardly run, however long
// ago that was.
func TestPauseIsNoRunningTime(t *testing.T) {
	rec := &Record{Faults: []Struck{{Fault: Fault{Kind: KindPause, Target: 1}, From: at(2), To: at(5)}}}
	for _, tt := range []struct {
		daemon   int
		from, to float64
		want     time.Duration
	}{{1, 3, 6, 2 * time.Second}, {1, 1, 4, 2 * time.Second}, {1, 6, 8, 0}, {0, 1, 6, 0}} {
		if got := rec.paused(tt.daemon, at(tt.from), at(tt.to)); got != tt.want {
			t.Errorf("host-%d from %v to %v was paused for %v, want %v", tt.daemon, tt.from, tt.to, got, tt.want)
		}
	}
}

// A seed that failed must play the same faults again.
func TestPlanFollowsFromSeed(t *testing.T) {
	line := func(seed uint64) string {
		var b strings.Builder
		for _, f := range Plan(seed, 4, 4, 12*time.Second) {
			b.WriteString(f.String() + "\n")
		}
		return b.String()
	}
	first, again, other := line(7), line(7), line(8)
	if first != again || first == other {
		t.Error("a plan does not follow from its seed")
	}
	seen := map[Kind]bool{}
	for seed := range uint64(40) {
		for _, f := range Plan(seed, 4, 4, 12*time.Second) {
			seen[f.Kind] = true
			least, most := minFault, maxFault
			switch {
			case slices.Contains(lastingKinds, f.Kind):
				least, most = 0, 0
			case slices.Contains(announcedKinds, f.Kind):
				least, most = least+drainBound, most+drainBound
			case f.Kind == KindPathLost:
				least, most = minPathFault, maxPathFault
			case f.Kind == KindEnginePause:
				least, most = minPause, maxPause
			}
			if f.Target < 0 || f.Target > 3 || f.For < least || f.For > most {
				t.Errorf("%v", f)
			}
		}
	}
	if n := len(kinds) + len(lastingKinds) + len(announcedKinds) + 6; len(seen) != n {
		t.Errorf("%d of %d kinds are drawn", len(seen), n)
	}
}

func TestRegressionFile(t *testing.T) {
	cases, err := ReadRegression("testdata/seeds.json")
	if err != nil || len(cases) == 0 {
		t.Errorf("%d cases, %v", len(cases), err)
	}
}
