package membership

import (
	"slices"
	"time"
)

// Hosts returns the hosts that are not gone, including this daemon's own.
func (v *View) Hosts() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.known
}

// Ready returns the alive hosts that accept work.
func (v *View) Ready() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.ready
}

// Active returns the hosts that are alive and not leaving: those that are ready
// and those that are still starting.
func (v *View) Active() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.active
}

// Gone returns the hosts that are gone and remembered, since they may come
// back.
func (v *View) Gone() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.gone
}

// Current returns the hosts that are not gone, sorted by id, with the load and
// table version that they reported last.
func (v *View) Current() []Host { return v.current(v.Hosts()) }

// current returns the hosts of a snapshot with their latest known state.
func (v *View) current(s *Snapshot) []Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	hosts := slices.Clone(s.hosts)
	for i, h := range hosts {
		if h.ID == v.self.ID {
			hosts[i] = v.self
		} else if e := v.hosts[h.ID]; e != nil {
			hosts[i] = e.update.Host
		}
	}
	return hosts
}

// rebuildSnapshots updates the snapshots. The caller must hold the lock.
func (v *View) rebuildSnapshots() {
	known, active, ready, gone := []Host{v.self}, []Host{}, []Host{}, []Host{}
	if v.self.State == Ready {
		ready = append(ready, v.self)
	}
	if v.self.State != Leaving {
		active = append(active, v.self)
	}
	for _, e := range v.hosts {
		h := e.update.Host
		if e.gone() {
			gone = append(gone, h)
			continue
		}
		known = append(known, h)
		if e.active() {
			active = append(active, h)
		}
		if e.active() && h.State == Ready {
			ready = append(ready, h)
		}
	}
	v.known = v.known.withHosts(known)
	v.active = v.active.withHosts(active)
	v.ready = v.ready.withHosts(ready)
	v.gone = v.gone.withHosts(gone)
}

// active reports whether the host is alive and not leaving.
func (e *entry) active() bool {
	return e.update.Status == Alive && e.update.Host.State != Leaving && !e.listedLeaving
}

// withHosts returns a snapshot of the hosts. It is s itself if the hosts are the
// same, so that what s has derived from them is kept.
func (s *Snapshot) withHosts(hosts []Host) *Snapshot {
	next := NewSnapshot(hosts)
	if slices.Equal(s.hosts, next.hosts) {
		return s
	}
	return next
}

// missingPeriod is how long a host that is gone without having left counts as
// missing.
const missingPeriod = 10 * time.Minute

// InMinority reports whether fewer than half of the expected hosts are alive,
// this daemon's own included. Hosts that have left are not expected.
func (v *View) InMinority() bool {
	alive, missing := v.countHosts()
	return alive < missing
}

// MissingCount returns the number of expected hosts that are suspect or gone.
func (v *View) MissingCount() int {
	_, missing := v.countHosts()
	return missing
}

// countHosts counts the hosts that are alive, including this daemon's own, and
// those that are missing: suspect, or gone without having left.
func (v *View) countHosts() (alive, missing int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	alive = 1
	for _, e := range v.hosts {
		switch {
		case e.update.Status == Alive:
			alive++
		case e.gone() && (e.update.Host.State == Leaving || v.clock.Since(e.since) > missingPeriod):
		default:
			missing++
		}
	}
	return alive, missing
}
