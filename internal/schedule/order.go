package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

const (
	// agedGrantInterval limits ageing to one in this many grants.
	agedGrantInterval = 16
	// agedSlotDivisor limits the running grants given by ageing to one in this
	// many slots. Without it, a class with long responses would fill the slots
	// with aged grants, which can't be preempted.
	agedSlotDivisor = 8
)

// maxTriesPerClass is how many requests of a class are tried on batching engines
// before the class is blocked. A request that is too long for all engines must
// not hold up those behind it, but each try examines every engine.
const maxTriesPerClass = 3

// maxSkipsPerClass limits how many long prefills are skipped to find short ones
// behind them.
const maxSkipsPerClass = 64

// blockedRetryInterval is how long a class that found no engine is blocked, even
// if requests of other classes arrive and end meanwhile. It takes engines about
// this long to prefill enough to change the result. Under overload it bounds the
// cost of waiting requests, which would otherwise be tried thousands of times
// per second.
const blockedRetryInterval = 5 * time.Millisecond

// grantAll grants free slots to waiting entries in scheduling order.
func (c *Cell) grantAll(now time.Duration) {
	for c.waiting > 0 {
		e, aged := c.next(now)
		if e == nil {
			break
		}
		if e.LongPrefill && e.class.longPrefillBlocked {
			c.skip(e, now)
			continue
		}
		to, source := c.chooseEndpoint(e, now)
		if to != nil {
			c.grant(e, to, source, aged, now)
			continue
		}
		if len(e.request.Excluded) == 0 && e.request.Version == nil && !c.pool.Batches() {
			break
		}
		c.deferBlocked(e, now)
	}
	for _, e := range c.deferred {
		e.class.push(e)
		c.waiting++
		e.class.tried, e.class.skipped, e.class.longPrefillBlocked = 0, 0, false
	}
	c.deferred = c.deferred[:0]
}

// deferBlocked defers an entry that no endpoint can take now, so that it does
// not hold up those behind it. Batching engines may take some requests and not
// others; after a few tries the whole class is blocked for a short time.
func (c *Cell) deferBlocked(e *entry, now time.Duration) {
	q := e.class
	if e.request.Version != nil {
		c.deferContinued(e, now)
		return
	}
	c.deferEntry(e)
	if c.pool.Batches() && e.LongPrefill {
		q.longPrefillBlocked = true
		return
	}
	if q.tried++; c.pool.Batches() && q.tried >= maxTriesPerClass {
		q.blockedUntil = now + blockedRetryInterval
	}
}

// deferContinued defers an entry that continues a stream and finds no endpoint of its
// version. That says nothing about the requests behind it, which may go to others. It
// is refused if its version has left.
func (c *Cell) deferContinued(e *entry, now time.Duration) {
	if c.hasEndpoint(&e.request) {
		c.skip(e, now)
		return
	}
	c.dequeue(e)
	e.class.counters.refused[RefusedNoEndpoint]++
	c.refuse(e.request.ID, RefusedNoEndpoint)
	c.recycle(e)
}

// skip defers an entry with a long prefill without trying it, because an earlier
// long prefill of the class has found no engine. Entries with short prefills
// behind it may still fit on decode engines.
func (c *Cell) skip(e *entry, now time.Duration) {
	q := e.class
	c.deferEntry(e)
	if q.skipped++; q.skipped >= maxSkipsPerClass {
		q.blockedUntil = now + blockedRetryInterval
	}
}

func (c *Cell) deferEntry(e *entry) {
	e.class.remove(e)
	c.waiting--
	c.deferred = append(c.deferred, e)
}

// next returns the entry to grant the next free slot to.
func (c *Cell) next(now time.Duration) (e *entry, aged bool) {
	if e := c.overdue(now); e != nil && now >= e.class.blockedUntil {
		return e, true
	}
	for _, t := range c.tiers {
		if t.waiting == 0 {
			continue
		}
		if e := t.next(now, c.leadTime); e != nil {
			return e, false
		}
	}
	return nil, false
}

// next returns the next entry of the class with the lowest virtual time, or nil
// if all classes are blocked.
func (t *tierQueue) next(now time.Duration, lead func(*entry) time.Duration) *entry {
	var best *classQueue
	for _, q := range t.classes {
		if q.waiting() > 0 && now >= q.blockedUntil && (best == nil || q.virtual < best.virtual) {
			best = q
		}
	}
	if best == nil {
		return nil
	}
	return best.next(now, lead)
}

