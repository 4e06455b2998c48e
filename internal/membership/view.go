package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// AddressLifetime is how long callers may cache a list of addresses, and therefore
// how long a leaving host still accepts requests.
const AddressLifetime = 5 * time.Second

// View is one daemon's view of all hosts. It is safe for concurrent use.
type View struct {
	clock clockwork.Clock
	// OnGone is called for each incarnation that is found gone. It must be
	// set before the view is used, and must not call the view.
	OnGone func(Host)
	// Count counts an event by name.
	Count func(name string)
	// Rand returns numbers in [0, 1).
	Rand func() float64
	// Wake receives a signal when an update should be sent at once.
	Wake chan struct{}

	mu   sync.Mutex
	self Host
	// departed is set when this daemon has completed its last request.
	departed bool
	// leavingSince is zero until the daemon is leaving.
	leavingSince time.Time
	hosts        map[HostID]*entry
	changes      changes
	// sorted holds the entries of hosts, sorted by the hosts' ids.
	sorted []*entry
	// sweepAt is zero, or no later than the earliest deadline of a host.
	sweepAt time.Time
	// digest is the combined hash of the hosts that are not gone, selfHash the
	// part of this daemon itself.
	digest, selfHash uint64
	// partners are rebuilt when partnersStale is set, the snapshots when stale
	// is set.
	partnersStale, stale bool
	partners             []Host
	// known holds the hosts that are not gone, active those that are alive and not
	// leaving, ready the active ones that accept work, and gone those that are
	// gone.
	known, active, ready, gone *Snapshot
}

type entry struct {
	update Update
	// idHash is a hash of the host's id, stateHash the host's part of the
	// digest.
	idHash, stateHash uint64
	// since is when the host got its present status.
	since time.Time
	// listedLeaving is set when the platform's list shows the host as leaving
	// during this incarnation.
	listedLeaving bool
}

func (e *entry) gone() bool { return e.update.Status == Gone }

// NewView returns a view that contains only the daemon itself.
func NewView(clock clockwork.Clock, self Host) *View {
	v := &View{
		clock:   clock,
		self:    self,
		hosts:   map[HostID]*entry{},
		OnGone:  func(Host) {},
		Count:   func(string) {},
		Rand:    rand.Float64,
		Wake:    make(chan struct{}, 1),
		changes: newChanges(Position(self.Incarnation)),

		known:  &Snapshot{},
		active: &Snapshot{},
		ready:  &Snapshot{},
		gone:   &Snapshot{},
	}
	v.selfChanged()
	return v
}

// Self returns the state of this daemon.
func (v *View) Self() Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// UpdateSelf changes the state of this daemon. If its lifecycle state changes, the
// update is sent at once.
func (v *View) UpdateSelf(change func(*Host)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.self
	change(&v.self)
	if v.self.State == Leaving && before.State != Leaving {
		v.leavingSince = v.clock.Now()
	}
	if v.self.State != before.State {
		v.announceSelf()
	}
}

// SetLoad sets the number of requests in progress. Only a change by about a
// factor of two becomes an update for all hosts; partners get each value with the
// next heartbeat anyway.
func (v *View) SetLoad(load uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if magnitude(load) != magnitude(v.self.Load) {
		v.self.Sequence++
	}
	v.self.Load = load
}

// magnitude returns how often the load must be halved to fall below idleLoad, so
// that changes of small loads cause no update either.
func magnitude(load uint32) int {
	n := 0
	for load >= idleLoad {
		load /= 2
		n++
	}
	return n
}

// idleLoad is the load below which a host counts as idle.
const idleLoad = 8

// announceSelf increases the sequence number, so that this daemon's state overrides
// all earlier updates of it, and has it sent at once. The caller must hold the
// lock.
func (v *View) announceSelf() {
	v.self.Sequence++
	v.selfChanged()
	v.wake()
}

func (v *View) wake() {
	select {
	case v.Wake <- struct{}{}:
	default:
	}
}

// Accepting reports whether this daemon accepts requests: it is ready, or it is
// leaving and callers may still use a list of addresses that contains it.
func (v *View) Accepting() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.State == Leaving {
		return v.clock.Since(v.leavingSince) < AddressLifetime
	}
	return v.self.State == Ready
}

// Depart announces that this incarnation has terminated. It can't be undone.
func (v *View) Depart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.departed = true
	v.announceSelf()
}

// SelfUpdate returns the update of this daemon's state that is sent to others.
func (v *View) SelfUpdate() Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.selfUpdate()
}

