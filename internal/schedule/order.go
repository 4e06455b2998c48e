package schedule

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

const (
	// agedEvery bounds ageing: one of that many grants may be an aged one.
	agedEvery = 16
	// agedShare bounds the aged grants that run: one of that many places.
	// Without it, a class with long answers would fill the places with aged
	// grants, which can't be preempted.
	agedShare = 8
)

// triesPerClass is how many requests of a class are tried on engines that
// batch before the class waits: one that is too long for any of them must not
// hold up those behind it, but each try looks at every engine.
const triesPerClass = 3

// skipsPerClass bounds how many long reads are passed over to find short ones
// behind them.
const skipsPerClass = 64

// blockedPause is how long a class waits that found no engine, though others'
// requests come and go all the time. Engines read for about that long until
// anything changes for it. In an overload it bounds the cost of the waiting
// requests, which would otherwise be tried thousands of times a second.
const blockedPause = 5 * time.Millisecond

// grantAll gives free places to those whose turn it is.
func (c *Cell) grantAll(now time.Duration) {
	for c.waiting > 0 {
		e, aged := c.next(now)
		if e == nil {
			break
		}
		if e.LongRead && e.class.longBlocked {
			c.skip(e, now)
			continue
		}
		to, source := c.choose(e, now)
		if to != nil {
			c.grant(e, to, source, aged, now)
			continue
		}
		if len(e.request.Excluded) == 0 && !c.pool.Batches() {
			break
		}
		c.passOver(e, now)
	}
	for _, e := range c.setAside {
		e.class.push(e)
		c.waiting++
		e.class.tried, e.class.skipped, e.class.longBlocked = 0, 0, false
	}
	c.setAside = c.setAside[:0]
}

// passOver sets an entry aside that no endpoint can take now: those behind it
// must not wait for it. Engines that batch are free for some requests and not
// for others; after a few tries the whole class is blocked for a moment.
func (c *Cell) passOver(e *entry, now time.Duration) {
	q := e.class
	c.putAside(e)
	if c.pool.Batches() && e.LongRead {
		q.longBlocked = true
		return
	}
	if q.tried++; c.pool.Batches() && q.tried >= triesPerClass {
		q.blockedUntil = now + blockedPause
	}
}

// skip sets an entry aside untried: a long read before it has found no engine,
// and the short ones behind it may find one of those that are kept for them.
func (c *Cell) skip(e *entry, now time.Duration) {
	q := e.class
	c.putAside(e)
	if q.skipped++; q.skipped >= skipsPerClass {
		q.blockedUntil = now + blockedPause
	}
}

func (c *Cell) putAside(e *entry) {
	e.class.remove(e)
	c.waiting--
	c.setAside = append(c.setAside, e)
}

// next returns the entry that takes the next free place.
func (c *Cell) next(now time.Duration) (e *entry, aged bool) {
	if e := c.overdue(now); e != nil && now >= e.class.blockedUntil {
		return e, true
	}
	for _, t := range c.tiers {
		if t.waiting == 0 {
			continue
		}
		if e := t.next(now, c.lead); e != nil {
			return e, false
		}
	}
	return nil, false
}

// next returns the entry of the class that has had the least for its weight,
// or nil if all are blocked.
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

// overdue returns the entry that ageing gives the next place to, or nil: the
// oldest of the class that has starved the longest past its bound, or else of
// the class whose oldest entry has exceeded it by the most.
func (c *Cell) overdue(now time.Duration) *entry {
	if c.off(Ageing) || c.sinceAged < agedEvery-1 || c.agedRunning >= max(1, c.places/agedShare) {
		return nil
	}
	if e := c.most((*classQueue).starving, now); e != nil {
		return e
	}
	return c.most((*classQueue).overdue, now)
}

// most returns the oldest entry of the class that a measure finds past its
// bound by the most.
func (c *Cell) most(past func(*classQueue, time.Duration) (time.Duration, bool), now time.Duration) *entry {
	var worst *classQueue
	var most time.Duration
	for _, q := range c.order {
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
		c.sinceAged = 0
		c.agedRunning++
		q.figures.aged++
	} else {
		c.sinceAged++
		q.served = max(q.served, e.account.virtual)
		q.tier.virtual = max(q.tier.virtual, q.virtual)
	}
	q.remove(e)
	c.waiting--
	q.charge(e.account, e.work)
	q.tier.grants.add(now)
	q.wants = false
	q.figures.granted++
	q.figures.longestWait = max(q.figures.longestWait, now-e.Since)
	e.aged = aged
	d := Decision{
		ID: e.request.ID, Endpoint: to.policy.Name,
		Backlog: to.Backlog(now), Unread: e.Unread, Decode: to.Decode,
	}
	if source != nil {
		e.Fetched = source.Kept(e.request.Parts)
		d.FetchFrom = Endpoint(source.Name)
	}
	c.run(e, to, now)
	c.book(&to.limit, now)
	c.prefixes.put(e.request.Prefix, to, now)
	c.decide(d)
}

// run books an entry on an endpoint.
func (c *Cell) run(e *entry, to *endpointState, now time.Duration) {
	c.grants++
	to.turn = c.grants
	to.Running++
	to.load.peak = max(to.load.peak, to.Running)
	to.outstanding += e.work
	c.pool.Book(&to.Engine, &e.Work, now)
	c.running++
	e.endpoint = to
	e.Granted = now
	e.class.Running++
	if e.class.policy.Preemptible && !e.aged && to.policy.CanPreempt {
		e.class.tier.preemptible.push(e)
	}
}

// stop ends the booking of a running entry.
func (c *Cell) stop(e *entry) {
	e.endpoint.Running--
	e.endpoint.outstanding = max(0, e.endpoint.outstanding-e.work)
	e.endpoint.Unbook(&e.Work)
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

// isPreemptible tells whether a running entry stands in its tier's list.
func (e *entry) isPreemptible() bool {
	l := &e.class.tier.preemptible
	return e.prev != nil || e.next != nil || l.first == e
}

// tier returns the queue of a tier and creates it if there is none.
func (c *Cell) tier(t Tier) *tierQueue {
	i, ok := slices.BinarySearchFunc(c.tiers, t, func(q *tierQueue, t Tier) int { return int(q.tier - t) })
	if !ok {
		c.tiers = slices.Insert(c.tiers, i, &tierQueue{tier: t})
	}
	return c.tiers[i]
}
