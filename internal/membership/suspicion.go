package membership

import "time"

const (
	// SuspicionTimeout is how long a suspect may take to refute it.
	SuspicionTimeout = 500 * time.Millisecond
	// rememberGone is how long a host that is gone is remembered, so that
	// old news can't revive it and it can be looked for again.
	rememberGone = time.Hour
)

// Suspect notes that an incarnation answered neither on its connection nor on
// a new one.
func (v *View) Suspect(id HostID, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.hosts[id]
	if e == nil || e.news.Host.Incarnation != incarnation || e.news.Status != Alive {
		return
	}
	e.news.Status = Suspect
	e.since = v.clock.Now()
	v.schedule(e)
	v.Count("hosts.suspected")
	v.changed(id, true)
}

// schedule has Sweep look at a host when its time is over. The caller holds the
// lock.
func (v *View) schedule(e *entry) {
	at, ok := e.ends()
	if ok && (v.sweepAt.IsZero() || at.Before(v.sweepAt)) {
		v.sweepAt = at
	}
}

// ends returns when a host that stays silent is gone or forgotten.
func (e *entry) ends() (at time.Time, ok bool) {
	switch e.news.Status {
	case Suspect:
		return e.since.Add(SuspicionTimeout), true
	case Gone:
		return e.since.Add(rememberGone), true
	}
	return time.Time{}, false
}

// Sweep finds the suspects that did not refute it in time, and forgets hosts
// that have been gone for long.
func (v *View) Sweep() {
	for _, h := range v.sweep() {
		v.OnGone(h)
	}
}

func (v *View) sweep() (ended []Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.sweepAt.IsZero() || now.Before(v.sweepAt) {
		return nil
	}
	v.sweepAt = time.Time{}
	for id, e := range v.hosts {
		at, ok := e.ends()
		switch {
		case !ok:
			continue
		case now.Before(at):
		case e.gone():
			delete(v.hosts, id)
			v.stale = true
			continue
		default:
			e.news.Status = Gone
			e.since = now
			v.changed(id, true)
			ended = append(ended, e.news.Host)
		}
		v.schedule(e)
	}
	return ended
}

// Forgive gives every suspect its full time again. A daemon that was paused
// calls it, because refutations may have come meanwhile that it has not read.
func (v *View) Forgive() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.hosts {
		if e.news.Status == Suspect {
			e.since = v.clock.Now()
		}
	}
}

// hearOfSelf refutes what others wrongly think of this daemon. Without it, a
// host that answered late once would stay out until it restarts.
func (v *View) hearOfSelf(n News) {
	switch {
	case n.Host.Incarnation > v.self.Incarnation && v.self.State == Starting:
		// The clock was set back since an earlier run. Nothing depends on
		// the incarnation yet, so a greater one can be taken.
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
