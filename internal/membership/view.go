package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// AddressLifetime is how long callers may keep an answer of addresses, and
// therefore how long a leaving host still accepts requests.
const AddressLifetime = 5 * time.Second

// View is one daemon's knowledge of all hosts. It is safe for concurrent use.
type View struct {
	clock clockwork.Clock
	// OnGone is called for each incarnation that is found gone. It must be
	// set before the view is used and must not call the view.
	OnGone func(Host)
	// Count counts an event by name.
	Count func(name string)
	// Rand returns numbers in [0, 1).
	Rand func() float64
	// Wake has a signal when there is news that should be sent at once.
	Wake chan struct{}

	mu   sync.Mutex
	self Host
	// departed is set when this daemon's last request has ended.
	departed bool
	// leavingSince is zero until the daemon is leaving.
	leavingSince time.Time
	hosts        map[HostID]*entry
	changes      changes
	// sweepAt is no later than when Sweep has something to do.
	sweepAt time.Time
	// rings, digest and the snapshots are rebuilt when stale is set.
	stale  bool
	rings  []Host
	digest uint64
	// known has the hosts that are not gone, staying those that are alive and
	// not on their way out, ready those that take work, and unreached those that
	// are gone.
	known, staying, ready, unreached *Snapshot
}

type entry struct {
	news News
	// since is when the status was taken on.
	since time.Time
	// listedLeaving says that the platform has put the host on its way out
	// during this incarnation.
	listedLeaving bool
}

func (e *entry) gone() bool { return e.news.Status == Gone }

// NewView returns a view that knows only the daemon itself.
func NewView(clock clockwork.Clock, self Host) *View {
	return &View{
		clock:   clock,
		self:    self,
		hosts:   map[HostID]*entry{},
		OnGone:  func(Host) {},
		Count:   func(string) {},
		Rand:    rand.Float64,
		Wake:    make(chan struct{}, 1),
		changes: changes{},
		stale:   true,

		known:     &Snapshot{},
		staying:   &Snapshot{},
		ready:     &Snapshot{},
		unreached: &Snapshot{},
	}
}

// Self returns what the daemon says of itself.
func (v *View) Self() Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// UpdateSelf changes what the daemon says of itself, and has it sent at once
// if its state has changed.
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

// SetLoad sets the number of requests in progress. It is news to all hosts
// only when it has doubled or halved; partners hear each value anyway.
func (v *View) SetLoad(load uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if magnitude(load) != magnitude(v.self.Load) {
		v.self.Sequence++
	}
	v.self.Load = load
}

// magnitude returns the number of binary digits, so that small changes of
// small loads are no news either.
func magnitude(load uint32) int {
	n := 0
	for load >= minNewsLoad {
		load /= 2
		n++
	}
	return n
}

// minNewsLoad is the load under which a host counts as idle.
const minNewsLoad = 8

// announceSelf makes the own state newer than all that was said of it. The
// caller holds the lock.
func (v *View) announceSelf() {
	v.self.Sequence++
	v.stale = true
	v.wake()
}

func (v *View) wake() {
	select {
	case v.Wake <- struct{}{}:
	default:
	}
}

// Accepting tells whether this daemon takes requests: it is ready, or it is
// leaving and callers may still follow an old answer of addresses.
func (v *View) Accepting() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.State == Leaving {
		return v.clock.Since(v.leavingSince) < AddressLifetime
	}
	return v.self.State == Ready
}

// Depart says that this incarnation is over. It can't be taken back.
func (v *View) Depart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.departed = true
	v.announceSelf()
}

// SelfNews returns the own state as it is sent to others.
func (v *View) SelfNews() News {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.selfNews()
}

func (v *View) selfNews() News {
	if v.departed {
		return News{Host: v.self, Status: Gone}
	}
	return News{Host: v.self, Status: Alive}
}

// Observe takes in what a host has just said of itself.
func (v *View) Observe(h Host) { v.ObserveNews(News{Host: h, Status: Alive}) }

// ObserveNews takes in what a host has just said of itself. Load and table
// version are newer in it than in any news that was passed on.
func (v *View) ObserveNews(n News) {
	v.Apply(n)
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.hosts[n.Host.ID]
	if e == nil || e.news.Host.Incarnation != n.Host.Incarnation || e.news.Host.Sequence != n.Host.Sequence {
		return
	}
	e.news.Host.Load = n.Host.Load
	e.news.Host.TableVersion = n.Host.TableVersion
}

// Apply takes in news that was passed on. Older news than what is known is
// ignored.
func (v *View) Apply(n News) {
	if n.Host.ID == "" || n.Status < Alive || n.Status > Gone {
		return
	}
	v.mu.Lock()
	var ended []Host
	if n.Host.ID == v.self.ID {
		v.hearOfSelf(n)
	} else {
		ended = v.merge(n)
	}
	v.mu.Unlock()
	for _, h := range ended {
		v.OnGone(h)
	}
}

// merge takes in news of another host and returns the incarnations that it
// ends. The caller holds the lock.
func (v *View) merge(n News) []Host {
	e := v.hosts[n.Host.ID]
	if e == nil {
		e = &entry{news: n, since: v.clock.Now()}
		v.hosts[n.Host.ID] = e
		v.schedule(e)
		v.changed(n.Host.ID, true)
		return nil
	}
	if !n.supersedes(e.news) {
		return nil
	}
	old := *e
	replaced := n.Host.Incarnation != old.news.Host.Incarnation
	e.news = n
	if replaced {
		e.listedLeaving = false
	}
	if replaced || n.Status != old.news.Status {
		e.since = v.clock.Now()
		v.schedule(e)
	}
	v.changed(n.Host.ID, replaced || n.Status != old.news.Status || n.Host.State != old.news.Host.State)
	if !old.gone() && (replaced || n.Status == Gone) {
		return []Host{old.news.Host}
	}
	return nil
}

// changed queues news of a host for sending. The caller holds the lock.
func (v *View) changed(id HostID, urgent bool) {
	v.changes.put(id, urgent)
	if urgent {
		v.stale = true
		v.wake()
	}
}

// MarkListedLeaving notes that the platform's list has put a host on its way
// out. It ends with the host's present incarnation.
func (v *View) MarkListedLeaving(id HostID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.hosts[id]; e != nil && !e.gone() {
		e.listedLeaving = true
		v.stale = true
	}
}
