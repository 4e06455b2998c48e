package membership

import (
	"slices"
	"time"
)

// Hosts returns the hosts that are not gone, the daemon itself included.
func (v *View) Hosts() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.known
}

// Ready returns the hosts that take work.
func (v *View) Ready() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.ready
}

// Staying returns the hosts that are alive and not on their way out: those that
// take work and those that will.
func (v *View) Staying() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.staying
}

// Unreached returns the hosts that are gone, which may come back.
func (v *View) Unreached() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.unreached
}

// Current returns the hosts that are not gone, sorted by id, with the load and
// table version that they told last.
func (v *View) Current() []Host { return v.current(v.Hosts()) }

// current returns the hosts of a snapshot as they are known now.
func (v *View) current(s *Snapshot) []Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	hosts := slices.Clone(s.hosts)
	for i, h := range hosts {
		if h.ID == v.self.ID {
			hosts[i] = v.self
		} else if e := v.hosts[h.ID]; e != nil {
			hosts[i] = e.news.Host
		}
	}
	return hosts
}

// takeSnapshots brings the snapshots up to date. The caller holds the lock.
func (v *View) takeSnapshots() {
	known, staying, ready, unreached := []Host{v.self}, []Host{}, []Host{}, []Host{}
	if v.self.State == Ready {
		ready = append(ready, v.self)
	}
	if v.self.State != Leaving {
		staying = append(staying, v.self)
	}
	for _, e := range v.hosts {
		h := e.news.Host
		if e.gone() {
			unreached = append(unreached, h)
			continue
		}
		known = append(known, h)
		if e.stays() {
			staying = append(staying, h)
		}
		if e.stays() && h.State == Ready {
			ready = append(ready, h)
		}
	}
	v.known = v.known.replaced(known)
	v.staying = v.staying.replaced(staying)
	v.ready = v.ready.replaced(ready)
	v.unreached = v.unreached.replaced(unreached)
}

func (e *entry) stays() bool {
	return e.news.Status == Alive && e.news.Host.State != Leaving && !e.listedLeaving
}

// replaced returns a snapshot of hosts: this one if it has the same.
func (s *Snapshot) replaced(hosts []Host) *Snapshot {
	next := NewSnapshot(hosts)
	if slices.Equal(s.hosts, next.hosts) {
		return s
	}
	return next
}

// missedFor is how long a host that did not leave by itself counts as missed.
const missedFor = 10 * time.Minute

// InMinority tells whether fewer than half of the hosts that should be there
// are heard of, this daemon included. Hosts that left by themselves are not
// missed.
func (v *View) InMinority() bool {
	heard, missed := v.count()
	return heard < missed
}

// Missed returns how many hosts should be there but are not heard of.
func (v *View) Missed() int {
	_, missed := v.count()
	return missed
}

func (v *View) count() (heard, missed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	heard = 1
	for _, e := range v.hosts {
		switch {
		case e.news.Status == Alive:
			heard++
		case e.gone() && (e.news.Host.State == Leaving || v.clock.Since(e.since) > missedFor):
		default:
			missed++
		}
	}
	return heard, missed
}
