package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// announceShare is how often a run has engines that make each announcement.
	announceShare = 0.5

	// brittleRefusals is how many requests brittle engines can turn away in a second,
	// brittleRoom how many they run at once. They may terminate fallsAllowed times,
	// and fallsPerEngine for each of them.
	brittleRefusals = 2
	brittleRoom     = 2
	fallsAllowed    = 2
	fallsPerEngine  = 0.1
	fallWindow      = time.Second

	// backoff is the time for which engines ask, in response to backoffShare of the
	// requests. Between backoffMargin and its end, a daemon may send backoffAllowed
	// requests.
	backoff        = 2 * time.Second
	backoffShare   = 0.3
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
)

// announcedKinds holds the kinds of faults in which engines say how they may be used.
var announcedKinds = []Kind{KindEngineBrittle, KindEngineBackoff, KindEngineLeaving}

// announcedFaults draws them apart from the others.
func announcedFaults(seed uint64, engines int, length time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // a plan
	for _, kind := range announcedKinds {
		f := Fault{
			Kind: kind, At: time.Duration(random.Int64N(int64(length))),
			For: drainBound + minFault + time.Duration(random.Int64N(int64(maxFault-minFault))), Target: random.IntN(engines),
		}
		if random.Float64() < announceShare {
			plan = append(plan, f)
		}
	}
	return plan
}

// announce changes what an engine announces. It waits for other faults of the engine to
// end.
func (r *run) announce(engine int, change func(*standin.EngineFaults)) {
	r.engineLocks[engine].Lock()
	defer r.engineLocks[engine].Unlock()
	change(&r.announced[engine])
	r.must(r.setFaults(engine, standin.EngineFaults{}))
}

// limitEngine makes an engine announce a rate limit.
func (r *run) limitEngine(f Fault) {
	r.announce(f.Target, func(a *standin.EngineFaults) { a.Limit = engineLimit })
	note := r.noteFault(f, time.Now())
	<-r.lasting.Done()
	r.endFault(note, time.Now())
	r.announce(f.Target, func(a *standin.EngineFaults) { a.Limit = 0 })
}

// makeBrittle makes the engines of a pool announce that they are brittle, and reduces
// their room later.
func (r *run) makeBrittle(f Fault) {
	each := func(change func(*standin.EngineFaults)) {
		for i := range r.o.Engines {
			if r.site.pool(i) == r.site.pool(f.Target) {
				r.announce(i, change)
			}
		}
	}
	note := r.noteFault(f, time.Now())
	each(func(a *standin.EngineFaults) { a.Brittle = brittleRefusals })
	r.sleep(stabilityWindow)
	each(func(a *standin.EngineFaults) { a.Room = brittleRoom })
	<-r.lasting.Done()
	r.endFault(note, time.Now())
	each(func(a *standin.EngineFaults) { a.Brittle, a.Room = 0, 0 })
}

// askForBackoff makes an engine turn requests away and ask for back-off.
func (r *run) askForBackoff(f Fault) {
	r.announce(f.Target, func(a *standin.EngineFaults) { a.BackoffSeconds, a.BackoffShare = backoff.Seconds(), backoffShare })
	note := r.noteFault(f, time.Now())
	<-r.lasting.Done()
	r.endFault(note, time.Now())
	r.announce(f.Target, func(a *standin.EngineFaults) { a.BackoffSeconds, a.BackoffShare = 0, 0 })
}

// leave makes an engine announce that it is leaving, and terminate then.
func (r *run) leave(f Fault) {
	r.announce(f.Target, func(a *standin.EngineFaults) { a.Leaving = true })
	note := r.noteFault(f, time.Now())
	r.sleep(f.For)
	r.announce(f.Target, func(a *standin.EngineFaults) {
		a.Leaving = false
		r.must(r.site.postEngine(f.Target, "/terminate", nil))
	})
	r.endFault(note, time.Now())
}

