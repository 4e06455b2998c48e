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
	// refreshInterval is how often the limiter updates its demand estimates and
	// renews slices that are due.
	refreshInterval = 300 * time.Millisecond
	// reportInterval is how often the requests in progress are reported to an
	// owner even if nothing has changed. A new owner waits longer than this
	// (takeoverDelay) before it grants concurrency, so it has received the
	// in-use count of every host by then.
	reportInterval = 2 * time.Second
	// idleTimeout is how long the local state of an unused limit is kept.
	idleTimeout = 2 * time.Second
	// smoothingFactor is the weight of the newest interval in the exponential
	// moving average of demand.
	smoothingFactor = 0.5
)

// AcquireFunc requests slices from the owner of some limits. It returns one
// number for each request, in order, or false if the owner did not respond or
// rejected the call.
type AcquireFunc func(ctx context.Context, owner membership.Host, holder Holder, wants []SliceRequest) ([]int, bool)

// Limiter admits requests within the slices that this daemon holds. It is safe
// for concurrent use.
type Limiter struct {
	clock         clockwork.Clock
	view          *membership.View
	acquireSlices AcquireFunc
	metrics       *metric.Registry

	mu     sync.Mutex
	limits map[Key]*localLimit
	// inFlight holds the owners with a call in progress.
	inFlight map[membership.HostID]bool
	// readyHosts is the snapshot from which shardOwners was computed.
	readyHosts  *membership.Snapshot
	shardOwners [shardCount]membership.Host
	// sequence is the number of the last call sent to any owner.
	sequence uint64
}

// localLimit is the state of one limit on this daemon.
type localLimit struct {
	// slice is how many requests may be in progress until expiresAt.
	slice     int
	expiresAt time.Time
	inUse     int
	// peakInUse is the largest recent inUse. Each refresh lowers it by one
	// while it exceeds inUse, and to zero if nothing is in use.
	peakInUse int
	// rateSlices are the valid slices of a rate limit, oldest first. A slice
	// not used before it expires is lost, so that unused admissions can't
	// accumulate.
	rateSlices []rateSlice
	// demand is the smoothed number of requests per refreshInterval.
	demand float64
	// arrivals counts requests since the last refresh.
	arrivals int
	// upcoming counts requests that will need this limit but are still being
	// admitted by an earlier one. Admit takes the limits of a request one after
	// another.
	upcoming int
	// lastReport is the last request sent to an owner. It is used for
	// concurrency limits only.
	lastReport report
	// lastUsed is when the last request arrived.
	lastUsed time.Time
	waiters  []*waiter
}

// report records a slice request sent to an owner.
type report struct {
	owner   hostIncarnation
	request SliceRequest
	sentAt  time.Time
}

// rateSlice is a slice of a rate limit.
type rateSlice struct {
	remaining int
	expiresAt time.Time
}

// waiter is a request that waits for the owner's response.
type waiter struct {
	// result is buffered, so that the sender never blocks.
	result chan decision
	// requested reports whether the call in flight includes this request.
	requested bool
}

// decision is the result for a request that waited.
type decision int

const (
	admitted decision = iota + 1
	refused
	// unanswered means that there was no owner or that no response arrived.
	unanswered
)

// NewLimiter returns a limiter that holds no slices.
func NewLimiter(clock clockwork.Clock, view *membership.View, ask AcquireFunc, metrics *metric.Registry) *Limiter {
	return &Limiter{
		clock:         clock,
		view:          view,
		acquireSlices: ask,
		metrics:       metrics,
		limits:        map[Key]*localLimit{},
		inFlight:      map[membership.HostID]bool{},
	}
}

// Admit acquires a permit from every limit that applies to the request. The
// returned function releases the permits; calling it more than once has no
// effect. The error is a refusal: the owner granted no permit, or no owner
// responded.
func (k *Limiter) Admit(ctx context.Context, cl *table.Class, account table.AccountName) (done func(), err error) {
	keys := keysOf(cl, account)
	k.addUpcoming(keys)
	taken := 0
	releaseTaken := func() {
		for _, key := range keys[:taken] {
			k.release(key)
		}
	}
	for i, key := range keys {
		if err := k.admitOne(ctx, key); err != nil {
			releaseTaken()
			k.removeUpcoming(keys[i+1:])
			return nil, err
		}
		taken++
	}
	var once sync.Once
	return func() { once.Do(releaseTaken) }, nil
}

// addUpcoming registers that a request will need the limits, so that one call
// to an owner can cover all limits of the request that it owns.
func (k *Limiter) addUpcoming(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, key := range keys {
		l := k.limits[key]
		if l == nil {
			l = &localLimit{}
			k.limits[key] = l
		}
		l.upcoming++
		l.arrivals++
		l.lastUsed = now
	}
}

