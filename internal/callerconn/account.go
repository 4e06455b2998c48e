package callerconn

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// stage is how far a connection's request has come.
type stage int

const (
	// idle means that nothing of a request has come.
	idle stage = iota
	// receiving means that a part of a request has come.
	receiving
	// serving means that a request has come whole, so that an endpoint may have it. Such a
	// connection does not give way, but if nobody reads the response.
	serving
)

const (
	// settleTime is how long it takes to tell how fast something comes.
	settleTime = 500 * time.Millisecond
	// minSpeed is how many bytes of a request must come in a second, lest it gives way.
	minSpeed = 64 << 10
	// blockedTime is how long a write must be in progress until it is clear that nobody
	// reads the response.
	blockedTime = 2 * time.Second
	// chooseInterval is how long no request is looked for that gives way once there was
	// none.
	chooseInterval = 25 * time.Millisecond
)

// account is the part of a budget that one connection uses. Its fields are guarded by
// Budget.mu.
type account struct {
	budget *Budget
	// end interrupts the connection; ended is closed before.
	end   func(writing bool)
	ended chan struct{}
	gone  bool
	// late is set before ended is closed if the connection took longer than it may.
	late bool

	held Bytes
	// excess is the part of held that the budget does not count: more than its limit, which
	// a request may take that is alone.
	excess Bytes
	stage  stage
	// inHead is set while a head is received.
	inHead bool
	// since is when the stage began.
	since time.Time
	// received counts the bytes of the request, lastAt is when the last of them came; older
	// and newer are what it was at two moments, at least settleTime apart.
	received     int64
	lastAt       time.Time
	older, newer mark
	// unread is set while unreadCost is part of what the account holds.
	unread bool
	// writing is when the write in progress began, in Unix nanoseconds; zero if there is
	// none. Budget.mu does not guard it.
	writing atomic.Int64
}

// blocked returns for how long a write is in progress.
func (a *account) blocked(now time.Time) time.Duration {
	began := a.writing.Load()
	if began == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, began))
}

// mark is how many bytes had come at a moment.
type mark struct {
	at       time.Time
	received int64
}

func (a *account) setStage(s stage) {
	a.stage, a.since = s, a.budget.clock.Now()
	if s == receiving {
		a.received = 0
		a.lastAt = a.since
		a.older = mark{at: a.since}
		a.newer = a.older
	}
}

// addExcess adds n bytes of which no more than room are counted.
func (a *account) addExcess(n, room Bytes) {
	a.add(n)
	if over := n - max(room, 0); over > 0 {
		a.excess += over
		a.budget.held -= over
	}
}

func (a *account) add(n Bytes) {
	was := a.held > smallHolding
	a.held += n
	a.budget.held += n
	if is := a.held > smallHolding; is != was {
		if is {
			a.budget.large++
		} else {
			a.budget.large--
		}
	}
}

// release subtracts from what the account holds.
func (a *account) release(n Bytes) {
	b := a.budget
	over := min(n, a.excess)
	a.add(-n)
	a.excess -= over
	b.held += over
	if a.gone {
		b.ending -= n - over
	}
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// isOverdue reports whether the stage has taken longer than it may.
func (a *account) isOverdue(t Times, now time.Time) bool {
	age := now.Sub(a.since)
	switch {
	case a.stage == idle:
		return age > t.Idle
	case a.stage == serving:
		return a.blocked(now) > t.Write
	case a.inHead:
		return age > t.Head
	}
	return age > t.Request
}

// hasGivenWay reports whether the connection must end.
func (a *account) hasGivenWay() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// progress is what a connection has received.
type progress struct {
	// bytes is how much came, cost what it makes the daemon hold.
	bytes int64
	cost  Bytes
	// whole is set if it completes a request, inHead if it ends within a head.
	whole, inHead bool
}

// receive accounts for what a connection has received.
func (a *account) receive(p progress) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.stage == idle {
		a.setStage(receiving)
	}
	a.inHead = p.inHead && !p.whole
	a.progress(p.bytes)
	if err := b.reserve(a, p.cost); err != nil {
		return err
	}
	if p.whole {
		a.setStage(serving)
	}
	return nil
}

func (a *account) progress(n int64) {
	a.received += n
	a.lastAt = a.budget.clock.Now()
	if a.lastAt.Sub(a.newer.at) >= settleTime {
		a.older, a.newer = a.newer, mark{at: a.lastAt, received: a.received}
	}
}

