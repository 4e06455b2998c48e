package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// endingPart begins the ids of the parts that end engines, partBody the bodies of
	// requests with one.
	endingPart = "bad"
	partBody   = "part "
	// unframedShare is how often the streams of a run have neither a length nor chunks.
	unframedShare = 0.5
	// enoughPartEnds is how many engines may end before the part must be known,
	// partSendsAfterwards how often requests with it may be sent when all daemons know.
	enoughPartEnds      = 5
	partSendsAfterwards = 3
	// minSoundShare is the least share of sound streams that must begin while requests
	// with the part come, in terms of the share at other times; of minSound or more each.
	minSoundShare = 0.5
	minSound      = 20
	// forgetAfter is when the callers of a planted run forget their keys.
	forgetAfter = 9 * time.Second
)

// streamsUnframed reports whether the streams of a seed end with their connections.
func streamsUnframed(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, 8)).Float64() < unframedShare //nolint:gosec // a plan
}

// sendEndingPart sends requests with a part that ends engines at any daemon, until the
// lasting faults end.
func (r *run) sendEndingPart(f Fault) {
	random := rand.New(rand.NewPCG(r.o.Seed, uint64(f.At)+1)) //nolint:gosec // a load
	client := &http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	var sends sync.WaitGroup
	defer sends.Wait()
	for n := 0; r.sleep(endingPause) && r.lasting.Err() == nil; n++ {
		call := standin.Call{
			ID:    fmt.Sprintf("part-%d-%d", f.At, n),
			Route: []string{"chat", "draft"}[n%2], Key: standin.SampleKey, Body: fmt.Sprint(partBody, n), Part: endingPart + "0", Deadline: callDeadline,
		}
		if r.o.Plant == plantScatterParts {
			call.Part = fmt.Sprintf("%s%x", endingPart, n)
		}
		address := r.site.address(firstDaemon+random.IntN(r.o.Daemons), portCallers)
		sends.Go(func() { r.call(client, address, call) })
	}
}

// partRuns returns the runs of requests with a part that ends engines, in order of time.
func (rec *Record) partRuns() (runs []Run) {
	for _, r := range rec.Runs {
		if strings.HasPrefix(r.Body, partBody) {
			runs = append(runs, r)
		}
	}
	sortByTime(runs)
	return runs
}

// partEnds returns the first of them on each process of an engine that they ended: not
// where a fault of the engine answered in the place of the part, or kept it from answering.
func (rec *Record) partEnds() (ends []Run) {
	for _, r := range rec.partRuns() {
		if slices.ContainsFunc(ends, func(e Run) bool { return e.Engine == r.Engine && e.Instance == r.Instance }) {
			continue
		}
		answers := !slices.ContainsFunc(rec.Faults, func(f Struck) bool {
			return (f.Kind == KindEngineFail || f.Kind == KindEngineHang) && f.Target == r.Engine && f.overlaps(r.Began, r.Began.Add(time.Nanosecond))
		})
		if answers {
			ends = append(ends, r)
		}
	}
	return ends
}

// endingPartRequests looks for requests that are sent on after all daemons in touch must
// have heard that enough engines have ended under requests with the same part.
func endingPartRequests(rec *Record) (found []string) {
	runs, ends := rec.partRuns(), rec.partEnds()
	if len(ends) < enoughPartEnds {
		return nil
	}
	daemons := rec.daemonsByID()
	known := ends[enoughPartEnds-1].Began.Add(touchWindow)
	late := 0
	for _, r := range runs {
		if r.Began.After(known) && !rec.outOfTouch(daemons[r.ID], r.Began) {
			late++
		}
	}
	if late > partSendsAfterwards {
		found = append(found, fmt.Sprintf("requests with a part that ends engines were sent %d times more, %d in all", late, len(runs)))
	}
	return found
}

// soundBesideEndingPart looks for sound streams that begin much less often while
// requests with a part that ends engines are kept back than at other times.
func soundBesideEndingPart(rec *Record) (found []string) {
	ends := rec.partEnds()
	if len(ends) == 0 {
		return nil
	}
	known := ends[min(enoughPartEnds, len(ends))-1].Began.Add(2 * touchWindow)
	var asked, began [2]int // beside the part and at other times
	for i := range rec.Calls {
		c := &rec.Calls[i]
		sound := standin.IsStream(c.Route) && c.LastEvent == 0 && !strings.HasPrefix(c.Body, partBody) && !strings.HasPrefix(c.Body, endingBody)
		beside := rec.besidePart(c.Sent)
		if !sound || rec.othersTrouble(c.Sent, c.Ended) || beside && c.Sent.Before(known) {
			continue
		}
		when := count(!beside)
		asked[when]++
		began[when] += count(c.Answer.Status == http.StatusOK)
	}
	if asked[0] < minSound || asked[1] < minSound {
		return nil
	}
	if float64(began[0])/float64(asked[0]) < minSoundShare*float64(began[1])/float64(asked[1]) {
		found = append(found, fmt.Sprintf("%d of %d sound streams began beside a part that ends engines, %d of %d at other times", began[0], asked[0], began[1], asked[1]))
	}
	return found
}

// besidePart reports whether requests with a part that ends engines come at a time.
func (rec *Record) besidePart(at time.Time) bool {
	for _, f := range rec.Faults {
		if f.Kind == KindEndingPart && f.overlaps(at, at.Add(time.Nanosecond)) {
			return true
		}
	}
	return false
}

// othersTrouble reports whether anything unplanned but requests with an ending part has
// struck anything in a time.
func (rec *Record) othersTrouble(from, to time.Time) bool {
	for _, f := range rec.Faults {
		if f.Kind != KindEndingPart && !f.planned() && f.overlaps(from.Add(-touchWindow), to) {
			return true
		}
	}
	return false
}
