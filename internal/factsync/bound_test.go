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
	// bound is how soon a change must be known to every daemon that has not been
	// disturbed for stableTime: the 2 s that the platform allows, less the time
	// that a request takes from its placement to the endpoint.
	bound = 1700 * time.Millisecond
	// stableTime is how long a daemon must not have been disturbed.
	stableTime = 3 * time.Second
	// keyRefusalAge is the age of the configuration from which on keys are
	// refused, and revokeBound the time after which no daemon may accept a
	// revoked key.
	keyRefusalAge = 4750 * time.Millisecond
	revokeBound   = 5 * time.Second
	// leaveBound is how soon no daemon may list a leaving host as ready.
	leaveBound = 1500 * time.Millisecond
)

// scenario is one run of a site with random disturbances.
type scenario struct {
	*simSite
	wg sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

func (p *scenario) report(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf("%.3f s: ", p.clock.Now().Seconds())+fmt.Sprintf(format, args...))
}

// checkWithin checks after d that each undisturbed daemon knows of a change.
func (p *scenario) checkWithin(what string, d time.Duration, knows func(*simDaemon) bool) {
	p.wg.Go(func() {
		time.Sleep(d)
		for i := range p.daemons {
			if one := p.daemon(i); one.stableFor(stableTime) && !knows(one) {
				age, _ := one.holder.EndpointsAge()
				p.report("%s is not known to %s after %v; its facts are %v old", what, one.id, d, age)
			}
		}
	})
}

// edit puts a new configuration in force, which revokes a key.
func (p *scenario) edit(version int) {
	p.store.put("c", strconv.Itoa(version))
	knows := func(d *simDaemon) bool { return d.holder.Summary().Config >= catalog.Version(version) }
	p.checkWithin(fmt.Sprintf("configuration %d", version), bound, knows)
	p.wg.Go(func() {
		time.Sleep(revokeBound)
		for i := range p.daemons {
			one := p.daemon(i)
			if age, ok := one.holder.ConfigAge(); ok && age < keyRefusalAge && !knows(one) {
				p.report("%s accepts keys of %d, its configuration counts as %v old", one.id, version-1, age)
			}
		}
	})
}

// leaveEndpoint makes an endpoint announce its departure, or just disappear,
// and another one register in its place some seconds later.
func (p *scenario) leaveEndpoint(i int, drains bool) {
	key := endpointKey(i)
	value := ""
	if drains {
		value = "10.0.0." + strconv.Itoa(i) + " draining"
	}
	at := facts.Position(p.store.put(key, value))
	p.checkWithin(fmt.Sprintf("departure of %s at %d", key, at), bound, func(d *simDaemon) bool {
		e, ok := d.holder.Endpoint(facts.EndpointID(key))
		return !ok || e.Gone || e.Draining || e.Changed > at
	})
	p.wg.Go(func() {
		time.Sleep(bound + stableTime)
		p.store.put(key, "10.0.1."+strconv.Itoa(i))
	})
}

// leaveHost makes a daemon leave and start again.
func (p *scenario) leaveHost(i int) {
	d := p.daemon(i)
	d.mu.Lock()
	d.stableSince = time.Now()
	d.mu.Unlock()
	d.view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	p.checkWithin("departure of "+string(d.id), leaveBound, func(other *simDaemon) bool {
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
func (p *scenario) readers() (readers []int) {
	for i := range p.daemons {
		if d := p.daemon(i); d.reachable() && d.sync.ShouldRead() {
			readers = append(readers, i)
		}
	}
	return readers
}

// disturbances are events that may happen while a change is distributed.
var disturbances = []func(p *scenario){
	func(p *scenario) { // All readers terminate at once.
		for _, i := range p.readers() {
			p.kill(i)
			p.wg.Go(func() { time.Sleep(time.Second); p.start(i) })
		}
	},
	func(p *scenario) { // A reader is paused.
		if readers := p.readers(); len(readers) > 0 {
			d := p.daemon(readers[p.pick(len(readers))])
			p.wg.Go(func() { d.pause(2500 * time.Millisecond) })
		}
	},
	func(p *scenario) { // A host responds slowly.
		d := p.daemon(p.pick(len(p.daemons)))
		d.mu.Lock()
		d.slow = 2 * fetchTimeout
		d.mu.Unlock()
		p.wg.Go(func() {
			time.Sleep(3 * time.Second)
			d.mu.Lock()
			d.slow, d.stableSince = 0, time.Now()
			d.mu.Unlock()
		})
	},
	func(p *scenario) { // All daemons restart.
		for i := range p.daemons {
			p.kill(i)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range p.daemons {
			p.start(i)
		}
	},
	func(p *scenario) { p.store.dropHistory() },
}

// run makes random changes and disturbances for some simulated seconds.
func (p *scenario) run(steps int) {
	time.Sleep(2 * stableTime)
	version := 1
	for range steps {
		time.Sleep(time.Duration(p.pick(1500)) * time.Millisecond)
		if p.pick(2) == 0 {
			disturbances[p.pick(len(disturbances))](p)
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
	// Wait until everything that the daemons have begun ends.
	time.Sleep(stableTime)
}

// losses are the shares of datagrams that are lost.
var losses = []float64{0.1, 0.5, 1}

// Guards against changes that reach a daemon only after the bound: endpoints
// and daemons that leave, revoked keys, changed routes.
func TestNewsIsKnownWithinTheBound(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runBoundScenario(t, simParams{seed: seed, hosts: 7, loss: losses[seed%3]}, 12)
		})
	}
	t.Run("forwarded beacons", func(t *testing.T) {
		runBoundScenario(t, simParams{seed: 1, hosts: maxDirectHosts + 8, loss: losses[0]}, 6)
	})
}

func runBoundScenario(t *testing.T, terms simParams, steps int) {
	synctest.Test(t, func(t *testing.T) {
		p := &scenario{simSite: newSimSite(terms)}
		p.run(steps)
		for _, f := range p.violations {
			t.Error(f)
		}
	})
}

// Daemons that accept any confirmation for what they know must be detected, or
// the test above would prove nothing.
func TestSimulationDetectsUnverifiedConfirmations(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 10 && !found; seed++ {
		synctest.Test(t, func(*testing.T) {
			p := &scenario{simSite: newSimSite(simParams{seed: seed, hosts: 7, unverified: true})}
			p.run(12)
			found = len(p.violations) > 0
		})
	}
	if !found {
		t.Error("no order of events shows a violation")
	}
}