// speed returns how many bytes a second have come lately.
func (a *account) speed(now time.Time) float64 {
	if now.Sub(a.lastAt) >= settleTime {
		return 0
	}
	return float64(a.received-a.older.received) / now.Sub(a.older.at).Seconds()
}

// isLate reports whether the connection must end since it took longer than it may.
func (a *account) isLate() bool { return a.hasGivenWay() && a.late }

// isIdle reports whether nothing of a request has come.
func (a *account) isIdle() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.stage == idle
}

// isServing reports whether a request has come whole and is not answered.
func (a *account) isServing() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.stage == serving
}

// begin records that the server has read a head. If the connection is opaque, its handler
// accounts for the request from then on.
func (a *account) begin(opaque bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	switch {
	case a.gone:
	case opaque:
		a.release(a.held)
		a.setStage(serving)
	case a.stage == idle:
		// The whole request was read along with the one before it.
		a.setStage(serving)
	}
}

// finish records that a request was answered. more is set if a part of the next one has come,
// inHead if that is a part of its head.
func (a *account) finish(more, inHead bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(a.held)
	a.unread = false
	if a.inHead = inHead; more {
		a.setStage(receiving)
		return
	}
	a.setStage(idle)
}

// holdUnread accounts for what a caller may send while it is not read. It reports whether
// there is room for that.
func (a *account) holdUnread() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.unread {
		return true
	}
	if b.held+unreadCost > b.limitOf(a.held+unreadCost) {
		return false
	}
	a.unread = true
	a.add(unreadCost)
	return true
}

// close ends the account.
func (a *account) close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.accounts[a]; !ok {
		return
	}
	delete(b.accounts, a)
	a.release(a.held)
	if a.gone {
		b.endingConns--
		return
	}
	a.gone = true
	close(a.ended)
}

// choosePlace returns the account whose connection gives way for a new one: the longest idle
// one, or that whose request comes most slowly, or that whose response has not been read for
// the longest time; nil if none of them does.
func (b *Budget) choosePlace() *account {
	now := b.clock.Now()
	var idlest *account
	for a := range b.accounts {
		if !a.gone && a.stage == idle && (idlest == nil || a.since.Before(idlest.since)) {
			idlest = a
		}
	}
	if idlest != nil {
		return idlest
	}
	if all := b.standing(now); len(all) > 0 {
		return all[0]
	}
	return nil
}

// chooseHolders returns the accounts that give way for so many bytes, and how much that
// frees: the requests that come slowly, the slowest first, then those whose responses nobody
// reads.
func (b *Budget) chooseHolders(need Bytes) (victims []*account, freed Bytes) {
	now := b.clock.Now()
	if now.Before(b.noneUntil) {
		return nil, 0
	}
	defer func() {
		if freed == 0 {
			b.noneUntil = now.Add(chooseInterval)
		}
	}()
	for _, a := range b.standing(now) {
		if freed >= need {
			break
		}
		if n := a.held - a.excess; n > 0 {
			victims = append(victims, a)
			freed += n
		}
	}
	return victims, freed
}

// standing returns the accounts whose requests come slowly, the slowest first, and then
// those whose responses nobody reads, the longest unread first.
func (b *Budget) standing(now time.Time) []*account {
	var slow, unread []*account
	for a := range b.accounts {
		switch {
		case a.gone:
		case a.stage == receiving && now.Sub(a.since) >= settleTime && a.speed(now) < minSpeed:
			slow = append(slow, a)
		case a.stage == serving && a.blocked(now) >= blockedTime:
			unread = append(unread, a)
		}
	}
	slices.SortFunc(slow, func(x, y *account) int { return compareSlow(x, y, now) })
	slices.SortFunc(unread, func(x, y *account) int { return cmp.Compare(x.writing.Load(), y.writing.Load()) })
	return append(slow, unread...)
}

// compareSlow orders requests by their speed; of those of which nothing has come lately,
// the one that holds most is first.
func compareSlow(x, y *account, now time.Time) int {
	switch sx, sy := x.speed(now), y.speed(now); {
	case sx < sy:
		return -1
	case sx > sy:
		return 1
	}
	return int(min(max(y.held-x.held, -1), 1))
}
