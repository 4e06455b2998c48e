package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
	form "github.com/beechhead/beechhead/platform/standin"
)

// SpreadPool is the spread of a fault of all engines of a pool.
const SpreadPool Spread = "pool"

const (
	// pauseShare is how often a run has engines that are paused.
	pauseShare = 0.5
	// minPause and maxPause bound how long they are; betweenPauses is the time
	// between two pauses of a series at most.
	minPause      = 800 * time.Millisecond
	maxPause      = 2600 * time.Millisecond
	maxSeries     = 3
	betweenPauses = time.Second
	// worksBesidePause is how many planned works are drawn for each pause. They begin
	// between workLead before it and its end.
	worksBesidePause = 2
	workLead         = 500 * time.Millisecond

	// servedAgainAfter is how long after the last engine of a pool has gone on requests
	// must be served again. It is then looked at for quietTime, and at minServedAgain
	// requests at least.
	servedAgainAfter = 3 * time.Second
	quietTime        = 3 * time.Second
	minServedAgain   = 20

	// endSilentAfter is how long the relays of a planted run let answers be silent.
	endSilentAfter = 500 * time.Millisecond
)

// plannedKinds holds the kinds of planned work that come beside pauses.
var plannedKinds = []Kind{KindTimes, KindTimes, KindConfig, KindRevoke, KindReload, KindStop}

// editedTimes holds the timeouts of routes and of idle connections that edits set. No
// timeout of a route is under leastTimeout.
var editedTimes = []struct{ route, idle time.Duration }{
	{leastTimeout, 20 * time.Second}, {8 * time.Second, time.Second}, {leastTimeout, time.Second}, {5 * time.Second, 5 * time.Second},
}

const leastTimeout = 3500 * time.Millisecond

// pauseFaults draws pauses of engines apart from the other faults, in a series.
func pauseFaults(seed uint64, daemons, engines int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 9)) //nolint:gosec // a plan
	if random.Float64() >= pauseShare {
		return nil
	}
	plan, _ := pauseSeries(random, daemons, engines, workLead+time.Duration(random.Int64N(int64(length))))
	return plan
}

// pausePlan draws series of pauses and nothing else that is not planned. Between them
// there is time to look at whether requests are served again.
func pausePlan(seed uint64, daemons, engines int, length time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, 9)) //nolint:gosec // a plan
	for at := time.Second; at < length; {
		series, end := pauseSeries(random, daemons, engines, at)
		plan = append(plan, series...)
		at = end + servedAgainAfter + quietTime
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// pauseSeries draws a series of pauses, with planned work beside each.
func pauseSeries(random *rand.Rand, daemons, engines int, at time.Duration) (plan []Fault, end time.Duration) {
	spreads := []Spread{SpreadAlone, SpreadMost, SpreadPool}
	for range 1 + random.IntN(maxSeries) {
		f := Fault{
			Kind: KindEnginePause, At: at, For: minPause + time.Duration(random.Int64N(int64(maxPause-minPause))),
			Target: random.IntN(engines), Spread: spreads[random.IntN(len(spreads))],
		}
		plan = append(plan, f)
		for range worksBesidePause {
			w := Fault{
				Kind: plannedKinds[random.IntN(len(plannedKinds))], At: at - workLead + time.Duration(random.Int64N(int64(f.For+workLead))),
				For: minFault, Target: random.IntN(min(daemons, len(editedTimes))),
			}
			plan = append(plan, w)
		}
		end = at + f.For
		at = end + time.Duration(random.Int64N(int64(betweenPauses)))
	}
	return plan, end
}

// pauses reports whether an engine is among those that are paused.
func (f Fault) pauses(engine int) bool {
	switch {
	case f.Kind != KindEnginePause:
		return false
	case f.Spread == SpreadPool:
		return engine%2 == f.Target%2
	case f.Spread == SpreadMost:
		return engine != f.Target
	}
	return engine == f.Target
}

// pausesPool reports whether all engines of the pool of an engine are paused.
func (f Fault) pausesPool(engine int) bool {
	return f.Kind == KindEnginePause && (f.Spread == SpreadPool && engine%2 == f.Target%2 || f.Spread == SpreadMost && engine%2 != f.Target%2)
}

// pauseEngines stops the processes of engines and has them go on.
func (r *run) pauseEngines(f Fault) {
	var engines sync.WaitGroup
	for i := range r.o.Engines {
		if f.pauses(i) {
			engines.Go(func() { r.site.pauseEngine(i, func() { r.sleep(f.For) }) })
		}
	}
	engines.Wait()
}

// pauseEngine stops the process of an engine while wait runs. The soak itself asks
// nothing of it meanwhile.
func (s *site) pauseEngine(i int, wait func()) {
	s.pauseLocks[i].Lock()
	defer s.pauseLocks[i].Unlock()
	s.engineProcesses[i].signal(syscall.SIGSTOP)
	wait()
	s.engineProcesses[i].signal(syscall.SIGCONT)
}

// changeTimes changes the timeouts of the routes and of idle connections in the
// document. The caller must hold the mutex.
func (s *site) changeTimes(which int) {
	t := editedTimes[which]
	for _, route := range s.config.Routes {
		route["timeout-ms"] = t.route.Milliseconds()
	}
	s.config.Limits["idle-timeout-ms"] = t.idle.Milliseconds()
}

// endSilentAnswers has the relays before the engines reset connections whose engine
// is silent.
func (r *run) endSilentAnswers() error {
	for i := range r.o.Engines {
		f := standin.RelayFaults{EndSilentMs: int(endSilentAfter.Milliseconds())}
		if err := r.site.post(r.site.relayURL(fmt.Sprintf("engine%d", i), "faults"), f); err != nil {
			return err
		}
	}
	return nil
}

// answersKept looks for requests that were passed on and whose connections ended without
// a complete answer, though nothing lay in their way but pauses of engines and planned
// work.
func answersKept(rec *Record) (found []string) {
	runs := rec.runsByID()
	for i := range rec.Calls {
		c := &rec.Calls[i]
		// Callers tell daemons their deadlines in whole milliseconds.
		allowed := min(c.Deadline.Truncate(time.Millisecond), leastTimeout)
		lost := c.Cause != "" && !c.Left && c.ReadSpeed == 0 && c.Ended.Sub(c.Sent) < allowed
		if !lost || len(runs[c.ID]) == 0 || rec.inTheWay(c, runs[c.ID]) {
			continue
		}
		found = append(found, fmt.Sprintf("%s (%s) at host-%d was broken off after %v with %d bytes: %s",
			c.ID, c.Route, c.Daemon, c.Ended.Sub(c.Sent).Round(time.Millisecond), len(c.Answer.Body), c.Cause))
	}
	return found
}

// inTheWay reports whether a call may have ended because of its daemon, the path to the
// engines or the engines that ran it.
func (rec *Record) inTheWay(c *Call, runs []Run) bool {
	if slices.ContainsFunc(runs, func(r Run) bool { return r.BrokenOff }) {
		return true
	}
	late := func(s Stop) bool {
		return s.Daemon == c.Daemon && c.Sent.Before(s.Ended) && (s.Young || c.Ended.After(s.At.Add(grace)))
	}
	if slices.ContainsFunc(rec.Stops, late) {
		return true
	}
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		ofItsDaemon := f.ofDaemon() && !f.planned() && f.Target == c.Daemon || f.losesPath(c.Daemon)
		ofItsEngine := f.breaksOff() && slices.ContainsFunc(runs, func(r Run) bool { return r.Engine == f.Target })
		return (ofItsDaemon || ofItsEngine) && f.overlaps(c.Sent.Add(-touchWindow), c.Ended)
	})
}

