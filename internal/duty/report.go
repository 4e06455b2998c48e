package duty

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/usage"
)

const (
	// settleTime is how long after its end a window is fixed at the earliest, for
	// hosts that the holder does not know yet. The last reports of those that it
	// knows are waited for.
	settleTime = 300 * time.Millisecond
	// patience is how long after its end a window is fixed although reports are
	// missing, as a fraction of the time within which it is due.
	patience = 0.4
	// eraMargin allows for the difference between the clocks of two daemons.
	eraMargin = time.Second
	// retryInterval is the interval between two attempts to send windows.
	retryInterval = 250 * time.Millisecond
)

// Reporter reports the usage of each window. The content of a window is first
// written to the store under the lease, and never changes after that: a successor
// sends the same content.
type Reporter struct {
	Clock   clockwork.Clock
	Logger  *slog.Logger
	Metrics *metric.Registry
	Tenure  *Tenure
	Ledger  *usage.Ledger
	// Now returns the time since the start of 1970.
	Now func() time.Duration
	// Sources returns the daemons that should report.
	Sources func() []usage.Source
	// Read reads the fixed windows, Fix writes rows under the lease.
	Read func(ctx context.Context) ([]platform.FeedRow, error)
	Fix  func(ctx context.Context, rows ...platform.Write) error
	Send func(ctx context.Context, a Authority, w usage.Window, c usage.Counts) error
	// Length is the length of a window, Due the time after its end within which
	// a window is to be reported.
	Length, Due time.Duration

	// eraSince is the time of the last BeginEra.
	eraSince atomic.Int64

	mu sync.Mutex
	// fence is that of the lease for which the rows were read.
	fence uint64
	slots slots
	// sent holds the windows that the platform has accepted from this daemon.
	sent map[usage.Window]bool
}

// Step fixes the windows that are due. It is called while the lease is held, by
// the goroutine that renews it.
func (r *Reporter) Step(ctx context.Context) {
	fence, ok := r.Tenure.Held()
	if !ok || !r.load(ctx, fence) {
		return
	}
	now := r.Now()
	for w := usage.WindowOf(now-r.Due, r.Length); w.End(r.Length)+settleTime <= now; w++ {
		if r.isFixed(w) || !r.mayFix(w) {
			continue
		}
		if !r.settled(w, now) {
			return
		}
		r.fix(ctx, w)
	}
}

// load reads the windows that earlier holders have fixed, once for each lease.
func (r *Reporter) load(ctx context.Context, fence uint64) bool {
	r.mu.Lock()
	loaded := r.fence == fence
	r.mu.Unlock()
	if loaded {
		return true
	}
	rows, err := r.Read(ctx)
	if err != nil {
		r.Metrics.Inc("usage.notRead")
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence, r.slots = fence, parseSlots(rows)
	return true
}

func (r *Reporter) isFixed(w usage.Window) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.slots.counts(w)
	return ok || r.slots.newest() > w
}

// mayFix reports whether this daemon may determine the content of a window. If
// most daemons have begun to count within the window, counts are missing. A window
// that was fixed before the store was restored from a copy may have been reported.
func (r *Reporter) mayFix(w usage.Window) bool {
	if w.End(r.Length)+settleTime <= time.Duration(r.eraSince.Load())+eraMargin {
		return false
	}
	c := r.Ledger.Coverage(w, r.Sources())
	return c.Total > 0 && 2*c.Since >= c.Total
}

// settled reports whether the counts of a window are complete, or are not going to
// become so in time.
func (r *Reporter) settled(w usage.Window, now time.Duration) bool {
	if now-w.End(r.Length) >= time.Duration(patience*float64(r.Due)) {
		return true
	}
	sources := r.Sources()
	c := r.Ledger.Coverage(w, sources)
	return c.Complete == c.Total && !r.startedWithin(w, sources)
}

// startedWithin reports whether this daemon has started after a window began. Other
// candidates then send it the counts of daemons that have ended.
func (r *Reporter) startedWithin(w usage.Window, sources []usage.Source) bool {
	self := string(r.Tenure.Self())
	own := slices.DeleteFunc(slices.Clone(sources), func(s usage.Source) bool { return s.Host != self })
	return r.Ledger.Coverage(w, own).Since == 0
}

// BeginEra records that the store was restored from a copy, or may have been
// before this daemon started.
func (r *Reporter) BeginEra() { r.eraSince.Store(int64(r.Now())) }

func (r *Reporter) fix(ctx context.Context, w usage.Window) {
	sum := r.Ledger.Sum(w)
	r.mu.Lock()
	rows := r.slots.writes(w, sum.Counts)
	r.mu.Unlock()
	err := r.Fix(ctx, rows...)
	if err != nil {
		// The rows may have been written, so they are read again.
		r.mu.Lock()
		r.fence = 0
		r.mu.Unlock()
		r.Metrics.Inc("usage.notFixed")
		if !errors.Is(err, lease.ErrHeld) {
			r.Logger.Warn("usage not fixed", "window", int64(w), "error", err)
		}
		return
	}
	r.mu.Lock()
	r.fence = 0
	r.slots.add(w, sum.Counts)
	r.mu.Unlock()
	c := r.Ledger.Coverage(w, r.Sources())
	r.Metrics.Inc("usage.fixed")
	r.Logger.Info("usage fixed", "window", int64(w), "requests", total(sum.Counts), "accounts", len(sum.Counts), "sources", sum.Sources,
		"hosts", c.Total, "complete", c.Complete, "afterMs", (r.Now() - w.End(r.Length)).Milliseconds())
}

// Run sends the fixed windows until ctx is cancelled.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(retryInterval):
			r.sendDue(ctx)
		}
	}
}

func (r *Reporter) sendDue(ctx context.Context) {
	for _, one := range r.unsent() {
		a, ok := r.Tenure.Authority()
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.Send(callCtx, a, one.window, one.counts)
		cancel()
		if err != nil {
			r.fail(a, one.window, err)
			return
		}
		r.mu.Lock()
		r.sent[one.window] = true
		r.mu.Unlock()
		r.Metrics.Inc("usage.reported")
		r.Logger.Info("usage reported", "window", int64(one.window), "requests", total(one.counts), "fence", a.Fence,
			"afterMs", (r.Now() - one.window.End(r.Length)).Milliseconds())
	}
}

func (r *Reporter) fail(a Authority, w usage.Window, err error) {
	r.Metrics.Inc("usage.notReported")
	r.Logger.Warn("usage not reported", "window", int64(w), "fence", a.Fence, "error", err)
	if errors.Is(err, ErrConflict) {
		r.Tenure.Refuse(a)
	}
}

// unsent returns the fixed windows that are not late yet and that this daemon has
// not sent, oldest first. Those that an earlier holder has sent are sent again,
// since that is not known; the platform ignores exact repeats.
func (r *Reporter) unsent() (due []fixed) {
	oldest := usage.WindowOf(r.Now()-r.Due, r.Length) - 1
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent = map[usage.Window]bool{}
	}
	for w := range r.sent {
		if w < oldest {
			delete(r.sent, w)
		}
	}
	for _, one := range r.slots.all() {
		if one.window >= oldest && !r.sent[one.window] {
			due = append(due, one)
		}
	}
	return due
}

func total(c usage.Counts) (n uint64) {
	for _, one := range c {
		n += uint64(one)
	}
	return n
}
