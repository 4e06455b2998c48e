package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/platform/standin"
)

// Options of a run.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Dir takes the logs and the record of a run that fails.
	Dir  string
	Seed uint64
	// Daemons, Engines and Callers are how many there are; of the engines
	// those with even numbers run streams.
	Daemons, Engines, Callers int
	// Length is how long faults come.
	Length time.Duration
	// Network is the number of the loopback network at which the search for an unused one
	// begins.
	Network int
	// Plant names a fault of the stand-ins that breaks a promise, to show that
	// the checks can fail; see standin.EngineFaults.
	Plant string
	// SameIDs has engines that have ended start again under their ids, at a time when
	// only their old registrations are known.
	SameIDs bool
	// SmallMemory gives the engines that run streams a memory that runs out, and one
	// account a tier of its own.
	SmallMemory bool
	// Pauses has engines pause beside planned work, and brings about no other fault.
	Pauses bool
	// Keep keeps the logs of all runs, not only of those that fail.
	Keep bool
	Out  io.Writer
}

const (
	// recovery is how long after the last fault everything must be well again.
	recovery = 8 * time.Second
	// lastingTime is how long faults that last go on after the others.
	lastingTime = 8 * time.Second
	// calmTime is how long it is then looked at.
	calmTime = 2 * time.Second
)

// run is one run of the soak.
type run struct {
	recorder
	o    *Options
	site *site
	ctx  context.Context

	daemonLocks, engineLocks []sync.Mutex
	// rowLocks are held while the registration of an engine changes: it leaves, or
	// starts again. copyLock is held while the store is replaced, and for reading while
	// an engine starts again; drainLock allows one engine at a time to leave, and none
	// while the store is replaced.
	rowLocks []sync.Mutex
	copyLock sync.RWMutex
	// announced holds what each engine announces, under its lock.
	announced []standin.EngineFaults
	// lasting ends with the faults that last.
	lasting              context.Context
	storeLock, drainLock sync.Mutex
}

// Verdict is the result of a run.
type Verdict struct {
	Seed       uint64      `json:"seed"`
	Calls      int         `json:"calls"`
	Served     int         `json:"served"`
	Runs       int         `json:"runs"`
	Faults     int         `json:"faults"`
	Violations []Violation `json:"violations"`
	// Kept is the directory with the logs of a run that failed.
	Kept string `json:"kept,omitempty"`
}

// Play plays one seed.
func Play(ctx context.Context, o *Options) (v Verdict, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "soak, seed %d", o.Seed)
		}
	}()
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return v, err
	}
	network, release, err := reserveNetwork(o.Network)
	if err != nil {
		return v, err
	}
	defer release()
	r := &run{
		o: o, ctx: ctx,
		daemonLocks: make([]sync.Mutex, o.Daemons),
		engineLocks: make([]sync.Mutex, o.Engines),
		rowLocks:    make([]sync.Mutex, o.Engines),
		announced:   make([]standin.EngineFaults, o.Engines),
	}
	r.site = &site{
		o: o, procs: newProcesses(dir), network: network,
		// Stand-ins close idle connections, also while an order is written, and orders
		// are not sent twice.
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true,
		}},
		config: standin.SampleDocument(), key: "key-2", pauseLocks: make([]sync.RWMutex, o.Engines),
	}
	r.rec.Daemons = o.Daemons
	if o.smallMemory() {
		rankAccounts(&r.site.config)
	}
	defer r.site.procs.endAll()
	if err := r.site.start(ctx); err != nil {
		return v, err
	}
	if err := r.plant(); err != nil {
		return v, err
	}
	if err := r.play(); err != nil {
		return v, err
	}
	return r.verdict(dir)
}

// plant switches on the planted fault of the engines.
func (r *run) plant() error {
	for i := range r.o.Engines {
		if err := r.setFaults(i, standin.EngineFaults{}); err != nil {
			return err
		}
	}
	if r.o.Plant == plantEndSilent {
		return r.endSilentAnswers()
	}
	return nil
}

