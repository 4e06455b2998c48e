package membership

import (
	"cmp"
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

// rebuild updates the snapshots if they are stale. The caller must hold the lock.
func (v *View) rebuild() {
	if !v.stale {
		return
	}
	v.stale = false
	self := &entry{update: Update{Host: v.self, Status: Alive}}
	v.known = v.known.selected(v.sorted, self, func(e *entry) bool { return !e.gone() })
	v.active = v.active.selected(v.sorted, self, (*entry).active)
	v.ready = v.ready.selected(v.sorted, self, (*entry).ready)
	v.gone = v.gone.selected(v.sorted, self, (*entry).gone)
}

// active reports whether the host is alive and not leaving.
func (e *entry) active() bool {
	return e.update.Status == Alive && e.update.Host.State != Leaving && !e.listedLeaving
}

// ready reports whether the host accepts work.
func (e *entry) ready() bool { return e.active() && e.update.Host.State == Ready }

// selected returns a snapshot of the hosts for which keep returns true, among
// entries sorted by id and self. It is s itself if the hosts are the same, so that
// what s has derived from them is kept.
func (s *Snapshot) selected(entries []*entry, self *entry, keep func(*entry) bool) *Snapshot {
	// same counts the leading hosts that are in s as well. Only what differs is
	// copied.
	same := 0
	var hosts []Host
	add := func(e *entry) {
		if !keep(e) {
			return
		}
		h := e.update.Host.withoutVolatile()
		if hosts == nil && same < len(s.hosts) && s.hosts[same] == h {
			same++
			return
		}
		if hosts == nil {
			hosts = append(make([]Host, 0, len(s.hosts)+1), s.hosts[:same]...)
		}
		hosts = append(hosts, h)
	}
	at, _ := slices.BinarySearchFunc(entries, self.update.Host.ID, func(e *entry, id HostID) int { return cmp.Compare(e.update.Host.ID, id) })
	for _, e := range entries[:at] {
		add(e)
	}
	add(self)
	for _, e := range entries[at:] {
		add(e)
	}
	switch {
	case hosts != nil:
		return &Snapshot{hosts: hosts}
	case same < len(s.hosts):
		return &Snapshot{hosts: s.hosts[:same:same]}
	}
	return s
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

// StartingCount returns the number of other hosts that are alive and not ready yet.
func (v *View) StartingCount() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.hosts {
		if e.update.Status == Alive && e.update.Host.State == Starting {
			n++
		}
	}
	return n
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
