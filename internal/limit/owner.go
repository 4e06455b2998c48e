package limit

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// burst is how many seconds' worth of a rate may be admitted at once.
	burst = 1.0
	// forgetAfter is how long an owner keeps a limit that nobody asks for.
	forgetAfter = time.Minute
)

// Want asks for a slice of one limit.
type Want struct {
	Key Key
	// Wanted is how many requests the holder would like to admit: new ones
	// for a rate, all in progress for a concurrency.
	Wanted int
	// InUse counts the holder's requests in progress.
	InUse int
	// Holding is the valid slice of a concurrency that it has. Until it has
	// the answer, it may admit up to that.
	Holding int
}

// Holder is an incarnation of a daemon that asks for slices.
type Holder struct {
	Host        membership.HostID
	Incarnation uint64
	// Sequence grows with each call of the incarnation to one owner.
	Sequence uint64
}

// Owner hands out slices of limits. It is safe for concurrent use.
type Owner struct {
	clock clockwork.Clock
	self  membership.HostID

	mu     sync.Mutex
	table  *table.Table
	quorum quorum
	tenure tenure
	rates  map[Key]*bucket
	pools  map[Key]*pool
	// newest has the newest call of each host.
	newest map[membership.HostID]Holder
}

// NewOwner returns an owner that hands out nothing until it has heard hosts
// for a while.
func NewOwner(clock clockwork.Clock, self membership.HostID) *Owner {
	return &Owner{clock: clock, self: self, rates: map[Key]*bucket{}, pools: map[Key]*pool{}, newest: map[membership.HostID]Holder{}}
}

// Configure puts a table in force.
func (o *Owner) Configure(t *table.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table = t
}

// Update takes in the hosts that are heard now, this one included, and how
// many daemons the platform lists. It must be called several times a second.
func (o *Owner) Update(hosts *membership.Snapshot, listed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if o.quorum.update(now, hosts, listed) {
		o.tenure.update(now, o.self, readyOf(hosts))
	}
	for id := range o.newest {
		if !o.quorum.hears(id) {
			delete(o.newest, id)
		}
	}
	for k, b := range o.rates {
		if now.Sub(b.asked) > forgetAfter {
			delete(o.rates, k)
		}
	}
	for k, p := range o.pools {
		if p.forget(now, o.quorum.hears) {
			delete(o.pools, k)
		}
	}
}

// Grant answers a holder's wants, in order. The slices are valid for
// SliceLifetime. The result is false if this daemon, as it sees the hosts,
// does not own one of the limits, or if the call was overtaken by a later one:
// it then tells of an earlier state.
func (o *Owner) Grant(holder Holder, wants []Want) (granted []int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isNewest(holder) {
		return nil, false
	}
	now := o.clock.Now()
	share := o.quorum.share(now)
	for _, w := range wants {
		since, owned := o.tenure.since(w.Key)
		if !owned {
			return nil, false
		}
		granted = append(granted, o.grant(now, holder.Host, w, share, since))
	}
	return granted, true
}

// isNewest notes a call, unless it was overtaken. A new incarnation holds
// nothing of what the one before it held.
func (o *Owner) isNewest(h Holder) bool {
	last, known := o.newest[h.Host]
	if known && last.Incarnation == h.Incarnation && h.Sequence <= last.Sequence {
		return false
	}
	if known && last.Incarnation != h.Incarnation {
		for _, p := range o.pools {
			delete(p.slices, h.Host)
		}
	}
	o.newest[h.Host] = h
	return true
}

func (o *Owner) grant(now time.Time, host membership.HostID, w Want, share float64, since time.Time) int {
	if o.table == nil {
		return 0
	}
	limit := w.Key.Value(o.table) * share
	if w.Key.Kind == Rate {
		return o.bucket(w.Key, now, limit, since).take(now, limit, w.Wanted)
	}
	p := o.pools[w.Key]
	if p == nil {
		p = &pool{slices: map[membership.HostID]slice{}}
		o.pools[w.Key] = p
	}
	// Slices of an earlier owner may still be valid, and requests may be in
	// progress that this one has not heard of yet.
	if now.Sub(since) < takeoverTime {
		limit = 0
	}
	return p.grant(now, host, int(limit), w)
}

// bucket returns the bucket of a rate. A new one holds only what came in
// since no earlier owner can have handed out any more.
func (o *Owner) bucket(k Key, now time.Time, rate float64, since time.Time) *bucket {
	b := o.rates[k]
	if b == nil {
		alone := max(now.Sub(since)-takeoverTime, 0)
		b = &bucket{filled: now, tokens: min(rate*alone.Seconds(), max(rate*burst, 1))}
		o.rates[k] = b
	}
	return b
}

// bucket holds what may still be admitted of a rate.
type bucket struct {
	tokens float64
	filled time.Time
	asked  time.Time
}

// take hands out up to wanted admissions.
func (b *bucket) take(now time.Time, rate float64, wanted int) int {
	b.asked = now
	b.tokens += rate * now.Sub(b.filled).Seconds()
	b.tokens = min(b.tokens, max(rate*burst, 1))
	b.filled = now
	n := min(wanted, int(math.Floor(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// pool is what each host holds of a limit of concurrency.
type pool struct {
	slices map[membership.HostID]slice
}

// slice is a host's part of a limit of concurrency.
type slice struct {
	amount int
	// floor is what the host may use whatever the amount: what it reported
	// in use, and the slice it had, of which it may use more until it has the
	// answer.
	floor  int
	wanted int
	ends   time.Time
}

// held returns how many requests the host may have in progress.
func (s slice) held() int { return max(s.amount, s.floor) }

// grant renews a host's slice. What the hosts hold never sums to more than
// the limit unless it did so before: requests in progress can't be taken back,
// so a smaller slice only keeps its holder from admitting more.
func (p *pool) grant(now time.Time, host membership.HostID, limit int, w Want) int {
	others := 0
	wanted := map[membership.HostID]int{host: w.Wanted}
	for id, s := range p.slices {
		if id != host {
			others += s.held()
			wanted[id] = max(s.wanted, s.floor)
		}
	}
	amount := max(min(w.Wanted, fairShare(limit, wanted, host), limit-others), 0)
	p.slices[host] = slice{
		amount: amount,
		floor:  max(w.InUse, w.Holding),
		wanted: w.Wanted,
		ends:   now.Add(SliceLifetime),
	}
	return amount
}

// forget drops the slices of hosts that neither ask any more nor are heard.
// A host that is heard keeps its part even when its slice has ended, because
// its requests may still be in progress.
func (p *pool) forget(now time.Time, heard func(membership.HostID) bool) (empty bool) {
	for id, s := range p.slices {
		idle := s.held() == 0 || !heard(id)
		if now.After(s.ends) && idle {
			delete(p.slices, id)
		}
	}
	return len(p.slices) == 0
}

// fairShare divides a limit by max-min fairness: who wants less than an equal
// share gets all of it, and the others divide the rest.
func fairShare(limit int, wanted map[membership.HostID]int, host membership.HostID) int {
	rest, hosts := limit, len(wanted)
	for {
		level := rest / hosts
		satisfied := 0
		for id, n := range wanted {
			if n > level {
				continue
			}
			if id == host {
				return n
			}
			rest -= n
			hosts--
			satisfied++
			delete(wanted, id)
		}
		if satisfied == 0 {
			return (rest + hosts - 1) / hosts
		}
	}
}