// play has callers and faults at work, then a time to recover and a calm one.
func (r *run) play() error {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.rec.Began = time.Now()
	for i := range r.o.Engines {
		r.noteStart(i, r.rec.Began)
	}
	var endLasting context.CancelFunc
	r.lasting, endLasting = context.WithCancel(ctx)
	defer endLasting()
	var callers, faults, lasting sync.WaitGroup
	callers.Go(func() { r.callers(ctx) })
	callers.Go(func() { r.registerStarts(ctx) })
	plan := r.o.plan()
	for _, f := range plan {
		group := &faults
		if f.lasts() {
			group = &lasting
		}
		group.Go(func() {
			if r.sleep(time.Until(r.rec.Began.Add(f.At))) {
				r.strike(f)
			}
		})
	}
	faults.Wait()
	if slices.ContainsFunc(plan, Fault.lasts) {
		r.sleep(time.Until(r.rec.Began.Add(r.o.Length)))
		r.sleep(lastingTime)
	}
	endLasting()
	lasting.Wait()
	r.sleep(recovery)
	r.rec.Calm = time.Now()
	r.sleep(calmTime)
	r.rec.Ended = time.Now()
	cancel()
	callers.Wait()
	if err := r.ctx.Err(); err != nil {
		return err
	}
	r.lookForEnds()
	r.askAll()
	if err := r.collect(); err != nil {
		return errors.Wrapf(err, "collect what was run, noted before: %v", r.rec.Noted)
	}
	return nil
}

// sleep waits; false means that the run is to end.
func (r *run) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// must notes a failure of the soak itself, which must not pass for a success.
func (r *run) must(err error) {
	if err != nil {
		r.violate("the soak itself", err.Error())
	}
}

// lookForEnds finds processes that have ended by themselves.
func (r *run) lookForEnds() {
	r.site.procs.mu.Lock()
	defer r.site.procs.mu.Unlock()
	newest := map[string]*process{}
	for _, p := range r.site.procs.all {
		newest[p.name] = p
	}
	for name, p := range newest {
		if p.gone() {
			r.violate("processes stay", fmt.Sprintf("%s has ended by itself: %v", name, p.err))
		}
	}
}

// collect reads what the engines have run and what the API of the duties has seen.
func (r *run) collect() error {
	for i := range r.o.Engines {
		runs, err := r.site.runs(i)
		if err != nil {
			return err
		}
		for _, one := range runs {
			r.rec.Runs = append(r.rec.Runs, Run{Run: one, Engine: i})
		}
		var arrivals []standin.Arrival
		if err := r.site.getEngine(i, "/arrivals", &arrivals); err != nil {
			return err
		}
		for _, one := range arrivals {
			r.rec.Arrivals = append(r.rec.Arrivals, Arrival{Arrival: one, Engine: i})
		}
		var preemptions []standin.Preemption
		if err := r.site.getEngine(i, "/preemptions", &preemptions); err != nil {
			return err
		}
		r.rec.Preemptions = append(r.rec.Preemptions, preemptions...)
	}
	return r.site.get("http://"+r.site.address(standinAddress, portStore)+standin.PathDuties, &r.rec.Duties)
}

// verdict checks the record. What a failed run has left stays for the search.
func (r *run) verdict(dir string) (Verdict, error) {
	rec := r.finish()
	v := Verdict{Seed: r.o.Seed, Calls: len(rec.Calls), Runs: len(rec.Runs), Faults: len(rec.Faults), Violations: Find(rec)}
	for _, c := range rec.Calls {
		if c.served() {
			v.Served++
		}
	}
	if len(v.Violations) == 0 && !r.o.Keep {
		return v, os.RemoveAll(dir)
	}
	v.Kept = dir
	data, err := json.MarshalIndent(rec, "", " ")
	if err != nil {
		return v, err
	}
	return v, os.WriteFile(filepath.Join(dir, "record.json"), data, 0o600)
}

// Print writes the verdict, and the plan of a run that failed.
func (v *Verdict) Print(o *Options) {
	word := "kept"
	if len(v.Violations) > 0 {
		word = "BROKEN"
	}
	fmt.Fprintf(o.Out, "seed %d: all promises %s; %d faults, %d requests, %d served, %d runs\n", v.Seed, word, v.Faults, v.Calls, v.Served, v.Runs)
	if len(v.Violations) == 0 {
		return
	}
	for _, one := range v.Violations {
		fmt.Fprintf(o.Out, "  %s: %s\n", one.Promise, one.What)
	}
	fmt.Fprintf(o.Out, "  logs and record are in %s; the plan was\n", v.Kept)
	for _, f := range o.plan() {
		fmt.Fprintf(o.Out, "    %s\n", f)
	}
}
