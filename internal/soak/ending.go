package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	paths "github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// endingBody begins the bodies of requests that end engines.
	endingBody = "ends "
	// endingPause is the time between two sends of such a request.
	endingPause = 300 * time.Millisecond
	// backAfter is how long an engine is gone that has ended, lookPause the time
	// between two looks at which have.
	backAfter = time.Second
	lookPause = 50 * time.Millisecond
	// registeredAfter is how long an engine that has started again under its id serves
	// before it is registered.
	registeredAfter = 500 * time.Millisecond
	// enoughEnds is how many engines may end before a request must be kept back,
	// sendsAfterwards how often it may be sent when all daemons know.
	enoughEnds      = 3
	sendsAfterwards = 3
)

// Faults that are planted.
const (
	// The following are faults of the same names in standin.EngineFaults.
	plantRunTwice   = "runTwice"
	plantForeign    = "foreign"
	plantUnsigned   = "unsigned"
	plantRunRefused = "runRefused"
	// plantNameStray has refusals that answer no request name the one that waits.
	plantNameStray = "nameStray"
	// plantHideLimit has engines name no limit where they have one.
	plantHideLimit = "hideLimit"
	// plantOtherTarget has repeats of a request look like others.
	plantOtherTarget = "otherTarget"
	// plantHideEra makes the store name no era.
	plantHideEra = "hideEra"
	// The following make engines announce nothing.
	plantHideBrittle = "hideBrittle"
	plantHideBackoff = "hideBackoff"
	plantHideLeaving = "hideLeaving"
	// plantSwallow makes lost paths open connections that pass nothing on.
	plantSwallow = "swallowPath"
	// plantHideVersions makes all engines register the same version. plantLoseStreams
	// has callers name streams that never began.
	plantHideVersions = "hideVersions"
	plantLoseStreams  = "loseStreams"
	// plantScatterParts has each request with an ending part name another one, all of
	// which end engines. plantForgetKeys has callers of streams use no valid key while
	// such requests come.
	plantScatterParts = "scatterParts"
	plantForgetKeys   = "forgetKeys"
	// plantIgnorePriority has engines with a small memory preempt the newest stream.
	plantIgnorePriority = "ignorePriority"
	// plantEndSilent has relays end the connections of silent answers.
	plantEndSilent = "endSilent"
	// plantHideMemory starts the daemons without the memory of their hosts.
	plantHideMemory = "hideMemory"
)

// plantedFaults holds the fault that the plan of a planted variant consists of.
var plantedFaults = map[string]Fault{
	plantHideLimit:    {Kind: KindEngineLimit},
	plantOtherTarget:  {Kind: KindEndingRequest},
	plantHideEra:      {Kind: KindStoreCopy, For: maxFault},
	plantHideBrittle:  {Kind: KindEngineBrittle},
	plantHideBackoff:  {Kind: KindEngineBackoff},
	plantHideLeaving:  {Kind: KindEngineLeaving, For: 2 * maxFault},
	plantScatterParts: {Kind: KindEndingPart},
	plantForgetKeys:   {Kind: KindEndingPart},
	plantHideVersions: {Kind: KindVersionRoll},
	plantLoseStreams:  {Kind: KindConfig},

	plantHideMemory: {Kind: KindSlowReaders},

	plantIgnorePriority: {Kind: KindConfig},
	plantNameStray:      {Kind: KindEngineStray, For: 3 * maxFault, Target: 1},

	plantEndSilent: {Kind: KindEnginePause, For: maxPause, Spread: SpreadPool},
	plantSwallow:   {Kind: KindPathLost, For: maxPathFault, Spread: SpreadZone, Path: paths.PathSwallows},
}

func (o *Options) smallMemory() bool { return o.SmallMemory || o.Plant == plantIgnorePriority }

func (o *Options) hidesAnnouncements() bool {
	return slices.Contains([]string{plantHideLimit, plantHideBrittle, plantHideBackoff, plantHideLeaving}, o.Plant)
}

// plan returns the faults of the run; a planted variant has its fault alone, as
// daemons that are in trouble need not keep the promise.
func (o *Options) plan() []Fault {
	if f, ok := plantedFaults[o.Plant]; ok {
		f.At = time.Second
		return []Fault{f}
	}
	if o.Pauses {
		return pausePlan(o.Seed, o.Daemons, o.Engines, o.Length)
	}
	return Plan(o.Seed, o.Daemons, o.Engines, o.Length)
}

