package schedule

import (
	"time"

	"github.com/beechhead/beechhead/internal/batching"
)

// entry is one request while it waits or runs. Entries are reused.
type entry struct {
	// Work is what the choice among engines knows of the request. Since and
	// Granted are on the cell's time; a late entry stands in the late heap of
	// its class.
	batching.Work
	request Request
	class   *classQueue
	account *accountQueue
	// order is the number of the arrival, which breaks ties.
	order uint64
	// work is the estimated work in tokens, as charged to class and account.
	work float64
	// position is the entry's place in each heap, or noPosition.
	position [entryHeaps]int

	// endpoint is set while the entry runs.
	endpoint *endpointState
	// held says that another coordinator gave the grant.
	held bool
	// aged says that the grant was given by ageing; it is never preempted.
	aged bool
	// preempting says that the grant has been asked back.
	preempting bool
	// prev and next link the preemptible grants of a tier.
	prev, next *entry
}

// tierQueue is the classes of one tier.
type tierQueue struct {
	tier    Tier
	classes []*classQueue
	waiting int
	// virtual is the virtual time of the class served last; a class that
	// becomes active starts there, so that it saves up no claim while idle.
	virtual float64
	grants  meter
	// preemptible has the grants that may be asked back, the newest last.
	preemptible grantList
}

// classQueue is the waiting requests of one class.
type classQueue struct {
	// Class is what the choice among engines knows of the class.
	batching.Class
	policy ClassPolicy
	tier   *tierQueue
	// virtual is the work granted, divided by the weight.
	virtual float64
	// served is the virtual time of the account served last.
	served   float64
	accounts map[Account]*accountQueue
	active   accountHeap
	// late has the entries whose target is already missed.
	late   entryHeap
	oldest entryHeap
	// largest has the accounts by the number of their entries.
	largest accountHeap
	// wanting is since when the class has asked for places, without getting
	// one; it counts while wants is set.
	wanting time.Duration
	wants   bool
	// tried counts the entries passed over in the present step, skipped those
	// that were not even tried, since a long read has found no engine. The
	// class is not tried again before blockedUntil.
	tried, skipped int
	longBlocked    bool
	blockedUntil   time.Duration
	figures        classFigures
}

// accountQueue is the waiting requests of one account in one class.
type accountQueue struct {
	name    Account
	virtual float64
	// entries has those in time, youngest all of them.
	entries  entryHeap
	youngest entryHeap
	// position is the place in each heap of the class, or noPosition.
	position [accountHeaps]int
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
		figures:  classFigures{refused: map[Refusal]int64{}},
		accounts: map[Account]*accountQueue{},
		late:     entryHeap{kind: byTurn},
		oldest:   entryHeap{kind: byAge},
		largest:  accountHeap{kind: bySize},
	}
	q.Waiting = q.waiting
	q.setPolicy(p)
	return q
}

// setPolicy puts what the table says of the class in force.
func (q *classQueue) setPolicy(p ClassPolicy) {
	q.policy = p
	q.Tier, q.Target, q.Pause = int(p.Tier), p.Target, p.Pause
}

func (q *classQueue) waiting() int { return len(q.oldest.items) }

func (q *classQueue) weight() float64 { return float64(max(1, q.policy.Weight)) }

// maxIdleAccounts bounds the accounts that a class remembers without waiting
// requests.
const maxIdleAccounts = 1024

func (q *classQueue) account(name Account) *accountQueue {
	if a := q.accounts[name]; a != nil {
		return a
	}
	if len(q.accounts) >= maxIdleAccounts+2*len(q.largest.items) {
		q.forgetIdle()
	}
	a := &accountQueue{
		name:     name,
		entries:  entryHeap{kind: byTurn},
		youngest: entryHeap{kind: byYouth},
		position: [accountHeaps]int{noPosition, noPosition},
	}
	q.accounts[name] = a
	return a
}

// forgetIdle drops the accounts that wait for nothing and owe nothing. Those
// with a debt are dropped too if there are too many: the state stays bounded
// and the debt is small against what else such a crowd gets.
func (q *classQueue) forgetIdle() {
	for name, a := range q.accounts {
		if a.waiting() == 0 && a.virtual <= q.served {
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
		q.largest.fix(a.position[bySize])
	}
	a.entries.push(e)
	if a.position[byVirtual] == noPosition {
		a.virtual = max(a.virtual, q.served)
		q.active.push(a)
	}
}

// remove takes a waiting entry out.
func (q *classQueue) remove(e *entry) {
	q.tier.waiting--
	q.oldest.remove(e)
	a := e.account
	a.youngest.remove(e)
	if a.waiting() == 0 {
		q.largest.remove(a)
	} else {
		q.largest.fix(a.position[bySize])
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

// next returns the entry whose turn it is: the oldest that can still meet its
// target, of the account that has had the least. Entries that have missed it
// come after those, oldest first, so that an overload makes some requests
// very late instead of all of them a little; ageing bounds their wait.
//
// A request counts as late once its first token is expected past the target:
// lead returns the time from its grant until then. Without that, an overloaded
// class would be granted its places just before the target, and the first
// tokens would come just after it.
func (q *classQueue) next(now time.Duration, lead func(*entry) time.Duration) *entry {
	for {
		a := q.active.first()
		if a == nil {
			return q.late.first()
		}
		e := a.entries.first()
		if q.policy.Target == 0 || now-e.Since+lead(e) < q.policy.Target {
			return e
		}
		q.removeFromAccount(e)
		e.Late = true
		q.late.push(e)
	}
}

// leadSlack is by how much the expected time to the first token is exceeded
// before an answer counts as late.
const leadSlack = 1.5

// lead returns the time that an entry must be granted before its target; at
// most half of the target, so that a class with an ambitious one is not late
// from the start.
func (c *Cell) lead(e *entry) time.Duration {
	expected := time.Duration(c.firstPerToken.Value * float64(e.request.PromptTokens+firstTokenBase) * float64(time.Second))
	if c.pool.Batches() {
		expected = c.pool.FirstToken(&e.Work)
	}
	return min(time.Duration(leadSlack*float64(expected)), e.class.policy.Target/2)
}

// charge books work that was granted, or corrects it.
func (q *classQueue) charge(a *accountQueue, work float64) {
	q.virtual += work / q.weight()
	a.virtual += work
	if i := a.position[byVirtual]; i != noPosition {
		q.active.fix(i)
	}
}

// want notes that the class asks for a place, even if the request is refused.
func (q *classQueue) want(now time.Duration) {
	if !q.wants {
		q.wants, q.wanting = true, now
	}
}

// starving returns by how much the class as a whole has waited past its bound
// without any grant. Its single requests may all be shed from a full queue
// before they have waited long.
func (q *classQueue) starving(now time.Duration) (by time.Duration, ok bool) {
	if q.waiting() == 0 || q.policy.MaxWait == 0 || !q.wants {
		return 0, false
	}
	by = now - q.wanting - q.policy.MaxWait
	return by, by >= 0
}

// overdue returns by how much the oldest entry has waited past the bound.
func (q *classQueue) overdue(now time.Duration) (by time.Duration, ok bool) {
	if q.waiting() == 0 || q.policy.MaxWait == 0 {
		return 0, false
	}
	by = now - q.oldest.first().Since - q.policy.MaxWait
	return by, by >= 0
}
