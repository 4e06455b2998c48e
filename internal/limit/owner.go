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
	// burstSeconds is the capacity of a rate's token bucket, in seconds of
	// refill.
	burstSeconds = 1.0
	// bucketIdleTimeout is how long an owner keeps the bucket of a rate limit
	// that no host requests.
	bucketIdleTimeout = time.Minute
)

// SliceRequest is a request for a slice of one limit.
type SliceRequest struct {
	Key Key
	// Wanted is how many requests the holder wants to admit: new requests for a
	// rate limit, all requests in progress for a concurrency limit.
	Wanted int
	// InUse is the number of requests that the holder has in progress.
	InUse int
	// Holding is the slice of a concurrency limit that the holder has now. It
	// may admit up to that many requests until it receives the response.
	Holding int
}

// Holder identifies a call for slices by one incarnation of a daemon.
type Holder struct {
	Host        membership.HostID
	Incarnation uint64
	// Sequence increases with every call of the incarnation.
	Sequence uint64
}

// Owner grants slices of the limits that this daemon owns. It is safe for
// concurrent use.
type Owner struct {
	clock clockwork.Clock
	self  membership.HostID

	mu          sync.Mutex
	table       *table.Table
	quorum      quorum
	ownership   ownership
	buckets     map[Key]*bucket
	allocations map[Key]*allocation
	// latestCalls holds the latest call of each host.
	latestCalls map[membership.HostID]Holder
}

// NewOwner returns an owner that grants nothing until hosts have been alive for
// settleTime.
func NewOwner(clock clockwork.Clock, self membership.HostID) *Owner {
	return &Owner{clock: clock, self: self, buckets: map[Key]*bucket{}, allocations: map[Key]*allocation{}, latestCalls: map[membership.HostID]Holder{}}
}

// Configure sets the table that limits are read from.
func (o *Owner) Configure(t *table.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table = t
}

// Update sets the hosts that are alive now, including this one, and the number
// of daemons that the platform lists. It must be called several times per
// second: after a gap longer than pauseThreshold the owner grants nothing until
// the hosts have settled again.
func (o *Owner) Update(hosts *membership.Snapshot, listed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if o.quorum.update(now, hosts, listed) {
		o.ownership.update(now, o.self, readyHosts(hosts))
	}
	for id := range o.latestCalls {
		if !o.quorum.isAlive(id) {
			delete(o.latestCalls, id)
		}
	}
	for k, b := range o.buckets {
		if now.Sub(b.requestedAt) > bucketIdleTimeout {
			delete(o.buckets, k)
		}
	}
	for k, p := range o.allocations {
		if p.removeExpired(now, o.quorum.isAlive) {
			delete(o.allocations, k)
		}
	}
}

// Grant handles the slice requests of a holder and returns what it grants, in
// the same order. The slices are valid for SliceLifetime. The result is false
// if this daemon, according to its view of the hosts, does not own one of the
// limits, or if a later call of the holder has already been processed: the
// requests are then out of date.
func (o *Owner) Grant(holder Holder, wants []SliceRequest) (granted []int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.recordCall(holder) {
		return nil, false
	}
	now := o.clock.Now()
	share := o.quorum.grantableShare(now)
	for _, w := range wants {
		since, owned := o.ownership.since(w.Key)
		if !owned {
			return nil, false
		}
		granted = append(granted, o.grant(now, holder.Host, w, share, since))
	}
	return granted, true
}

// recordCall records a call and reports whether it is newer than the last one
// of the same incarnation. A new incarnation of a host holds none of the slices
// granted to the previous one, so those are deleted.
func (o *Owner) recordCall(h Holder) bool {
	last, known := o.latestCalls[h.Host]
	if known && last.Incarnation == h.Incarnation && h.Sequence <= last.Sequence {
		return false
	}
	if known && last.Incarnation != h.Incarnation {
		for _, p := range o.allocations {
			delete(p.slices, h.Host)
		}
	}
	o.latestCalls[h.Host] = h
	return true
}

