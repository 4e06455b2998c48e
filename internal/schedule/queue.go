package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/admission"
	"github.com/beechhead/beechhead/internal/batching"
)

// entry is a waiting or running request. Entries are reused.
type entry struct {
	// RequestState is the state of the request in the engine pool. WaitingSince
	// and Granted are relative to the start of the cell; a late entry is in the
	// late heap of its class.
	batching.RequestState
	request Request
	class   *classQueue
	account *accountQueue
	// arrival is the sequence number of the arrival; it breaks ties.
	arrival uint64
	// work is the estimated work in tokens that is charged to class and account.
	work float64
	// heapIndex is the entry's index in each kind of heap, or notInHeap.
	heapIndex [entryHeapKinds]int

	// endpoint is set while the entry runs.
	endpoint *endpointState
	// returnedEarly reports whether the caller was refused before and has returned before
	// the time that it was told.
	returnedEarly bool
	// adopted reports whether another coordinator issued the grant.
	adopted bool
	// accepted reports whether the endpoint has sent the first token.
	accepted bool
	// aged reports whether the grant was given by ageing; such grants are never
	// preempted.
	aged bool
	// preempting reports whether the grant is being preempted.
	preempting bool
	// returned reports whether the caller was refused and has returned when it was told.
	returned bool
	// prev and next link the preemptible grants of a tier.
	prev, next *entry
}

// tierQueue holds the classes of one tier.
type tierQueue struct {
	tier    Tier
	classes []*classQueue
	waiting int
	// virtual is the virtual time of the class served last. A class that becomes
	// active starts from it, so that it accumulates no credit while idle.
	virtual   float64
	grantRate rateMeter
	// preemptible holds the grants that may be preempted, newest last.
	preemptible grantList
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	// Class is the state of the class in the engine pool.
	batching.Class
	policy ClassPolicy
	tier   *tierQueue
	// virtual is the virtual time of the class: the work granted, divided by
	// the weight.
	virtual float64
	// lastServedVirtual is the virtual time of the account served last.
	lastServedVirtual float64
	accounts          map[Account]*accountQueue
	// active holds the accounts with entries that are not late.
	active accountHeap
	// late holds the entries that can no longer meet their target.
	late   entryHeap
	oldest entryHeap
	// largest holds the accounts, the longest queue first.
	largest accountHeap
	// unservedSince is when the class first requested a slot after its last
	// grant. It is valid while unserved is set.
	unservedSince time.Duration
	unserved      bool
	// tried counts the entries for which no endpoint was found in the current
	// step. skipped counts those that were not tried, because an earlier long
	// prefill had found no engine (longPrefillBlocked). The class is not tried
	// again before blockedUntil.
	tried, skipped     int
	longPrefillBlocked bool
	blockedUntil       time.Duration
	// arrivals is the rate of callers that were not refused before, pace that of grants
	// while the class is backlogged. stepGrants counts the grants of the current step.
	arrivals   rateMeter
	pace       admission.Pace
	stepGrants int
	counters   classCounters
}

// accountQueue holds the waiting requests of one account in one class.
type accountQueue struct {
	name    Account
	virtual float64
	// entries holds the entries that are not late, youngest all of them.
	entries  entryHeap
	youngest entryHeap
	// heapIndex is the account's index in each kind of heap, or notInHeap.
	heapIndex [accountHeapKinds]int
}

func (a *accountQueue) waiting() int { return len(a.youngest.items) }

// grantList is a doubly linked list of running entries.
type grantList struct {
	first, last *entry
	n           int
}

func (l *grantList) push(e *entry) {
	e.prev, e.next = l.last, nil
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	l.n++
}

func (l *grantList) remove(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.last = e.prev
	}
	e.prev, e.next = nil, nil
	l.n--
}

func newClassQueue(p ClassPolicy) *classQueue {
	q := &classQueue{
		counters: classCounters{refused: map[Refusal]int64{}},
		accounts: map[Account]*accountQueue{},
		late:     entryHeap{kind: queueHeap},
		oldest:   entryHeap{kind: oldestHeap},
		largest:  accountHeap{kind: queueLengthHeap},
	}
	q.Waiting = q.waiting
	q.setPolicy(p)
	return q
}

// setPolicy applies the configuration of the class.
func (q *classQueue) setPolicy(p ClassPolicy) {
	q.policy = p
	q.Tier, q.Target, q.Pause = int(p.Tier), p.FirstTokenTarget, p.GapTarget
}

func (q *classQueue) waiting() int { return len(q.oldest.items) }

func (q *classQueue) weight() float64 { return float64(max(1, q.policy.Weight)) }

// maxIdleAccounts limits the accounts without waiting requests that a class
// keeps.
const maxIdleAccounts = 1024

func (q *classQueue) account(name Account) *accountQueue {
	if a := q.accounts[name]; a != nil {
		return a
	}
	if len(q.accounts) >= maxIdleAccounts+2*len(q.largest.items) {
		q.evictIdleAccounts()
	}
	a := &accountQueue{
		name:      name,
		entries:   entryHeap{kind: queueHeap},
		youngest:  entryHeap{kind: youngestHeap},
		heapIndex: [accountHeapKinds]int{notInHeap, notInHeap},
	}
	q.accounts[name] = a
	return a
}