// overdue returns the entry that ageing grants the next slot to, or nil. It is
// the oldest entry of the class that has gone without a grant the longest past
// its MaxWait. If there is none, the class whose oldest entry exceeds MaxWait by
// the most gets the slot, for the entry that it would choose itself: the oldest
// one is late already, and the slot may let another one be in time.
func (c *Cell) overdue(now time.Duration) *entry {
	if c.isDisabled(Ageing) || c.grantsSinceAged < agedGrantInterval-1 || c.agedRunning >= max(1, c.totalSlots/agedSlotDivisor) {
		return nil
	}
	if e := c.mostOverdue((*classQueue).starving, now); e != nil {
		return e
	}
	if e := c.mostOverdue((*classQueue).overdue, now); e != nil {
		return e.class.next(now, c.leadTime)
	}
	return nil
}

// mostOverdue returns the oldest entry of the class that exceeds its bound by
// the most, according to the given function.
func (c *Cell) mostOverdue(past func(*classQueue, time.Duration) (time.Duration, bool), now time.Duration) *entry {
	var worst *classQueue
	var most time.Duration
	for _, q := range c.classOrder {
		by, ok := past(q, now)
		if ok && (worst == nil || by > most) {
			worst, most = q, by
		}
	}
	if worst == nil {
		return nil
	}
	return worst.oldest.first()
}

func (c *Cell) grant(e *entry, to *endpointState, source *batching.Engine, aged bool, now time.Duration) {
	q := e.class
	if aged {
		c.grantsSinceAged = 0
		c.agedRunning++
		q.counters.aged++
	} else {
		c.grantsSinceAged++
		q.lastServedVirtual = max(q.lastServedVirtual, e.account.virtual)
		q.tier.virtual = max(q.tier.virtual, q.virtual)
	}
	q.remove(e)
	c.waiting--
	q.charge(e.account, e.work)
	q.tier.grantRate.add(now)
	q.stepGrants++
	q.unserved = false
	q.counters.granted++
	q.counters.longestWait = max(q.counters.longestWait, now-e.WaitingSince)
	e.aged = aged
	d := Decision{
		ID: e.request.ID, Endpoint: to.policy.Name,
		PrefillBacklog: to.Backlog(now), PrefillTime: e.PrefillTime, Decode: to.Decode,
	}
	if source != nil {
		e.FetchedTokens = source.CachedTokens(e.request.Parts)
		d.FetchFrom = Endpoint(source.Name)
	}
	c.pool.CountCrossing(&to.Engine, &e.Prompt, now)
	c.startGrant(e, to, now)
	c.consume(&to.limit, now)
	to.brittle.granted(e.request.ID, now)
	c.prefixes.put(e.request.Prefix, to, now)
	c.decide(d)
}

// startGrant accounts for an entry as running on an endpoint.
func (c *Cell) startGrant(e *entry, to *endpointState, now time.Duration) {
	c.grants++
	to.lastGrant = c.grants
	c.occupy(e, to, now)
	c.running++
	e.Granted = now
	e.class.Running++
	if e.class.policy.Preemptible && !e.aged && to.policy.CanPreempt {
		e.class.tier.preemptible.push(e)
	}
}

// occupy adds an entry to those that run on an endpoint.
func (c *Cell) occupy(e *entry, to *endpointState, now time.Duration) {
	to.Running++
	to.load.peakRunning = max(to.load.peakRunning, to.Running)
	to.outstanding += e.work
	c.pool.RecordGrant(&to.Engine, &e.RequestState, now)
	e.endpoint = to
}

// vacate removes an entry from those that run on its endpoint.
func (e *entry) vacate() {
	e.endpoint.Running--
	e.endpoint.outstanding = max(0, e.endpoint.outstanding-e.work)
	e.endpoint.RecordRelease(&e.RequestState)
}

// endGrant removes a running entry from its endpoint.
func (c *Cell) endGrant(e *entry) {
	e.vacate()
	c.running--
	e.class.Running--
	if e.aged {
		c.agedRunning--
	}
	if e.preempting {
		c.preempting--
	} else if e.isPreemptible() {
		e.class.tier.preemptible.remove(e)
	}
}

// isPreemptible reports whether a running entry is in its tier's list of
// preemptible grants.
func (e *entry) isPreemptible() bool {
	l := &e.class.tier.preemptible
	return e.prev != nil || e.next != nil || l.first == e
}

// tier returns the queue of a tier, creating it if necessary.
func (c *Cell) tier(t Tier) *tierQueue {
	i, ok := slices.BinarySearchFunc(c.tiers, t, func(q *tierQueue, t Tier) int { return int(q.tier - t) })
	if !ok {
		c.tiers = slices.Insert(c.tiers, i, &tierQueue{tier: t})
	}
	return c.tiers[i]
}
