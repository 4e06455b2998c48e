package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// engineLimit is the limit that engines announce, in requests per second.
	engineLimit = 2
	// limitWindow is the span in which an engine gets at most limitExcess times
	// what its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// engineLimits looks for windows in which an engine that named a limit got too
// much from daemons in touch.
func engineLimits(rec *Record) (found []string) {
	daemons := rec.daemonsByID()
	starts := rec.firstArrivals()
	for _, f := range rec.Faults {
		if f.Kind != KindEngineLimit {
			continue
		}
		var counted []Run
		for _, r := range rec.Runs {
			named := maxTime(f.From, starts[arrivalKey{r.ID, r.Engine}])
			during := r.Began.After(named.Add(touchWindow)) && r.Began.Before(f.To)
			if r.Engine == f.Target && during && !rec.outOfTouch(daemons[r.ID], r.Began) {
				counted = append(counted, r)
			}
		}
		sortByTime(counted)
		allowed := int(limitExcess*engineLimit*limitWindow.Seconds()) + limitSlack
		if most := mostWithin(counted, limitWindow); most > allowed {
			found = append(found, fmt.Sprintf("engine %d got %d requests in %v, at most %d may be sent", f.Target, most, limitWindow, allowed))
		}
	}
	return found
}

// arrivalKey identifies the arrival of a request at an engine.
type arrivalKey struct {
	id     string
	engine int
}

// firstArrivals returns, for each arrival, when the first request reached the same start
// of the engine. An engine that has started again names its limit anew.
func (rec *Record) firstArrivals() map[arrivalKey]time.Time {
	first := map[string]time.Time{}
	for _, a := range rec.Arrivals {
		if at, ok := first[a.Instance]; !ok || a.At.Before(at) {
			first[a.Instance] = a.At
		}
	}
	starts := map[arrivalKey]time.Time{}
	for _, a := range rec.Arrivals {
		k := arrivalKey{a.ID, a.Engine}
		starts[k] = maxTime(starts[k], first[a.Instance])
	}
	return starts
}

// mostWithin returns the greatest number of runs that began within a span; they
// are in order of time.
func mostWithin(runs []Run, span time.Duration) (most int) {
	from := 0
	for i := range runs {
		for runs[i].Began.Sub(runs[from].Began) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func sortByTime(runs []Run) {
	slices.SortFunc(runs, func(a, b Run) int { return a.Began.Compare(b.Began) })
}

// daemonsByID returns the daemon that each request was sent to.
func (rec *Record) daemonsByID() map[string]int {
	daemons := map[string]int{}
	for _, c := range rec.Calls {
		daemons[c.ID] = c.Daemon
	}
	return daemons
}

// outOfTouch reports whether something has struck a daemon shortly before a time,
// so that bounds in time don't hold for it.
func (rec *Record) outOfTouch(daemon int, at time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		return f.ofDaemon() && f.Target == daemon && f.overlaps(at.Add(-touchWindow), at)
	})
}
