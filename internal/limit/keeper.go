package limit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// reviewInterval is how often the keeper looks at what to tell owners.
	reviewInterval = 300 * time.Millisecond
	// restateInterval is how often an owner is told of requests in progress
	// though nothing has changed. A new owner waits longer than that before it
	// hands out places, so that it knows of all of them.
	restateInterval = 2 * time.Second
	// idleAfter is how long a limit is kept without demand.
	idleAfter = 2 * time.Second
	// smoothing is the weight of the newest interval in the demand.
	smoothing = 0.5
)

// Ask asks the owner of some limits for slices. It returns one number for
// each want, or false if no owner answered.
type Ask func(ctx context.Context, owner membership.Host, holder Holder, wants []Want) ([]int, bool)

// Keeper admits requests within the slices that this daemon holds. It is safe
// for concurrent use.
type Keeper struct {
	clock   clockwork.Clock
	view    *membership.View
	ask     Ask
	metrics *metric.Registry

	mu    sync.Mutex
	local map[Key]*local
	// asking has the owners that a call is on its way to.
	asking map[membership.HostID]bool
	// ready are the hosts that ranked was worked out for.
	ready  *membership.Snapshot
	ranked [shards]membership.Host
	// sequence numbers the calls.
	sequence uint64
}

// local is what this daemon holds of one limit.
type local struct {
	// slice is how many requests may be in progress, until ends.
	slice int
	ends  time.Time
	inUse int
	// peak is the largest inUse since the last review.
	peak int
	// lots are the slices of a rate, the oldest first. A lot that is not used
	// in time is lost, so that none can be saved up.
	lots []lot
	// demand is the smoothed number of requests per reviewInterval.
	demand float64
	// arrived counts requests since the last review.
	arrived int
	// announced counts requests that will need the limit next, once an
	// earlier one has admitted them.
	announced int
	// told is what an owner knows of a concurrency.
	told told
	// used is when a request last came.
	used    time.Time
	waiting []*waiter
}

// told is what an owner was last told.
type told struct {
	owner hostRun
	want  Want
	at    time.Time
}

// lot is a slice of a rate.
type lot struct {
	left int
	ends time.Time
}

// waiter is a request that waits for an answer from the owner.
type waiter struct {
	// answer has room for the one answer.
	answer chan verdict
	// asked says that its demand is part of a call on its way.
	asked bool
}

// verdict is what became of a request that waited.
type verdict int

const (
	admitted verdict = iota + 1
	refused
	// unanswered says that no owner could be asked.
	unanswered
)

// NewKeeper returns a keeper without slices.
func NewKeeper(clock clockwork.Clock, view *membership.View, ask Ask, metrics *metric.Registry) *Keeper {
	return &Keeper{
		clock:   clock,
		view:    view,
		ask:     ask,
		metrics: metrics,
		local:   map[Key]*local{},
		asking:  map[membership.HostID]bool{},
	}
}

// Admit takes a place in each limit that binds the request. The function that
// it returns gives the places back. The error is a refusal: the owner was
// asked and has none left, or no owner answered.
func (k *Keeper) Admit(ctx context.Context, cl *table.Class, account table.AccountName) (done func(), err error) {
	keys := keysOf(cl, account)
	k.announce(keys)
	taken := 0
	giveBack := func() {
		for _, key := range keys[:taken] {
			k.release(key)
		}
	}
	for i, key := range keys {
		if err := k.take(ctx, key); err != nil {
			giveBack()
			k.renounce(keys[i+1:])
			return nil, err
		}
		taken++
	}
	var once sync.Once
	return func() { once.Do(giveBack) }, nil
}

// announce notes that a request will need the limits, so that one call to an
// owner asks for all that it owns of them.
func (k *Keeper) announce(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, key := range keys {
		l := k.local[key]
		if l == nil {
			l = &local{}
			k.local[key] = l
		}
		l.announced++
		l.arrived++
		l.used = now
	}
}

// renounce takes back what was announced and will not come.
func (k *Keeper) renounce(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range keys {
		k.local[key].announced--
	}
}