func (v *View) selfUpdate() Update {
	if v.departed {
		return Update{Host: v.self, Status: Gone}
	}
	return Update{Host: v.self, Status: Alive}
}

// Observe applies the state that an alive host has sent of itself.
func (v *View) Observe(h Host) { v.ObserveUpdate(Update{Host: h, Status: Alive}) }

// ObserveUpdate applies an update that a host has sent of itself. Its load and
// table version are newer than in any update relayed by others.
func (v *View) ObserveUpdate(n Update) {
	v.ApplyFrom(n.Host.ID, n)
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.hosts[n.Host.ID]
	if e == nil || e.update.Host.Incarnation != n.Host.Incarnation || e.update.Host.Sequence != n.Host.Sequence {
		return
	}
	e.update.Host.Load = n.Host.Load
	e.update.Host.TableVersion = n.Host.TableVersion
}

// Apply applies an update from a source that is no daemon. An update that is older
// than what is known is ignored.
func (v *View) Apply(n Update) { v.ApplyFrom("", n) }

// ApplyFrom applies an update that another daemon has sent. An update that is older
// than what is known is ignored.
func (v *View) ApplyFrom(source HostID, n Update) {
	if n.Host.ID == "" || n.Status < Alive || n.Status > Gone {
		return
	}
	v.mu.Lock()
	var gone []Host
	if n.Host.ID == v.self.ID {
		v.applyToSelf(n)
	} else {
		gone = v.merge(n, source)
	}
	v.mu.Unlock()
	for _, h := range gone {
		v.OnGone(h)
	}
}

// merge applies an update of another host and returns the incarnation that is gone
// because of it, if any. The caller must hold the lock.
func (v *View) merge(n Update, source HostID) []Host {
	e := v.hosts[n.Host.ID]
	if e == nil {
		e = v.insert(n)
		v.scheduleSweep(e)
		v.changed(e, source, true)
		return nil
	}
	if !n.supersedes(e.update) {
		if !e.update.supersedes(n) {
			v.changes.markKnown(n.Host.ID, source)
		}
		return nil
	}
	old := *e
	replaced := n.Host.Incarnation != old.update.Host.Incarnation
	e.update = n
	if replaced {
		e.listedLeaving = false
	}
	if replaced || n.Status != old.update.Status {
		e.since = v.clock.Now()
		v.scheduleSweep(e)
	}
	v.changed(e, source, replaced || n.Status != old.update.Status || n.Host.State != old.update.Host.State)
	if !old.gone() && (replaced || n.Status == Gone) {
		return []Host{old.update.Host}
	}
	return nil
}

// insert adds a host. The caller must hold the lock.
func (v *View) insert(n Update) *entry {
	e := &entry{update: n, idHash: idHash(n.Host.ID), since: v.clock.Now()}
	v.hosts[n.Host.ID] = e
	i, _ := v.search(n.Host.ID)
	v.sorted = slices.Insert(v.sorted, i, e)
	return e
}

// remove forgets a host that is gone. The caller must hold the lock.
func (v *View) remove(id HostID) {
	delete(v.hosts, id)
	v.changes.remove(id)
	if i, ok := v.search(id); ok {
		v.sorted = slices.Delete(v.sorted, i, i+1)
	}
	v.stale = true
}

// search returns the position of a host in v.sorted, or where to insert it.
func (v *View) search(id HostID) (int, bool) {
	return slices.BinarySearchFunc(v.sorted, id, func(e *entry, id HostID) int { return cmp.Compare(e.update.Host.ID, id) })
}

// changed queues an update of a host for sending to all partners but its source. It
// must be urgent if the host's incarnation, state or status has changed. The caller
// must hold the lock.
func (v *View) changed(e *entry, source HostID, urgent bool) {
	v.changes.put(e.update.Host.ID, source)
	if !urgent {
		return
	}
	before := e.stateHash
	e.stateHash = 0
	if !e.gone() {
		e.stateHash = stateHash(e.idHash, e.update.Host)
	}
	v.digest ^= before ^ e.stateHash
	v.partnersStale = v.partnersStale || before != e.stateHash
	v.stale = true
	v.wake()
}

// MarkListedLeaving marks a host as leaving because the platform's list says so.
// The mark lasts until the host has a new incarnation.
func (v *View) MarkListedLeaving(id HostID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.hosts[id]; e != nil && !e.gone() {
		e.listedLeaving = true
		v.stale = true
	}
}
