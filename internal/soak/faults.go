package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/beechhead/beechhead/internal/standin"
	form "github.com/beechhead/beechhead/platform/standin"
)

// restartPause is how long a daemon is gone before it is started again.
const restartPause = 200 * time.Millisecond

// strike brings a fault about and undoes it after its time. It returns when
// all is as before.
func (r *run) strike(f Fault) {
	if f.isAnnounced() {
		r.strikeAnnounced(f)
		return
	}
	note := r.noteFault(f, time.Now())
	switch {
	case f.Kind == KindEndingRequest:
		r.endEngines(f)
	case f.Kind == KindPathLost:
		r.losePath(f)
	case f.Kind == KindEndingPart:
		r.sendEndingPart(f)
	case f.Kind == KindSlowReaders:
		r.readSlowly(f)
	case f.Kind == KindVersionRoll:
		r.rollVersions()
	case f.Kind == KindEnginePause:
		r.pauseEngines(f)
	case f.isEdit():
		r.edit(f)
	case f.ofDaemon():
		r.strikeDaemon(f)
	case f.Kind == KindStoreCopy:
		r.copyStore(f)
	case f.ofStore():
		r.strikeStore(f)
	case f.Kind == KindEngineDrain:
		r.drain(f)
	default:
		r.strikeEngine(f)
	}
	r.endFault(note, time.Now())
}

// strikeAnnounced brings about a fault that consists of announcements. It begins with
// them; other faults of the same engines may delay that.
func (r *run) strikeAnnounced(f Fault) {
	switch f.Kind {
	case KindEngineLimit:
		r.limitEngine(f)
	case KindEngineBrittle:
		r.makeBrittle(f)
	case KindEngineBackoff:
		r.askForBackoff(f)
	case KindEngineLeaving:
		r.leave(f)
	}
}

func (r *run) strikeDaemon(f Fault) {
	r.daemonLocks[f.Target].Lock()
	defer r.daemonLocks[f.Target].Unlock()
	p := r.site.daemon(f.Target)
	switch f.Kind {
	case KindReload:
		p.signal(syscall.SIGHUP)
		r.reviveYoung(f.Target, p)
	case KindPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		p.signal(syscall.SIGCONT)
	case KindStoreCut:
		name := fmt.Sprintf("store%d", f.Target)
		r.must(r.site.post(r.site.relayURL(name, "faults"), standin.RelayFaults{CutTo: f.Target%2 == 0, CutFrom: f.Target%2 == 1}))
		time.Sleep(f.For)
		r.must(r.site.post(r.site.relayURL(name, "faults"), standin.RelayFaults{}))
	case KindKill:
		p.signal(syscall.SIGKILL)
		<-p.done
		time.Sleep(restartPause + f.For/4)
		r.must(r.site.startDaemon(f.Target))
	case KindStop:
		r.noteStop(f.Target, p, time.Now())
		p.signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(grace + stopSlack):
			r.violate("graceful stop", fmt.Sprintf("host-%d still runs %v after SIGTERM", f.Target, grace+stopSlack))
			p.signal(syscall.SIGKILL)
			<-p.done
		}
		time.Sleep(restartPause)
		r.must(r.site.startDaemon(f.Target))
	}
}

// signalTime is how long a signal may take to end a process.
const signalTime = 100 * time.Millisecond

// reviveYoung starts a daemon again that a signal has ended before it had asked
// for its signals, as whoever runs daemons does with a process that ends.
func (r *run) reviveYoung(target int, p *process) {
	select {
	case <-p.done:
	case <-time.After(signalTime):
		return
	}
	if !r.young(target, p) {
		r.violate("processes stay", fmt.Sprintf("host-%d has ended with SIGHUP: %v", target, p.err))
	}
	r.must(r.site.startDaemon(target))
}

// stopSlack is how much longer than the grace a stop may take on a busy
// machine.
const stopSlack = 3 * time.Second

func (r *run) strikeStore(f Fault) {
	faults := map[Kind]form.StoreFaults{
		KindStoreDown:   {Down: true},
		KindStoreSilent: {Silent: true},
		KindStoreSlow:   {DelayMs: 250},
		KindStoreLossy:  {LoseReplies: 3},
	}
	if f.Kind == KindStoreHistory {
		r.must(r.site.post("http://"+r.site.address(standinAddress, portStore)+"/operator", form.Edit{DropHistory: true}))
		return
	}
	r.storeLock.Lock()
	defer r.storeLock.Unlock()
	r.must(r.site.post(r.site.storeURL(), faults[f.Kind]))
	time.Sleep(f.For)
	r.must(r.site.post(r.site.storeURL(), form.StoreFaults{}))
}

