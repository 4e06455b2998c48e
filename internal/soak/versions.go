package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// resumableRoute is the route whose streams callers take up again.
	resumableRoute = "chat"
	// leaveShare is the share of these streams that callers leave by themselves.
	leaveShare = 0.2
	// maxTakeUps is how often a caller takes a stream up, minTakeUpTime the time that it
	// must have left for that. It waits for takeUpPause and up to as long again.
	maxTakeUps    = 3
	minTakeUpTime = 500 * time.Millisecond
	takeUpPause   = 100 * time.Millisecond

	// rollShare is how often a run has engines that are replaced by other versions,
	// rollPause the time from one that has come back to the next.
	rollShare = 0.5
	rollPause = 1500 * time.Millisecond

	// Of minTakenUp or more streams that are taken up, the share that goes on must be
	// at least minTakenUpShare times that of new streams that begin.
	minTakenUp      = 12
	minTakenUpShare = 0.5
)

// EngineStart is a start of an engine.
type EngineStart struct {
	Engine  int
	Version string
	// To is zero until the engine has ended.
	From, To time.Time
}

func (r *recorder) noteEngineStart(s EngineStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Starts = append(r.rec.Starts, s)
}

func (r *run) noteStart(engine int, at time.Time) {
	r.noteEngineStart(EngineStart{Engine: engine, Version: r.site.version(engine), From: at})
}

// noteEnd records that an engine has ended.
func (r *recorder) noteEnd(engine int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.rec.Starts {
		if s := &r.rec.Starts[i]; s.Engine == engine && s.To.IsZero() {
			s.To = at
		}
	}
}

// version returns the software version of an engine.
func (s *site) version(engine int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "v" + strconv.Itoa(s.versions[engine])
}

// versionRolls draws replacements of versions apart from the other faults.
func versionRolls(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 6)) //nolint:gosec // a plan
	if random.Float64() >= rollShare {
		return nil
	}
	return []Fault{{Kind: KindVersionRoll, At: time.Duration(random.Int64N(int64(length))), For: minFault}}
}

// rollVersions ends the engines that run streams one after the other.
func (r *run) rollVersions() {
	for i := 0; i < r.o.Engines; i += 2 {
		before := r.site.engine(i)
		r.site.mu.Lock()
		r.site.nextVersions[i]++
		r.site.mu.Unlock()
		r.must(r.site.postEngine(i, "/terminate", nil))
		for r.site.engine(i) == before && r.sleep(lookPause) {
			continue
		}
		r.sleep(rollPause)
	}
}

// adoptVersion gives an engine that comes back its next version.
func (r *run) adoptVersion(engine int) {
	r.engineLocks[engine].Lock()
	defer r.engineLocks[engine].Unlock()
	r.site.mu.Lock()
	changed := r.site.versions[engine] != r.site.nextVersions[engine]
	r.site.versions[engine] = r.site.nextVersions[engine]
	r.site.mu.Unlock()
	if changed {
		r.must(r.setFaults(engine, standin.EngineFaults{}))
	}
}

// takeUp takes up a stream that has broken off at other daemons.
func (c *caller) takeUp(ctx context.Context, call standin.Call, answer standin.CallResponse) {
	until := time.Now().Add(call.Deadline)
	first := call
	for n := range maxTakeUps {
		events := standin.EventsIn(answer.Body)
		if answer.Err == nil && answer.Status == http.StatusOK {
			return
		}
		if call.LastEvent += events; call.LastEvent == 0 || call.LastEvent >= streamEvents {
			return
		}
		time.Sleep(takeUpPause + time.Duration(c.leaves.Int64N(int64(takeUpPause))))
		if ctx.Err() != nil || time.Until(until) < minTakeUpTime {
			return
		}
		call.ID, call.Body, call.LeaveAfter = fmt.Sprintf("%s-%d", first.ID, n+1), first.Content(), 0
		call.Resumes, call.Deadline = first.ID, time.Until(until)
		if c.r.o.Plant == plantLoseStreams {
			call.Resumes = "lost"
		}
		answer = c.r.call(c.client, c.addresses[c.leaves.IntN(len(c.addresses))], call)
	}
}

// streamVersions looks for streams with events of engines of several versions, in one
// answer or over the calls of their caller.
func streamVersions(rec *Record) (found []string) {
	versions := map[string][]string{}
	for i := range rec.Calls {
		c := &rec.Calls[i]
		_, all := standin.SplitVersions(c.Answer.Body)
		versions[c.first()] = append(versions[c.first()], all...)
	}
	for began, all := range versions {
		if all = slices.Compact(all); len(all) > 1 {
			found = append(found, fmt.Sprintf("%s has events of versions %v", began, all))
		}
	}
	return found
}

// streamsTakenUp looks for streams that do not go on, while new ones begin.
func streamsTakenUp(rec *Record) (found []string) {
	versions := map[string]string{}
	for i := range rec.Calls {
		if _, all := standin.SplitVersions(rec.Calls[i].Answer.Body); len(all) > 0 && rec.Calls[i].LastEvent == 0 {
			versions[rec.Calls[i].ID] = all[0]
		}
	}
	var began, asked, wentOn, takenUp int
	for i := range rec.Calls {
		c := &rec.Calls[i]
		if c.Route != resumableRoute || rec.troubled(c.Daemon, c.Sent, c.Ended) || rec.stopping(c.Daemon, c.Sent, c.Ended) {
			continue
		}
		ok := c.Answer.Status == http.StatusOK
		switch {
		case c.LastEvent == 0:
			asked++
			began += count(ok)
		case rec.serving(versions[c.first()], c.Sent, c.Ended) >= 2:
			takenUp++
			wentOn += count(ok)
		}
	}
	if takenUp >= minTakenUp && asked > 0 && float64(wentOn)/float64(takenUp) < minTakenUpShare*float64(began)/float64(asked) {
		found = append(found, fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, takenUp, began, asked))
	}
	return found
}

// first returns the id of the call that began the stream.
func (c *Call) first() string {
	if c.LastEvent == 0 {
		return c.ID
	}
	return c.ID[:strings.LastIndexByte(c.ID, '-')]
}

func count(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

// serving returns how many engines of a version served streams for a whole time, and
// for a while before.
func (rec *Record) serving(version string, from, to time.Time) (n int) {
	from = from.Add(-touchWindow)
	for _, s := range rec.Starts {
		if s.Engine%2 == 0 && s.Version == version && s.From.Before(from) && (s.To.IsZero() || s.To.After(to)) && !rec.engineTroubled(s.Engine, from, to) {
			n++
		}
	}
	return n
}

// engineTroubled reports whether a fault has struck an engine in a time.
func (rec *Record) engineTroubled(engine int, from, to time.Time) bool {
	return slices.ContainsFunc(rec.Faults, func(f Struck) bool {
		return !f.ofDaemon() && !f.ofStore() && !f.isEdit() && f.Target%2 == engine%2 && f.overlaps(from, to)
	})
}