// take admits one announced request by one limit.
func (k *Keeper) take(ctx context.Context, key Key) error {
	k.mu.Lock()
	l := k.local[key]
	l.announced--
	if l.admit(key, k.clock.Now()) {
		k.mu.Unlock()
		return nil
	}
	w := &waiter{answer: make(chan verdict, 1)}
	l.waiting = append(l.waiting, w)
	k.mu.Unlock()
	k.renew(ctx, key)
	return k.await(ctx, key, l, w)
}

// await waits for the owner's answer.
func (k *Keeper) await(ctx context.Context, key Key, l *local, w *waiter) error {
	select {
	case v := <-w.answer:
		return v.refusal(key)
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.withdraw(w)
	select {
	case v := <-w.answer:
		if v == admitted {
			l.giveBack(key)
		}
	default:
	}
	return outcome.NotRunError(outcome.ReasonCallerGone, "the caller is gone")
}

// retryAfter is when a refused caller may try again.
const retryAfter = time.Second

// refusal returns the error for a verdict; nil if the request is admitted.
func (v verdict) refusal(key Key) error {
	if v == admitted {
		return nil
	}
	scope := "class " + string(key.Class)
	if key.Account != "" {
		scope = "account " + string(key.Account) + " in " + scope
	}
	r := outcome.NotRunError(outcome.ReasonRateLimit, "the rate limit of "+scope+" is reached")
	if key.Kind == Concurrency {
		r = outcome.NotRunError(outcome.ReasonConcurrency, "the concurrency limit of "+scope+" is reached")
	}
	if v == unanswered {
		r = outcome.NotRunError(outcome.ReasonNoLimitOwner, "the limit of "+scope+" can't be asked for at the moment")
	}
	r.RetryAfter = retryAfter
	return r
}

// release gives a place back. Admissions by rate stay spent.
func (k *Keeper) release(key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.local[key]; l != nil {
		l.giveBack(key)
	}
}

// admit takes a place of the slice, if one is left.
func (l *local) admit(key Key, now time.Time) bool {
	if key.Kind == Rate {
		return l.admitRate(now)
	}
	if !now.Before(l.ends) || l.inUse >= l.slice {
		return false
	}
	l.inUse++
	l.peak = max(l.peak, l.inUse)
	return true
}

func (l *local) admitRate(now time.Time) bool {
	if l.inHand(now) == 0 {
		return false
	}
	l.lots[0].left--
	return true
}

// inHand returns how many requests the valid lots admit.
func (l *local) inHand(now time.Time) int {
	l.lots = slices.DeleteFunc(l.lots, func(x lot) bool { return x.left == 0 || !now.Before(x.ends) })
	n := 0
	for _, x := range l.lots {
		n += x.left
	}
	return n
}

func (l *local) giveBack(key Key) {
	if key.Kind == Concurrency {
		l.inUse--
	}
}

func (l *local) withdraw(w *waiter) {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// want returns what to ask the owner for: what waits and, of a rate, what is
// likely to come before the next review.
func (l *local) want(key Key, now time.Time) Want {
	if key.Kind == Concurrency {
		w := Want{Key: key, Wanted: max(l.inUse+len(l.waiting)+l.announced, l.peak), InUse: l.inUse}
		if now.Before(l.ends) {
			w.Holding = l.slice
		}
		return w
	}
	ahead := max(int(l.demand), l.announced)
	return Want{Key: key, Wanted: max(len(l.waiting)+ahead-l.inHand(now), 0)}
}

// hasUnasked tells whether a request waits that no call was about.
func (l *local) hasUnasked() bool {
	return slices.ContainsFunc(l.waiting, func(w *waiter) bool { return !w.asked })
}

// isDue tells whether the owner must be told of the limit: if a request waits
// unasked for; of a rate, if more is likely to come than is in hand; of a
// concurrency, if the owner is another, knows of more or fewer requests, or
// was told long ago.
func (l *local) isDue(key Key, now time.Time, owner hostRun) bool {
	w := l.want(key, now)
	if key.Kind == Rate || l.hasUnasked() {
		return w.Wanted > 0
	}
	if l.told.owner != owner {
		return w.Wanted > 0
	}
	return l.told.want.Wanted != w.Wanted || (w.InUse > 0 && now.Sub(l.told.at) >= restateInterval)
}

// isUnused tells whether no request has, awaits or will need a place.
func (l *local) isUnused() bool {
	return l.inUse == 0 && l.announced == 0 && len(l.waiting) == 0
}
