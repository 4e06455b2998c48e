// Package soak runs the real programs as separate processes on loopback, brings
// about overlapping faults that follow from a seed, and checks the promises to
// callers and operators by what callers and endpoints see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Those of daemons are brought about by signals, the others
// by the stand-ins and the relays.
const (
	KindKill   Kind = "kill"
	KindPause  Kind = "pause"
	KindStop   Kind = "stop"
	KindReload Kind = "reload"

	KindStoreDown    Kind = "storeDown"
	KindStoreSilent  Kind = "storeSilent"
	KindStoreSlow    Kind = "storeSlow"
	KindStoreLossy   Kind = "storeLossy"
	KindStoreHistory Kind = "storeHistory"
	KindStoreCut     Kind = "storeCut"
	// KindStoreCopy makes the store go away for a moment and come back from a copy.
	KindStoreCopy Kind = "storeCopy"

	KindEngineRefuse Kind = "engineRefuse"
	KindEngineFail   Kind = "engineFail"
	KindEngineHang   Kind = "engineHang"
	KindEngineReset  Kind = "engineReset"
	KindEngineCut    Kind = "engineCut"
	KindEngineTwice  Kind = "engineTwice"
	// KindEngineStray makes an instance of a plain service send refusals that answer no
	// request.
	KindEngineStray   Kind = "engineStray"
	KindEngineSilence Kind = "engineSilence"
	KindEngineDelay   Kind = "engineDelay"
	KindEngineDrain   Kind = "engineDrain"
	KindEngineLimit   Kind = "engineLimit"
	// KindEngineBrittle makes the engines of a pool announce that they terminate if
	// they have to turn away too many requests. KindEngineBackoff makes an engine ask
	// for back-off, KindEngineLeaving announce that it is leaving.
	KindEngineBrittle Kind = "engineBrittle"
	KindEngineBackoff Kind = "engineBackoff"
	KindEngineLeaving Kind = "engineLeaving"
	// KindVersionRoll ends the engines that run streams one after the other; each comes
	// back with the next software version.
	KindVersionRoll Kind = "versionRoll"
	// KindPathLost makes daemons lose their path to all engines.
	KindPathLost Kind = "pathLost"
	// KindEndingRequest is a request that ends each engine that begins to run
	// it, and that its caller sends again and again.
	KindEndingRequest Kind = "endingRequest"
	// KindEndingPart is a part of prompts that ends each engine that begins to write a
	// response, in requests of which no two are alike.
	KindEndingPart Kind = "endingPart"

	// KindSlowReaders is callers that read a few KB a second.
	KindSlowReaders Kind = "slowReaders"

	// KindEnginePause stops the processes of engines for a time.
	KindEnginePause Kind = "enginePause"

	KindConfig Kind = "config"
	KindRevoke Kind = "revoke"
	// KindTimes is an edit that changes the timeouts of routes and of idle connections.
	KindTimes Kind = "times"
)

// kinds holds the kinds with how often each is drawn.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{KindKill, 3}, {KindPause, 2}, {KindStop, 4}, {KindReload, 2},
	{KindStoreDown, 2}, {KindStoreSilent, 1}, {KindStoreSlow, 1}, {KindStoreLossy, 1}, {KindStoreHistory, 1}, {KindStoreCut, 3},
	{KindEngineRefuse, 1}, {KindEngineFail, 1}, {KindEngineHang, 1}, {KindEngineReset, 2}, {KindEngineCut, 2}, {KindEngineTwice, 1},
	{KindEngineSilence, 2}, {KindEngineDelay, 1}, {KindEngineDrain, 2},
	{KindConfig, 3}, {KindRevoke, 3},
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind `json:"kind"`
	// At is counted from the beginning, For how long it lasts; zero is beyond
	// all others.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target is the number of the daemon or engine, where the kind has one.
	Target int `json:"target"`
	// Spread is which daemons lose their path, or which engines are paused; Path is
	// how the path is lost.
	Spread Spread            `json:"spread,omitempty"`
	Path   standin.PathState `json:"path,omitempty"`
}

// String returns the fault as a line of a plan.
func (f Fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%6.2fs %-13s %d for %v %s %s", f.At.Seconds(), f.Kind, f.Target, f.For.Round(10*time.Millisecond), f.Spread, f.Path))
}

// planned reports whether a fault is one beside which nothing may be cut off, such
// as work that an operator plans.
func (f Fault) planned() bool {
	switch f.Kind {
	case KindStop, KindReload, KindConfig, KindRevoke, KindTimes, KindEngineDrain, KindEngineLimit, KindEngineBackoff, KindSlowReaders:
		return true
	}
	return false
}