// breaksOff reports whether an engine ends answers because of the fault, or its
// connections fail.
func (f Fault) breaksOff() bool {
	return slices.Contains([]Kind{KindEngineHang, KindEngineReset, KindEngineCut, KindEngineTwice, KindEngineSilence}, f.Kind)
}

// servedAgain looks for pools whose requests are not served after all engines that were
// paused have gone on, with nothing else in the way.
func servedAgain(rec *Record) (found []string) {
	revoked := map[string]bool{}
	for _, r := range rec.Revoked {
		revoked[r.Key] = true
	}
	for _, f := range rec.Faults {
		for pool := range 2 {
			if !f.pausesPool(pool) {
				continue
			}
			from := f.To.Add(servedAgainAfter)
			asked, served := 0, 0
			for i := range rec.Calls {
				c := &rec.Calls[i]
				during := c.Sent.After(from) && c.Sent.Before(from.Add(quietTime)) && c.Sent.Before(rec.Ended)
				if !during || poolOf(c.Route) != pool || revoked[c.Key] || rec.otherwiseTroubled(f, c) {
					continue
				}
				asked++
				served += count(c.served())
			}
			if asked >= minServedAgain && float64(served) < minServed*float64(asked) {
				found = append(found, fmt.Sprintf("%d of %d requests were served %v after all engines of pool %d had gone on", served, asked, servedAgainAfter, pool))
			}
		}
	}
	return found
}

// poolOf returns the number of the pool that serves a route: that of its engines, modulo
// two.
func poolOf(route string) int { return count(!form.IsStream(route)) }

// otherwiseTroubled reports whether anything but a pause, edits and reloads has struck
// anything from the pause to the end of a call, or its daemon was stopped.
func (rec *Record) otherwiseTroubled(pause Struck, c *Call) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		switch {
		case f.Fault == pause.Fault || f.isEdit() || f.Kind == KindReload:
			return false
		case f.Kind == KindStop:
			return f.Target == c.Daemon && f.overlaps(c.Sent.Add(-touchWindow), c.Ended)
		case f.Kind == KindEnginePause:
			return f.overlaps(pause.To, c.Ended)
		}
		return f.overlaps(pause.From.Add(-touchWindow), c.Ended)
	})
}
