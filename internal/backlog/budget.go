// Package backlog holds the parts of responses that their callers have not read yet, so
// that endpoints need not wait for slow callers. What it holds is bounded over all
// responses of a daemon; beyond that, the slowest callers give way.
package backlog

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// ownMemory is what a daemon needs itself, in bytes, with all slots in use.
	ownMemory Bytes = 48 << 20
	// heldShare is the part of the rest that may be held: with GOGC=50 the heap grows to
	// one and a half times what is in use.
	heldShare = 2. / 3
	// minLimit is the limit of hosts that have hardly more memory than a daemon needs.
	minLimit Bytes = 1 << 20
	// reserveShare is the part of the limit, as a divisor, that is kept for responses
	// which hold less than smallHolding. Callers that keep up need no more than that, and
	// so never wait for those that don't.
	reserveShare       = 8
	smallHolding Bytes = 2 * blockSize
)

// ErrGaveWay reports that a response was ended since its caller was the slowest when
// there was no room left.
var ErrGaveWay = errors.New("the caller reads too slowly")

// Limit returns how much a daemon on a host with that much memory may hold for slow
// callers.
func Limit(memory Bytes) Bytes {
	return max(minLimit, Bytes(heldShare*float64(memory-ownMemory)))
}

// Budget accounts for what all responses of a daemon hold, and decides whose caller gives
// way. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock
	limit Bytes
	// Lent returns what others leave of their part of the memory, which responses may hold
	// beyond the limit until it is taken back; nil means nothing. It must be set before use,
	// and must not call the budget.
	Lent func() Bytes

	mu   sync.Mutex
	held Bytes
	// opened counts the accounts that were opened.
	opened   uint64
	accounts map[*holding]*Account
	// freed is closed when something is released; nil if nobody waits for that.
	freed chan struct{}
	// behind is the sum of the times during which responses held something and no longer
	// do so.
	behind  time.Duration
	gaveWay int64
}

// NewBudget returns a budget with a limit.
func NewBudget(clock clockwork.Clock, limit Bytes) *Budget {
	return &Budget{clock: clock, limit: limit, accounts: map[*holding]*Account{}}
}

// Figures are a budget's totals.
type Figures struct {
	// Held is what is held now, Responses by how many responses.
	Held      Bytes
	Responses int
	// GaveWay counts the responses that gave way, Behind is how long responses have held
	// something, in all.
	GaveWay int64
	Behind  time.Duration
}

// Figures returns the totals.
func (b *Budget) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := Figures{Held: b.held, GaveWay: b.gaveWay, Behind: b.behind}
	for h := range b.accounts {
		if h.held > 0 {
			f.Responses++
		}
	}
	return f
}

// Account is the part of a budget that one response uses. Its fields are guarded by
// Budget.mu.
type Account struct {
	budget *Budget
	holding
	// onGiveWay is called once if the response gives way. It calls Budget.countGaveWay unless
	// the response has become complete meanwhile.
	onGiveWay func(Slowness)
	gone      bool
}

// Slowness describes a response that has given way.
type Slowness struct {
	Held, Taken Bytes
	Behind      time.Duration
}

// Open returns an account for a response. It must be closed.
func (b *Budget) Open(onGiveWay func(Slowness)) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	a := &Account{budget: b, holding: holding{number: b.opened}, onGiveWay: onGiveWay}
	b.accounts[&a.holding] = a
	return a
}

// Reserve adds n bytes to what the response holds. If there is no room, the slowest
// callers give way; the error is ErrGaveWay if this one has. A positive wait means that
// nothing was added, since it is not known yet which callers are slow, or since this one is
// the slowest but goes on reading: Reserve must be called again after that time, or once
// freed is closed.
func (a *Account) Reserve(n Bytes) (wait time.Duration, freed <-chan struct{}, err error) {
	b := a.budget
	b.mu.Lock()
	var slow []*Account
	for !a.gone && !a.fits(n) {
		var slowest *holding
		slowest, wait = chooseSlowest(b.holdings(), b.clock.Now())
		if slowest == &a.holding {
			// Its caller makes room itself, and nobody else has asked for that.
			wait = max(0, settleTime-b.clock.Since(a.takenAt))
		}
		if wait > 0 {
			break
		}
		if slowest == nil {
			break
		}
		slow = append(slow, b.accounts[slowest])
		b.accounts[slowest].giveWay()
	}
	switch {
	case a.gone:
		wait, err = 0, ErrGaveWay
	case wait > 0:
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed = b.freed
	default:
		a.add(n)
	}
	now := b.clock.Now()
	b.mu.Unlock()
	notify(slow, now)
	return wait, freed, err
}

// fits reports whether there is room for n more bytes of the response.
func (a *Account) fits(n Bytes) bool {
	limit := a.budget.available()
	if a.held+n > smallHolding {
		limit -= limit / reserveShare
	}
	return a.budget.held+n <= limit
}

// available returns how much responses may hold now.
func (b *Budget) available() Bytes {
	if b.Lent == nil {
		return b.limit
	}
	return b.limit + max(0, b.Lent())
}

// TakeBack makes the slowest callers give way while responses hold more than they may, since
// others need what they had lent.
func (b *Budget) TakeBack() {
	b.mu.Lock()
	var slow []*Account
	for b.held > b.available() {
		slowest, _ := chooseSlowest(b.holdings(), b.clock.Now())
		if slowest == nil {
			break
		}
		slow = append(slow, b.accounts[slowest])
		b.accounts[slowest].giveWay()
	}
	now := b.clock.Now()
	b.mu.Unlock()
	notify(slow, now)
}

// notify tells responses that they have given way. It must be called without mu.
func notify(slow []*Account, now time.Time) {
	for _, one := range slow {
		one.onGiveWay(Slowness{Held: one.held, Taken: one.taken, Behind: now.Sub(one.behindSince)})
	}
}

func (a *Account) add(n Bytes) {
	if a.held == 0 {
		a.behindSince, a.taken = a.budget.clock.Now(), 0
		a.takenAt = a.behindSince
		a.older, a.newer = mark{at: a.behindSince}, mark{at: a.behindSince}
	}
	a.held += n
	a.budget.held += n
}

// giveWay ends the account. What it held is described by its fields from then on.
func (a *Account) giveWay() {
	b := a.budget
	a.gone = true
	b.behind += b.clock.Since(a.behindSince)
	b.release(a.held)
	delete(b.accounts, &a.holding)
}

func (b *Budget) countGaveWay() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gaveWay++
}

func (b *Budget) holdings() []*holding {
	all := make([]*holding, 0, len(b.accounts))
	for h := range b.accounts {
		all = append(all, h)
	}
	return all
}

func (b *Budget) release(n Bytes) {
	b.held -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Release subtracts n bytes that the response holds no longer, of which the caller has
// taken some.
func (a *Account) Release(n, taken Bytes) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.gone {
		return
	}
	if taken > 0 {
		a.take(b.clock.Now(), taken)
	}
	if a.held -= n; a.held == 0 {
		b.behind += b.clock.Since(a.behindSince)
	}
	b.release(n)
}

// Close ends the account.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.gone {
		return
	}
	a.gone = true
	if a.held > 0 {
		b.behind += b.clock.Since(a.behindSince)
	}
	b.release(a.held)
	delete(b.accounts, &a.holding)
}