func (r *run) strikeEngine(f Fault) {
	r.engineLocks[f.Target].Lock()
	defer r.engineLocks[f.Target].Unlock()
	way := fmt.Sprintf("engine%d", f.Target)
	switch f.Kind {
	case KindEngineSilence:
		r.must(r.site.post(r.site.relayURL(way, "silence"), nil))
		return
	case KindEngineReset:
		r.must(r.site.post(r.site.relayURL(way, "reset"), nil))
		return
	case KindEngineDelay:
		r.must(r.site.post(r.site.relayURL(way, "faults"), standin.RelayFaults{DelayMs: 60}))
		time.Sleep(f.For)
		r.must(r.site.post(r.site.relayURL(way, "faults"), standin.RelayFaults{}))
		return
	}
	faults := map[Kind]form.EngineFaults{
		KindEngineRefuse: {Refuse: true},
		KindEngineFail:   {Fail: true},
		KindEngineHang:   {Hang: true},
		KindEngineCut:    {CutAfter: 5},
		KindEngineTwice:  {Twice: true},
		KindEngineStray:  {Stray: true, StrayNamed: r.o.Plant == plantNameStray},
	}
	r.must(r.setFaults(f.Target, faults[f.Kind]))
	time.Sleep(f.For)
	r.must(r.setFaults(f.Target, form.EngineFaults{}))
}

// setFaults switches an engine's faults but for its announcements, the requests that
// end it and the planted fault. The caller holds the engine's lock.
func (r *run) setFaults(engine int, f form.EngineFaults) error {
	a := r.announced[engine]
	f.Limit, f.Brittle, f.Room, f.Leaving = a.Limit, a.Brittle, a.Room, a.Leaving
	f.BackoffSeconds, f.BackoffShare = a.BackoffSeconds, a.BackoffShare
	f.Version, f.TerminateOnPart = r.site.version(engine), endingPart
	if streamsUnframed(r.o.Seed) && engine%2 == 0 {
		f.Unframed = true
	}
	if r.o.smallMemory() && engine%2 == 0 {
		f.Memory, f.IgnorePriority = smallMemory, r.o.Plant == plantIgnorePriority
	}
	f.TerminateOn, f.HideAnnouncements, f.KeepID = endingBody, r.o.hidesAnnouncements(), r.o.SameIDs
	f.RunTwice, f.Foreign, f.Unsigned = r.o.Plant == plantRunTwice, r.o.Plant == plantForeign, r.o.Plant == plantUnsigned
	if r.o.Plant == plantRunRefused {
		f.RunRefused, f.Refuse = true, true
	}
	return r.site.postEngine(engine, "/faults", f)
}

// drain has an engine announce that it leaves, and come back later. One engine
// of each pool always stays.
func (r *run) drain(f Fault) {
	r.drainLock.Lock()
	defer r.drainLock.Unlock()
	r.rowLocks[f.Target].Lock()
	defer r.rowLocks[f.Target].Unlock()
	r.must(r.site.putEngine(f.Target, true))
	began := time.Now()
	time.Sleep(f.For + drainBound)
	r.noteDrain(f.Target, began, time.Now())
	r.must(r.site.putEngine(f.Target, false))
}

// edit puts a new version of the operators' document in force. It changes timeouts, or
// adds a route and removes the one that such an edit before added; KindRevoke also
// replaces the second key.
func (r *run) edit(f Fault) {
	revoke := f.Kind == KindRevoke
	s := r.site
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 1 + s.config.Version%3
	if f.Kind == KindTimes {
		s.changeTimes(f.Target)
	} else {
		s.replaceRoute()
	}
	old := s.key
	if revoke {
		s.key = fmt.Sprintf("key-%d", s.config.Version)
		s.config.Tenants[0]["api-keys"] = []string{form.SampleKey, s.key}
	}
	r.must(s.putConfig())
	if revoke {
		r.noteRevoked(old, time.Now())
	}
}

// replaceRoute adds a route to the document and removes the one added before. The caller
// must hold the mutex.
func (s *site) replaceRoute() {
	if s.extra != "" {
		s.config.Routes = s.config.Routes[:len(s.config.Routes)-1]
	}
	s.extra = fmt.Sprintf("extra%d", s.config.Version)
	s.config.AddOpenRoute(s.extra)
}
