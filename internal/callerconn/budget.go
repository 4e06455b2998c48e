// Package callerconn accepts the connections of callers. It bounds their number and what
// their requests make a daemon hold, all connections together, and decides which of them
// give way when there is no room left.
package callerconn

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// Bytes is a number of bytes.
type Bytes int64

const (
	// reserveShare is the part of the limit, as a divisor, that is kept for requests that
	// hold less than smallHolding. Ordinary requests hold no more than that.
	reserveShare       = 8
	smallHolding Bytes = 64 << 10
	// excessShare is the part of the limit, as a divisor, that a request which is alone may
	// hold beyond it.
	excessShare = 2
	// maxWait bounds the wait of a request for others that give way.
	maxWait = time.Second
	// maxEnding is how many connections may still be ending when others take their places.
	maxEnding = 64
)

var (
	// ErrGaveWay reports that a connection was ended since others need its place.
	ErrGaveWay = errors.New("the connection gave way to others")
	// ErrNoRoom reports that no other connection gives way.
	ErrNoRoom = errors.New("other requests hold all that may be held")
)

// Budget accounts for what the connections of a daemon hold. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock
	// limit bounds what the requests hold together, maxConns the number of connections.
	limit    Bytes
	maxConns int

	mu sync.Mutex
	// fullSince is when there was no place for a new connection; zero if there was one for
	// the last.
	fullSince time.Time
	// noneUntil is until when no request is looked for that gives way.
	noneUntil time.Time
	// held is what the requests hold, ending the part of it that belongs to those which
	// have given way and not ended yet.
	held, ending Bytes
	// endingConns counts these, large the requests that hold more than smallHolding.
	endingConns, large int
	accounts           map[*account]struct{}
	// freed is closed when something is released; nil if nobody waits for that.
	freed   chan struct{}
	figures Figures
}

// Figures are a budget's totals.
type Figures struct {
	// Connections is the number of open connections, Held what their requests hold, up to
	// the limit.
	Connections int
	Held        Bytes
	// IdleClosed counts the idle connections that gave way, SlowEnded the requests that
	// did, Unread those whose response nobody read, and Late all that took longer than
	// they may.
	IdleClosed, SlowEnded, Unread, Late int64
	// Refused counts the connections, NoRoom the requests that found no room.
	Refused, NoRoom int64
}

// NewBudget returns a budget with a limit of what requests hold and of connections.
func NewBudget(clock clockwork.Clock, limit Bytes, maxConns int) *Budget {
	return &Budget{clock: clock, limit: limit, maxConns: maxConns, accounts: map[*account]struct{}{}}
}

// Figures returns the totals.
func (b *Budget) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.figures
	f.Connections, f.Held = len(b.accounts), b.held
	return f
}

// Unused returns how much more connections and requests may hold.
func (b *Budget) Unused() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit - b.held + Bytes(b.maxConns-len(b.accounts))*connCost
}

// open returns the account of a new connection; nil if there is no place for it. It waits for
// a place while it is not known yet which requests come slowly. end is called when the
// connection must end, at most once and with the budget locked.
func (b *Budget) open(end func(writing bool)) *account {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.makePlace() {
		now := b.clock.Now()
		if b.fullSince.IsZero() {
			b.fullSince = now
		}
		wait := settleTime - now.Sub(b.fullSince)
		if wait <= 0 {
			b.figures.Refused++
			return nil
		}
		b.await(nil, wait)
	}
	b.fullSince = time.Time{}
	a := &account{budget: b, end: end, ended: make(chan struct{})}
	a.setStage(idle)
	b.accounts[a] = struct{}{}
	return a
}

// makePlace reports whether there is a place for a new connection, and has another one give
// way if need be.
func (b *Budget) makePlace() bool {
	if b.endingConns > maxEnding {
		return false
	}
	if len(b.accounts)-b.endingConns < b.maxConns {
		return true
	}
	victim := b.choosePlace()
	if victim == nil {
		return false
	}
	b.giveWay(victim)
	return true
}

// limitOf returns how much may be held, all together, once an account holds n bytes.
func (b *Budget) limitOf(n Bytes) Bytes {
	if n <= smallHolding {
		return b.limit
	}
	return b.limit - b.limit/reserveShare
}

// isAlone reports whether no account but one is large.
func (b *Budget) isAlone(a *account) bool {
	return b.large == 0 || b.large == 1 && a.held > smallHolding
}

// reserve adds n bytes to what an account holds. If there is no room, it has others give
// way and waits for them. The error is ErrGaveWay or ErrNoRoom. It requires mu, which it
// unlocks while it waits.
func (b *Budget) reserve(a *account, n Bytes) error {
	var waitUntil time.Time
	for !a.gone && b.held+n > b.limitOf(a.held+n) {
		found := b.makeRoom(a, n)
		if a.gone {
			break
		}
		if !found {
			room := b.limitOf(a.held+n) - b.held
			if b.isAlone(a) && a.excess+n-max(room, 0) <= b.limit/excessShare {
				// A request within the limits must be served when there are no others.
				a.addExcess(n, room)
				return nil
			}
		}
		now := b.clock.Now()
		if waitUntil.IsZero() {
			waitUntil = now.Add(maxWait)
		}
		if !found && a.held+n > smallHolding || !now.Before(waitUntil) {
			b.figures.NoRoom++
			return ErrNoRoom
		}
		b.await(a.ended, min(settleTime, waitUntil.Sub(now)))
	}
	if a.gone {
		return ErrGaveWay
	}
	a.add(n)
	return nil
}

// await waits until something is released or ended is closed, at most for d. It unlocks the
// budget meanwhile.
func (b *Budget) await(ended <-chan struct{}, d time.Duration) {
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	freed := b.freed
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := b.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-freed:
	case <-ended:
	case <-timer.Chan():
	}
}

// makeRoom has accounts give way until there is room for n more bytes of an account, which
// may be the one that does. It reports false if too few of them give way.
func (b *Budget) makeRoom(a *account, n Bytes) bool {
	need := b.held - b.ending + n - b.limitOf(a.held+n)
	if need <= 0 {
		return true
	}
	victims, freed := b.chooseHolders(need)
	if freed < need {
		return false
	}
	for _, v := range victims {
		if v == a {
			b.giveWay(a)
			return true
		}
	}
	for _, v := range victims {
		b.giveWay(v)
	}
	return true
}

// giveWay ends an account's connection.
func (b *Budget) giveWay(a *account) {
	switch a.stage {
	case idle:
		b.figures.IdleClosed++
	case receiving:
		b.figures.SlowEnded++
	case serving:
		b.figures.Unread++
	}
	b.endAccount(a)
}

func (b *Budget) endAccount(a *account) {
	a.gone = true
	close(a.ended)
	b.ending += a.held - a.excess
	b.endingConns++
	a.end(a.stage == serving)
}

// Times is how long callers may take.
type Times struct {
	// Head bounds the time for a head, Request that for a whole request.
	Head, Request time.Duration
	// Idle bounds the time between requests, and before the first one.
	Idle time.Duration
	// Write bounds the time for which nothing of a response is read.
	Write time.Duration
}

// EndLate ends the connections that take longer than they may.
func (b *Budget) EndLate(t Times) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for a := range b.accounts {
		if !a.gone && a.isOverdue(t, now) {
			b.figures.Late++
			a.late = true
			b.endAccount(a)
		}
	}
}