// isEdit reports whether the fault is an edit of the operators' document.
func (f Fault) isEdit() bool {
	return f.Kind == KindConfig || f.Kind == KindRevoke || f.Kind == KindTimes
}

// ofDaemon reports whether the target of a fault is a daemon.
func (f Fault) ofDaemon() bool {
	switch f.Kind {
	case KindKill, KindPause, KindStop, KindReload, KindStoreCut:
		return true
	}
	return false
}

// ofStore reports whether all daemons find the store in trouble.
func (f Fault) ofStore() bool {
	switch f.Kind {
	case KindStoreDown, KindStoreSilent, KindStoreSlow, KindStoreLossy, KindStoreHistory, KindStoreCopy:
		return true
	}
	return false
}

const (
	// minFault and maxFault bound how long a fault lasts.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// faultGap is the mean time between the beginnings of two faults; they
	// last longer, so that they overlap.
	faultGap = 500 * time.Millisecond
	// seriesShare is the part of the faults that comes in a series of the same
	// kind, seriesGap the time between its members.
	seriesShare = 0.25
	seriesGap   = 250 * time.Millisecond
)

// Plan draws the faults of a seed.
func Plan(seed uint64, daemons, engines int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a plan
	var plan []Fault
	for at := time.Second; at < length; {
		f := Fault{Kind: drawKind(random), At: at, For: minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))}
		n := 1
		if random.Float64() < seriesShare {
			n = 2 + random.IntN(2)
		}
		for range n {
			f.Target = random.IntN(engines)
			if f.ofDaemon() {
				f.Target = random.IntN(daemons)
			}
			plan = append(plan, f)
			f.At += seriesGap
		}
		at += time.Duration(random.ExpFloat64() * float64(faultGap))
	}
	plan = append(plan, lastingFaults(seed, engines, length)...)
	plan = append(plan, storeCopies(seed, length)...)
	plan = append(plan, announcedFaults(seed, engines, length)...)
	plan = append(plan, pathFaults(seed, daemons, length)...)
	plan = append(plan, versionRolls(seed, length)...)
	plan = append(plan, pauseFaults(seed, daemons, engines, length)...)
	plan = append(plan, strayFaults(seed, engines, length)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

const (
	// strayShare is how often a run has stray refusals, maxStrays how many times.
	strayShare = 0.5
	maxStrays  = 3
)

// strayFaults draws them apart from the others, which so stay as they are. Instances of a
// plain service have odd numbers.
func strayFaults(seed uint64, engines int, length time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, 10)) //nolint:gosec // a plan
	if random.Float64() >= strayShare {
		return nil
	}
	for range 1 + random.IntN(maxStrays) {
		plan = append(plan, Fault{
			Kind: KindEngineStray, At: time.Duration(random.Int64N(int64(length))), For: maxFault,
			Target: 1 + 2*random.IntN(engines/2),
		})
	}
	return plan
}

// lastingShare is how often a run has a fault of each kind that lasts.
const lastingShare = 0.5

// lastingKinds holds the kinds that go on for a while after the others: what
// daemons do about them is looked at when nothing else troubles them.
var lastingKinds = []Kind{KindEngineLimit, KindEndingRequest, KindEndingPart, KindSlowReaders}

func (f Fault) lasts() bool {
	return slices.Contains(lastingKinds, f.Kind) || slices.Contains(announcedKinds, f.Kind)
}

// isAnnounced reports whether the fault begins with an announcement of an engine.
func (f Fault) isAnnounced() bool {
	return f.Kind == KindEngineLimit || slices.Contains(announcedKinds, f.Kind)
}

// lastingFaults draws them apart from the others, which so stay as they are.
func lastingFaults(seed uint64, engines int, length time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a plan
	for _, kind := range lastingKinds {
		f := Fault{Kind: kind, At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(engines)}
		if random.Float64() < lastingShare {
			plan = append(plan, f)
		}
	}
	return plan
}

const (
	// copyShare is how often a run has a store that comes back from a copy;
	// half of these come back twice in a row.
	copyShare = 0.5
	// copyAway is how long the store is away before.
	copyAway = 300 * time.Millisecond
)

// storeCopies draws returns of the store apart from the others. Their time is
// the age of the copy.
func storeCopies(seed uint64, length time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // a plan
	if random.Float64() >= copyShare {
		return nil
	}
	f := Fault{Kind: KindStoreCopy, At: time.Duration(random.Int64N(int64(length)))}
	for range 1 + random.IntN(2) {
		f.For = minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		plan = append(plan, f)
		f.At += seriesGap
	}
	return plan
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	at := random.IntN(total)
	for _, k := range kinds {
		if at -= k.weight; at < 0 {
			return k.kind
		}
	}
	return KindKill
}