// endEngines sends a request that ends the engines that run it, again and again
// at any daemon.
func (r *run) endEngines(f Fault) {
	route := []string{"chat", "draft", "look"}[f.Target%3]
	random := rand.New(rand.NewPCG(r.o.Seed, uint64(f.At))) //nolint:gosec // a load
	client := &http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	var sends sync.WaitGroup
	defer sends.Wait()
	for n := 0; r.sleep(endingPause) && r.lasting.Err() == nil; n++ {
		call := standin.Call{
			ID:    fmt.Sprintf("ends-%d-%d", f.At, n),
			Route: route, Key: standin.SampleKey, Body: endingBody + f.At.String(), Deadline: callDeadline,
		}
		if r.o.Plant == plantOtherTarget {
			call.Query = fmt.Sprint("?n=", n)
		}
		address := r.site.address(firstDaemon+random.IntN(r.o.Daemons), portCallers)
		sends.Go(func() { r.call(client, address, call) })
	}
}

// registerStarts brings the engines back that have ended. None waits for another.
func (r *run) registerStarts(ctx context.Context) {
	var engines sync.WaitGroup
	for i := range r.o.Engines {
		engines.Go(func() { r.registerStartsOf(ctx, i) })
	}
	engines.Wait()
}

func (r *run) registerStartsOf(ctx context.Context, engine int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookPause):
		}
		if id, err := r.site.currentID(engine); err == nil && id != r.site.engine(engine) {
			r.startAgain(engine, id)
		}
	}
}

// startAgain brings an engine back that has ended, and registers it under the id of its
// new start. While it is announced that the engine leaves, nothing is changed.
func (r *run) startAgain(i int, id string) {
	r.rowLocks[i].Lock()
	defer r.rowLocks[i].Unlock()
	r.copyLock.RLock()
	defer r.copyLock.RUnlock()
	r.noteEnd(i, time.Now())
	time.Sleep(backAfter)
	if !r.o.SameIDs {
		r.must(r.site.edit(standin.Edit{Table: platform.TableEngines, Key: r.site.engine(i)}))
	}
	r.site.mu.Lock()
	if !r.o.SameIDs {
		r.site.ended = append(r.site.ended, r.site.engines[i])
	}
	r.site.engines[i] = id
	r.site.mu.Unlock()
	r.must(r.site.readBorn(i))
	r.adoptVersion(i)
	r.must(r.site.post(r.site.relayURL(fmt.Sprintf("engine%d", i), "listen"), nil))
	if r.o.SameIDs {
		r.noteStart(i, time.Now())
		time.Sleep(registeredAfter)
	}
	r.must(r.site.putEngine(i, false))
	if !r.o.SameIDs {
		r.noteStart(i, time.Now())
	}
}

// currentID asks an engine for its id.
func (s *site) currentID(i int) (string, error) {
	s.pauseLocks[i].RLock()
	defer s.pauseLocks[i].RUnlock()
	resp, err := s.client.Get(s.engineURL(i, "/healthz"))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.Header.Get(standin.HeaderInstance), nil
}

// endingRequests looks for requests that are sent on after all daemons in touch
// must have heard that enough engines have ended under them.
func endingRequests(rec *Record) (found []string) {
	daemons := rec.daemonsByID()
	ended := map[string][]Run{}
	for _, r := range rec.Runs {
		if strings.HasPrefix(r.Body, endingBody) {
			ended[r.Body] = append(ended[r.Body], r)
		}
	}
	for body, runs := range ended {
		sortByTime(runs)
		if len(runs) < enoughEnds {
			continue
		}
		known := runs[enoughEnds-1].Began.Add(touchWindow)
		late := 0
		for _, r := range runs {
			if d := daemons[r.ID]; r.Began.After(known) && !rec.outOfTouch(d, r.Began) {
				late++
			}
		}
		if late > sendsAfterwards {
			found = append(found, fmt.Sprintf("%q was sent %d times more, %d engines ended in all", body, late, len(runs)))
		}
	}
	return found
}
