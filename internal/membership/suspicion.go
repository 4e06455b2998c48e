package membership

import "time"

const (
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout = 500 * time.Millisecond
	// goneRetention is how long a host that is gone is remembered, so that late
	// updates can't make it alive again and it can be probed.
	goneRetention = time.Hour
)

// Suspect marks a host as suspect after its incarnation responded neither on the
// open connection nor on a new one.
func (v *View) Suspect(id HostID, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.hosts[id]
	if e == nil || e.update.Host.Incarnation != incarnation || e.update.Status != Alive {
		return
	}
	e.update.Status = Suspect
	e.since = v.clock.Now()
	v.scheduleSweep(e)
	v.Count("hosts.suspected")
	v.changed(e, "", true)
}

// scheduleSweep makes Sweep run by the deadline of a host. The caller must hold
// the lock.
func (v *View) scheduleSweep(e *entry) {
	at, ok := e.deadline()
	if ok && (v.sweepAt.IsZero() || at.Before(v.sweepAt)) {
		v.sweepAt = at
	}
}

// deadline returns when a suspect becomes gone, or when a host that is gone is
// forgotten, unless a newer update arrives before.
func (e *entry) deadline() (at time.Time, ok bool) {
	switch e.update.Status {
	case Suspect:
		return e.since.Add(SuspicionTimeout), true
	case Gone:
		return e.since.Add(goneRetention), true
	}
	return time.Time{}, false
}

// Sweep marks the suspects that did not refute the suspicion in time as gone, and
// forgets hosts that have been gone for long.
func (v *View) Sweep() {
	for _, h := range v.sweep() {
		v.OnGone(h)
	}
}

// sweep returns the hosts that it has marked as gone.
func (v *View) sweep() (gone []Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.sweepAt.IsZero() || now.Before(v.sweepAt) {
		return nil
	}
	v.sweepAt = time.Time{}
	for id, e := range v.hosts {
		at, ok := e.deadline()
		switch {
		case !ok:
			continue
		case now.Before(at):
		case e.gone():
			v.remove(id)
			continue
		default:
			e.update.Status = Gone
			e.since = now
			v.changed(e, "", true)
			gone = append(gone, e.update.Host)
		}
		v.scheduleSweep(e)
	}
	return gone
}

// RestartSuspicion restarts the suspicion timeout of every suspect. A daemon
// whose process was paused calls it, since refutations may have arrived that it
// has not read.
func (v *View) RestartSuspicion() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.hosts {
		if e.update.Status == Suspect {
			e.since = v.clock.Now()
		}
	}
}

// applyToSelf handles an update of this daemon itself and refutes a wrong status.
// Without it, a host that responded late once would be excluded until it restarts.
func (v *View) applyToSelf(n Update) {
	switch {
	case n.Host.Incarnation > v.self.Incarnation && v.self.State == Starting:
		// The clock was set back since an earlier run. Nothing depends on the
		// incarnation yet, so it can be replaced by a greater one.
		v.self.Incarnation = n.Host.Incarnation + 1
		v.announceSelf()
	case n.Host.Incarnation > v.self.Incarnation:
		v.Count("hosts.duplicate")
	case n.Host.Incarnation == v.self.Incarnation && n.Status != Alive && n.Host.Sequence >= v.self.Sequence && !v.departed:
		v.Count("hosts.refuted")
		v.self.Sequence = n.Host.Sequence
		v.announceSelf()
	}
}