// removeUpcoming undoes addUpcoming for limits that the request will not reach.
func (k *Limiter) removeUpcoming(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range keys {
		k.limits[key].upcoming--
	}
}

// admitOne admits a request to one limit for which addUpcoming was called. If
// the local slice is used up, it asks the owner and waits.
func (k *Limiter) admitOne(ctx context.Context, key Key) error {
	k.mu.Lock()
	l := k.limits[key]
	l.upcoming--
	if l.admit(key, k.clock.Now()) {
		k.mu.Unlock()
		return nil
	}
	w := &waiter{result: make(chan decision, 1)}
	l.waiters = append(l.waiters, w)
	k.mu.Unlock()
	k.requestNow(ctx, key)
	return k.waitForOwner(ctx, key, l, w)
}

// waitForOwner waits until the owner's response resolves w or ctx ends.
func (k *Limiter) waitForOwner(ctx context.Context, key Key, l *localLimit, w *waiter) error {
	select {
	case v := <-w.result:
		return v.toError(key)
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.removeWaiter(w)
	select {
	case v := <-w.result:
		if v == admitted {
			l.release(key)
		}
	default:
	}
	return outcome.NotRunError(outcome.ReasonCallerGone, "the caller is gone")
}

// retryAfter is the delay after which a refused caller may try again.
const retryAfter = time.Second

// toError returns the refusal for a decision, or nil if the request was
// admitted.
func (v decision) toError(key Key) error {
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

// release returns a permit to a concurrency limit. Admissions by rate are not
// refunded.
func (k *Limiter) release(key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.limits[key]; l != nil {
		l.release(key)
	}
}

// admit takes a permit from the local slice if one is left.
func (l *localLimit) admit(key Key, now time.Time) bool {
	if key.Kind == Rate {
		return l.admitRate(now)
	}
	if !now.Before(l.expiresAt) || l.inUse >= l.slice {
		return false
	}
	l.inUse++
	l.peakInUse = max(l.peakInUse, l.inUse)
	return true
}

func (l *localLimit) admitRate(now time.Time) bool {
	if l.rateRemaining(now) == 0 {
		return false
	}
	l.rateSlices[0].remaining--
	return true
}

// rateRemaining drops expired and used slices of a rate limit and returns how
// many requests the others admit.
func (l *localLimit) rateRemaining(now time.Time) int {
	l.rateSlices = slices.DeleteFunc(l.rateSlices, func(x rateSlice) bool { return x.remaining == 0 || !now.Before(x.expiresAt) })
	n := 0
	for _, x := range l.rateSlices {
		n += x.remaining
	}
	return n
}

func (l *localLimit) release(key Key) {
	if key.Kind == Concurrency {
		l.inUse--
	}
}

func (l *localLimit) removeWaiter(w *waiter) {
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
}

// sliceRequest returns the request to send to the owner. For a rate limit it
// covers the waiting requests and those expected before the next refresh.
func (l *localLimit) sliceRequest(key Key, now time.Time) SliceRequest {
	if key.Kind == Concurrency {
		w := SliceRequest{Key: key, Wanted: max(l.inUse+len(l.waiters)+l.upcoming, l.peakInUse), InUse: l.inUse}
		if now.Before(l.expiresAt) {
			w.Holding = l.slice
		}
		return w
	}
	expected := max(int(l.demand), l.upcoming)
	return SliceRequest{Key: key, Wanted: max(len(l.waiters)+expected-l.rateRemaining(now), 0)}
}

// hasUnrequested reports whether a request waits that no call has included.
func (l *localLimit) hasUnrequested() bool {
	return slices.ContainsFunc(l.waiters, func(w *waiter) bool { return !w.requested })
}

// isDue reports whether a slice must be requested from the owner. Any limit is
// due when a request waits that no call has included. A rate limit is also due
// when the expected demand exceeds what remains. A concurrency limit is also
// due when the owner or its incarnation has changed, when the wanted number
// differs from the last report, or when the last report is older than
// reportInterval and requests are in progress.
func (l *localLimit) isDue(key Key, now time.Time, owner hostIncarnation) bool {
	w := l.sliceRequest(key, now)
	if key.Kind == Rate || l.hasUnrequested() {
		return w.Wanted > 0
	}
	if l.lastReport.owner != owner {
		return w.Wanted > 0
	}
	return l.lastReport.request.Wanted != w.Wanted || (w.InUse > 0 && now.Sub(l.lastReport.sentAt) >= reportInterval)
}

// isUnused reports whether no request holds, waits for or will need a permit.
func (l *localLimit) isUnused() bool {
	return l.inUse == 0 && l.upcoming == 0 && len(l.waiters) == 0
}