// evictIdleAccounts drops the accounts that have no waiting requests and whose
// virtual time is not ahead of the account served last. If too many remain, it
// also drops idle accounts that are ahead: that bounds the state, and the excess
// service of each is small compared to that of so many accounts together.
func (q *classQueue) evictIdleAccounts() {
	for name, a := range q.accounts {
		if a.waiting() == 0 && a.virtual <= q.lastServedVirtual {
			delete(q.accounts, name)
		}
	}
	for name, a := range q.accounts {
		if len(q.accounts) < maxIdleAccounts {
			return
		}
		if a.waiting() == 0 {
			delete(q.accounts, name)
		}
	}
}

// push adds a waiting entry.
func (q *classQueue) push(e *entry) {
	if q.waiting() == 0 {
		q.virtual = max(q.virtual, q.tier.virtual)
	}
	q.tier.waiting++
	q.oldest.push(e)
	e.setClass(q)
	e.Late = false
	a := q.account(e.request.Account)
	e.account = a
	a.youngest.push(e)
	if a.waiting() == 1 {
		q.largest.push(a)
	} else {
		q.largest.fix(a.heapIndex[queueLengthHeap])
	}
	a.entries.push(e)
	if a.heapIndex[virtualTimeHeap] == notInHeap {
		a.virtual = max(a.virtual, q.lastServedVirtual)
		q.active.push(a)
	}
}

// remove removes a waiting entry.
func (q *classQueue) remove(e *entry) {
	q.tier.waiting--
	q.oldest.remove(e)
	a := e.account
	a.youngest.remove(e)
	if a.waiting() == 0 {
		q.largest.remove(a)
	} else {
		q.largest.fix(a.heapIndex[queueLengthHeap])
	}
	if e.Late {
		q.late.remove(e)
		return
	}
	q.removeFromAccount(e)
}

func (q *classQueue) removeFromAccount(e *entry) {
	e.account.entries.remove(e)
	if e.account.entries.first() == nil {
		q.active.remove(e.account)
	}
}

// next returns the entry to grant next: the oldest that can still meet its
// target, of the account with the lowest virtual time. Late entries follow,
// oldest first, so that an overload makes some requests very late instead of
// all of them slightly late; ageing bounds their wait.
//
// A request counts as late once its first token is expected after the target;
// lead returns the expected time from the grant to the first token. Otherwise
// an overloaded class would be granted its slots just before the target, and
// the first tokens would arrive just after it.
func (q *classQueue) next(now time.Duration, lead func(*entry) time.Duration) *entry {
	for {
		a := q.active.first()
		if a == nil {
			return q.late.first()
		}
		e := a.entries.first()
		if q.policy.FirstTokenTarget == 0 || now-e.WaitingSince+lead(e) < q.policy.FirstTokenTarget {
			return e
		}
		q.removeFromAccount(e)
		e.Late = true
		q.late.push(e)
	}
}

// leadTimeFactor is the safety factor on the expected time to first token when
// deciding whether a request can still meet its target.
const leadTimeFactor = 1.5

// leadTime returns how long before its target an entry must be granted. It is at
// most half of the target, so that requests of a class with a very short target
// are not late on arrival.
func (c *Cell) leadTime(e *entry) time.Duration {
	expected := time.Duration(c.ttftPerToken.Value * float64(e.request.PromptTokens+ttftPromptOffset) * float64(time.Second))
	if c.pool.Batches() {
		expected = c.pool.FirstToken(&e.RequestState)
	}
	return min(time.Duration(leadTimeFactor*float64(expected)), e.class.policy.FirstTokenTarget/2)
}

// charge adds granted work to the virtual times of class and account. Negative
// work corrects an estimate that was too high.
func (q *classQueue) charge(a *accountQueue, work float64) {
	q.virtual += work / q.weight()
	a.virtual += work
	if i := a.heapIndex[virtualTimeHeap]; i != notInHeap {
		q.active.fix(i)
	}
}

// noteDemand records that the class requested a slot, even if the request is
// refused.
func (q *classQueue) noteDemand(now time.Duration) {
	if !q.unserved {
		q.unserved, q.unservedSince = true, now
	}
}

// starving returns by how much the time since the class first requested a slot
// without being granted one exceeds MaxWait. The wait of its single requests
// does not show this, because they may all be shed from a full queue before they
// have waited that long.
func (q *classQueue) starving(now time.Duration) (by time.Duration, ok bool) {
	if q.waiting() == 0 || q.policy.MaxWait == 0 || !q.unserved {
		return 0, false
	}
	by = now - q.unservedSince - q.policy.MaxWait
	return by, by >= 0
}

// overdue returns by how much the wait of the oldest entry exceeds MaxWait.
func (q *classQueue) overdue(now time.Duration) (by time.Duration, ok bool) {
	if q.waiting() == 0 || q.policy.MaxWait == 0 {
		return 0, false
	}
	by = now - q.oldest.first().WaitingSince - q.policy.MaxWait
	return by, by >= 0
}
