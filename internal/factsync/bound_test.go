package factsync

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
)

const (
	// bound is how soon news must be known to every daemon to which nothing
	// has happened for the window: the 2 s that the platform allows less what a
	// request takes from its place to the endpoint.
	bound = 1700 * time.Millisecond
	// window is how long nothing must have happened to a daemon.
	window = 3 * time.Second
	// keyLife is the age of the configuration from which keys are refused, and
	// revokeBound the time after which no daemon may use a key that was taken
	// away.
	keyLife     = 4750 * time.Millisecond
	revokeBound = 5 * time.Second
	// leaveBound is how soon no daemon may name a host that leaves.
	leaveBound = 1500 * time.Millisecond
)

// play is one run of a site with drawn faults.
type play struct {
	*simSite
	wg sync.WaitGroup

	mu     sync.Mutex
	faults []string
}

func (p *play) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf("%.3f s: ", p.clock.Now().Seconds())+fmt.Sprintf(format, args...))
}

// within checks each daemon in touch once the bound is over.
func (p *play) within(what string, d time.Duration, knows func(*simDaemon) bool) {
	p.wg.Go(func() {
		time.Sleep(d)
		for i := range p.daemons {
			if one := p.daemon(i); one.inTouch(window) && !knows(one) {
				age, _ := one.holder.EndpointsAge()
				p.fault("%s is not known to %s after %v; its facts are %v old", what, one.id, d, age)
			}
		}
	})
}

// edit puts a new configuration in force, which takes a key away.
func (p *play) edit(version int) {
	p.store.put("c", strconv.Itoa(version))
	knows := func(d *simDaemon) bool { return d.holder.Summary().Config >= catalog.Version(version) }
	p.within(fmt.Sprintf("configuration %d", version), bound, knows)
	p.wg.Go(func() {
		time.Sleep(revokeBound)
		for i := range p.daemons {
			one := p.daemon(i)
			if age, ok := one.holder.ConfigAge(); ok && age < keyLife && !knows(one) {
				p.fault("%s uses keys of %d, its configuration counts as %v old", one.id, version-1, age)
			}
		}
	})
}

// leaveEndpoint lets an endpoint say that it leaves, or just go, and lets
// another register in its place some seconds later.
func (p *play) leaveEndpoint(i int, drains bool) {
	key := endpointKey(i)
	value := ""
	if drains {
		value = "10.0.0." + strconv.Itoa(i) + " draining"
	}
	at := facts.Position(p.store.put(key, value))
	p.within(fmt.Sprintf("departure of %s at %d", key, at), bound, func(d *simDaemon) bool {
		e, ok := d.holder.Endpoint(facts.EndpointID(key))
		return !ok || e.Gone || e.Draining || e.Changed > at
	})
	p.wg.Go(func() {
		time.Sleep(bound + window)
		p.store.put(key, "10.0.1."+strconv.Itoa(i))
	})
}

// leaveHost lets a daemon leave and start again.
func (p *play) leaveHost(i int) {
	d := p.daemon(i)
	d.mu.Lock()
	d.steady = time.Now()
	d.mu.Unlock()
	d.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	p.within("departure of "+string(d.id), leaveBound, func(other *simDaemon) bool {
		for _, h := range other.view.Ready().All() {
			if h.ID == d.id && h.Incarnation == d.view.Self().Incarnation {
				return false
			}
		}
		return true
	})
	p.wg.Go(func() {
		time.Sleep(2 * leaveBound)
		d.view.Depart()
		time.Sleep(sweepPause)
		p.kill(i)
		p.start(i)
	})
}

// readers returns the hosts that read the store.
func (p *play) readers() (readers []int) {
	for i := range p.daemons {
		if d := p.daemon(i); d.reached() && d.sync.OnDuty() {
			readers = append(readers, i)
		}
	}
	return readers
}

// troubles are what may happen while news is on its way.
var troubles = []func(p *play){
	func(p *play) { // All readers die at once.
		for _, i := range p.readers() {
			p.kill(i)
			p.wg.Go(func() { time.Sleep(time.Second); p.start(i) })
		}
	},
	func(p *play) { // A reader stands still.
		if readers := p.readers(); len(readers) > 0 {
			d := p.daemon(readers[p.pick(len(readers))])
			p.wg.Go(func() { d.pause(2500 * time.Millisecond) })
		}
	},
	func(p *play) { // A host answers slowly.
		d := p.daemon(p.pick(len(p.daemons)))
		d.mu.Lock()
		d.slow = 2 * askTimeout
		d.mu.Unlock()
		p.wg.Go(func() {
			time.Sleep(3 * time.Second)
			d.mu.Lock()
			d.slow, d.steady = 0, time.Now()
			d.mu.Unlock()
		})
	},
	func(p *play) { // All daemons start again.
		for i := range p.daemons {
			p.kill(i)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range p.daemons {
			p.start(i)
		}
	},
	func(p *play) { p.store.forget() },
}

// run draws news and troubles for some simulated seconds.
func (p *play) run(steps int) {
	time.Sleep(2 * window)
	version := 1
	for range steps {
		time.Sleep(time.Duration(p.pick(1500)) * time.Millisecond)
		if p.pick(2) == 0 {
			troubles[p.pick(len(troubles))](p)
		}
		switch p.pick(4) {
		case 0:
			p.leaveEndpoint(p.pick(6), p.pick(2) == 0)
		case 1:
			p.leaveHost(p.pick(len(p.daemons)))
		case 2: // Edits in quick succession.
			for range p.pick(5) {
				version++
				p.edit(version)
				time.Sleep(30 * time.Millisecond)
			}
		default:
			version++
			p.edit(version)
		}
	}
	p.wg.Wait()
	for i := range p.daemons {
		p.kill(i)
	}
	// All that the daemons have begun ends.
	time.Sleep(window)
}

// losses are the shares of datagrams that are lost.
var losses = []float64{0.1, 0.5, 1}

// Guards against news that reaches a daemon only after the bound: endpoints
// and daemons that leave, keys that are taken away, routes that change.
func TestNewsIsKnownWithinTheBound(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			playBound(t, simTerms{seed: seed, hosts: 7, loss: losses[seed%3]}, 12)
		})
	}
	t.Run("beacons passed on", func(t *testing.T) {
		playBound(t, simTerms{seed: 1, hosts: directHosts + 8, loss: losses[0]}, 6)
	})
}

func playBound(t *testing.T, terms simTerms, steps int) {
	synctest.Test(t, func(t *testing.T) {
		p := &play{simSite: newSimSite(terms)}
		p.run(steps)
		for _, f := range p.faults {
			t.Error(f)
		}
	})
}

// Daemons that take any word for what they know must be found out, or the test
// above would prove nothing.
func TestAnyWordIsNotEnough(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 10 && !found; seed++ {
		synctest.Test(t, func(*testing.T) {
			p := &play{simSite: newSimSite(simTerms{seed: seed, hosts: 7, blind: true})}
			p.run(12)
			found = len(p.faults) > 0
		})
	}
	if !found {
		t.Error("no order of events shows the fault")
	}
}