func (o *Owner) grant(now time.Time, host membership.HostID, w SliceRequest, share float64, since time.Time) int {
	if o.table == nil {
		return 0
	}
	limit := w.Key.Value(o.table) * share
	if w.Key.Kind == Rate {
		return o.bucket(w.Key, now, limit, since).take(now, limit, w.Wanted)
	}
	p := o.allocations[w.Key]
	if p == nil {
		p = &allocation{slices: map[membership.HostID]slice{}}
		o.allocations[w.Key] = p
	}
	// Slices granted by a previous owner may still be valid, and there may be
	// requests in progress that have not been reported to this owner yet.
	if now.Sub(since) < takeoverDelay {
		limit = 0
	}
	return p.grant(now, host, int(limit), w)
}

// bucket returns the token bucket of a rate limit. A new bucket contains only
// the tokens accumulated after takeoverDelay, when no previous owner can have
// granted them.
func (o *Owner) bucket(k Key, now time.Time, rate float64, since time.Time) *bucket {
	b := o.buckets[k]
	if b == nil {
		accumulating := max(now.Sub(since)-takeoverDelay, 0)
		b = &bucket{refilledAt: now, tokens: min(rate*accumulating.Seconds(), max(rate*burstSeconds, 1))}
		o.buckets[k] = b
	}
	return b
}

// bucket is the token bucket of a rate limit.
type bucket struct {
	tokens      float64
	refilledAt  time.Time
	requestedAt time.Time
}

// take refills the bucket and removes up to wanted tokens.
func (b *bucket) take(now time.Time, rate float64, wanted int) int {
	b.requestedAt = now
	b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	b.tokens = min(b.tokens, max(rate*burstSeconds, 1))
	b.refilledAt = now
	n := min(wanted, int(math.Floor(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// allocation is the division of a concurrency limit among the hosts.
type allocation struct {
	slices map[membership.HostID]slice
}

// slice is one host's part of a concurrency limit.
type slice struct {
	amount int
	// floor is the number of requests the host may have in progress even if
	// amount is smaller: the requests it reported in use, or the slice it held,
	// which it may still use up until it receives the response.
	floor     int
	wanted    int
	expiresAt time.Time
}

// held returns how many requests the host may have in progress.
func (s slice) held() int { return max(s.amount, s.floor) }

// grant renews a host's slice. It does not raise the sum of what the hosts hold
// above the limit. The sum may already be above it, for example after the limit
// was lowered: requests in progress can't be taken back, so a smaller slice
// only keeps its holder from admitting more.
func (p *allocation) grant(now time.Time, host membership.HostID, limit int, w SliceRequest) int {
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
		amount:    amount,
		floor:     max(w.InUse, w.Holding),
		wanted:    w.Wanted,
		expiresAt: now.Add(SliceLifetime),
	}
	return amount
}

// removeExpired deletes slices that have expired and belong to hosts that are
// not alive or hold nothing, and reports whether none are left. A live host
// with an expired slice keeps its part, because its requests may still be in
// progress.
func (p *allocation) removeExpired(now time.Time, isAlive func(membership.HostID) bool) (empty bool) {
	for id, s := range p.slices {
		removable := s.held() == 0 || !isAlive(id)
		if now.After(s.expiresAt) && removable {
			delete(p.slices, id)
		}
	}
	return len(p.slices) == 0
}

// fairShare returns the max-min fair share of a host, rounded up: hosts that
// want no more than an equal share get all they want, and the others divide the
// rest equally.
func fairShare(limit int, wanted map[membership.HostID]int, host membership.HostID) int {
	remaining, hosts := limit, len(wanted)
	for {
		equalShare := remaining / hosts
		satisfied := 0
		for id, n := range wanted {
			if n > equalShare {
				continue
			}
			if id == host {
				return n
			}
			remaining -= n
			hosts--
			satisfied++
			delete(wanted, id)
		}
		if satisfied == 0 {
			return (remaining + hosts - 1) / hosts
		}
	}
}