// brittleEngines looks for engines that terminated too often because they had to turn
// away requests of daemons in touch, while the store was in no trouble.
func brittleEngines(rec *Record) (found []string) {
	daemons := rec.daemonsByID()
	for _, f := range rec.Faults {
		if f.Kind != KindEngineBrittle {
			continue
		}
		falls, engines := 0, map[int]bool{}
		for _, a := range rec.Arrivals {
			if a.Engine%2 != f.Target%2 {
				continue
			}
			engines[a.Engine] = true
			if a.Fell && !a.At.Before(f.From) && a.At.Before(f.To) && rec.causedInTouch(a, daemons) {
				falls++
			}
		}
		if allowed := fallsAllowed + fallsPerEngine*float64(len(engines)); float64(falls) > allowed {
			found = append(found, fmt.Sprintf("brittle engines terminated %d times, %g allowed", falls, allowed))
		}
	}
	return found
}

// causedInTouch reports whether most of the requests that made an engine terminate came
// from daemons in touch. None is while the store is in trouble.
func (rec *Record) causedInTouch(fall Arrival, daemons map[string]int) bool {
	if rec.storeTroubled(fall.At) {
		return false
	}
	all, inTouch := 0, 0
	for _, a := range rec.Arrivals {
		if !a.Full || a.Instance != fall.Instance || a.At.After(fall.At) || fall.At.Sub(a.At) >= fallWindow {
			continue
		}
		all++
		if !rec.outOfTouch(daemons[a.ID], a.At) {
			inTouch++
		}
	}
	return 2*inTouch > all
}

// leavingEngines looks for requests that reached an engine after one of its responses
// had told the same daemon that it leaves.
func leavingEngines(rec *Record) (found []string) {
	type key struct {
		daemon   int
		instance string
	}
	calls := rec.callsByID()
	answeredBy := map[string]Arrival{}
	for _, a := range rec.Arrivals {
		if last, ok := answeredBy[a.ID]; !ok || a.At.After(last.At) {
			answeredBy[a.ID] = a
		}
	}
	told := map[key]time.Time{}
	for id, a := range answeredBy {
		c := calls[id]
		if c == nil || !a.Leaving || c.Answer.Status != http.StatusOK || c.Cause != "" {
			continue
		}
		k := key{c.Daemon, a.Instance}
		if at, ok := told[k]; !ok || c.Ended.Before(at) {
			told[k] = c.Ended
		}
	}
	for _, a := range rec.Arrivals {
		c := calls[a.ID]
		if c == nil {
			continue
		}
		at, ok := told[key{c.Daemon, a.Instance}]
		if ok && c.Sent.Sub(at) > drainBound && !rec.restarted(c.Daemon, at, a.At) {
			found = append(found, fmt.Sprintf("%s reached %s from host-%d, %v after it had said there that it leaves", a.ID, a.Instance, c.Daemon, a.At.Sub(at)))
		}
	}
	return found
}

// backoffs looks for engines that got too many requests of a daemon that they had asked
// for back-off.
func backoffs(rec *Record) (found []string) {
	daemons := rec.daemonsByID()
	for _, told := range rec.Arrivals {
		if told.BackoffSeconds == 0 {
			continue
		}
		daemon := daemons[told.ID]
		from, to := told.At.Add(backoffMargin), told.At.Add(time.Duration(told.BackoffSeconds*float64(time.Second)))
		n := 0
		for _, a := range rec.Arrivals {
			if a.Instance == told.Instance && daemons[a.ID] == daemon && a.At.After(from) && a.At.Before(to) {
				n++
			}
		}
		if n > backoffAllowed && !rec.restarted(daemon, told.At, to) && !rec.lostPath(daemon, told.At, to) {
			found = append(found, fmt.Sprintf("%s had asked host-%d for back-off (%s) and got %d requests", told.Instance, daemon, told.ID, n))
		}
	}
	return found
}

// restarted reports whether a daemon was killed, stopped or paused in a time.
func (rec *Record) restarted(daemon int, from, to time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		restarts := f.Kind == KindKill || f.Kind == KindStop || f.Kind == KindPause
		return restarts && f.Target == daemon && f.overlaps(from, to)
	})
}

// lostPath reports whether a daemon was without a path to the engines in a time.
func (rec *Record) lostPath(daemon int, from, to time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool { return f.losesPath(daemon) && f.overlaps(from, to) })
}

// callsByID returns the calls by their ids.
func (rec *Record) callsByID() map[string]*Call {
	calls := map[string]*Call{}
	for i := range rec.Calls {
		calls[rec.Calls[i].ID] = &rec.Calls[i]
	}
	return calls
}
