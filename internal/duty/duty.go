// Package duty makes the calls to the platform that are the duty of one daemon at
// a time: usage reports and orders of engines. The daemon that holds a lease makes
// them, under the lease's fencing token. See docs/design/duties.md.
package duty

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/autoscale"
	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/usage"
	"github.com/beechhead/beechhead/pkg/table"
)

// LeaseName is the name of the lease for all duties.
const LeaseName = "duties"

// Authority identifies the holder of the lease in a call.
type Authority struct {
	Holder membership.HostID
	Fence  uint64
}

// EngineOrder orders an absolute number of engines.
type EngineOrder struct {
	Pool table.Pool
	autoscale.Target
}

// Errors of an API. Any other error leaves open whether the call was carried out.
var (
	// ErrConflict means that the call was not carried out: a higher fencing
	// token was seen or, for orders, no such engines are available.
	ErrConflict = errors.New("the call conflicts with the platform's state")
	// ErrThrottled means that there were too many calls.
	ErrThrottled = errors.New("too many calls")
)

// API makes the calls to the platform.
type API struct {
	ReportUsage  func(ctx context.Context, a Authority, w usage.Window, c usage.Counts) error
	OrderEngines func(ctx context.Context, a Authority, o EngineOrder) error
}

const (
	// callTimeout is the timeout of a call. The lease must be valid for longer
	// when a call is sent.
	callTimeout = 1200 * time.Millisecond
	// renewAfter is the age at which the lease is renewed.
	renewAfter = time.Second
	// returnMargin is added to the duration of the lease to get the time after
	// which a holder that has lost it may return.
	returnMargin = time.Second
)

// Terms returns the terms of the lease for a platform on which two holders must
// not act by turns within the given time.
func Terms(turn time.Duration) lease.Terms {
	d := max(turn, 2*callTimeout)
	return lease.Terms{Duration: d, RenewAfter: renewAfter, ReturnAfter: d + returnMargin}
}

// flightTime is how long a call of an earlier holder may be under way if the
// platform does not check fencing tokens.
const flightTime = 15 * time.Second

// Tenure holds the lease while this daemon is to perform the duties. It is safe
// for concurrent use except Run and the functions that it calls.
type Tenure struct {
	Clock   clockwork.Clock
	Boot    boottime.Clock
	Logger  *slog.Logger
	Metrics *metric.Registry
	Self    func() membership.HostID
	// Hosts returns the hosts that may hold the lease.
	Hosts   func() *membership.Snapshot
	Renewer *lease.Renewer
	// ChecksFence is set if the platform refuses calls with an old token.
	ChecksFence bool
	// WhileHeld is called regularly while the lease is held.
	WhileHeld func(ctx context.Context)

	current atomic.Pointer[term]
	// heardAt is the boot time at which another holder was last heard of.
	heardAt atomic.Int64
	refused atomic.Uint64
}

// term is a valid lease.
type term struct {
	authority Authority
	// since is when the calls may begin, expiry when the lease ends.
	since, expiry time.Duration
}

const (
	// candidates is the number of hosts that may acquire the lease. They receive
	// the reports of all daemons.
	candidates = 4
	// holderTimeout is how long the first candidate waits for news of a holder
	// before it tries to acquire the lease; each further one waits that long
	// more.
	holderTimeout = time.Second
	// tenureInterval is the interval between two checks of the lease.
	tenureInterval = 200 * time.Millisecond
)

// Run keeps the lease until ctx is cancelled. The lease then expires by itself: a
// successor that could act at once might act between two calls of this host.
func (t *Tenure) Run(ctx context.Context) {
	t.heardAt.Store(int64(t.Boot.Now()))
	ticker := t.Clock.NewTicker(tenureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.current.Store(nil)
			return
		case <-ticker.Chan():
			t.step(ctx)
		}
	}
}

func (t *Tenure) step(ctx context.Context) {
	held := t.Renewer.Valid(0)
	if held && (!t.Eligible() || t.Renewer.Lease().Fence == t.refused.Load()) {
		t.Renewer.Forget()
		held = false
	}
	if held || t.shouldAcquire() {
		t.Renewer.EnsureHeld(ctx, 0)
	}
	t.publish()
	if t.current.Load() != nil {
		t.WhileHeld(ctx)
		t.publish()
	}
}

// publish makes the current state of the lease known to the other goroutines.
func (t *Tenure) publish() {
	l, was := t.Renewer.Lease(), t.current.Load()
	if !t.Renewer.Valid(0) {
		if was != nil {
			t.Metrics.Inc("duties.lost")
			t.Logger.Info("duties lost", "fence", was.authority.Fence)
		}
		t.current.Store(nil)
		return
	}
	next := &term{authority: Authority{t.Self(), l.Fence}, since: l.AcquiredAt, expiry: t.Renewer.Expiry()}
	if !t.ChecksFence {
		next.since += flightTime
	}
	if was == nil || was.authority != next.authority {
		t.Metrics.Inc("duties.taken")
		t.Logger.Info("duties taken", "fence", l.Fence)
	}
	t.current.Store(next)
}

// Eligible reports whether this host is one of the candidates.
func (t *Tenure) Eligible() bool {
	position, ok := t.Hosts().Order(LeaseName).Position(t.Self())
	return ok && position < candidates
}

// shouldAcquire reports whether this host is the next candidate, since the earlier
// ones have had their time.
func (t *Tenure) shouldAcquire() bool {
	position, ok := t.Hosts().Order(LeaseName).Position(t.Self())
	if !ok || position >= candidates {
		return false
	}
	silent := t.Boot.Now() - time.Duration(t.heardAt.Load())
	return silent >= time.Duration(position+1)*holderTimeout
}

// Heard records that another host holds the lease.
func (t *Tenure) Heard() { t.heardAt.Store(int64(t.Boot.Now())) }

// Authority returns the authority for a call that is to be sent now; false if this
// daemon may not send it. The lease is still valid when the call has timed out.
func (t *Tenure) Authority() (Authority, bool) {
	c := t.current.Load()
	now := t.Boot.Now()
	if c == nil || now < c.since || now+callTimeout >= c.expiry || c.authority.Fence == t.refused.Load() {
		return Authority{}, false
	}
	return c.authority, true
}

// Held reports whether this daemon holds the lease, and its fencing token.
func (t *Tenure) Held() (fence uint64, ok bool) {
	c := t.current.Load()
	if c == nil || t.Boot.Now() >= c.expiry {
		return 0, false
	}
	return c.authority.Fence, true
}

// Refuse records that the platform has seen a higher token than a's, so that it is
// not used again.
func (t *Tenure) Refuse(a Authority) {
	t.refused.Store(a.Fence)
	t.Metrics.Inc("duties.refused")
	t.Logger.Warn("duties refused", "fence", a.Fence)
}
