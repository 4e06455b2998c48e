// Package graceperiod tracks the time that a process has between the signal to stop and
// the moment at which the platform kills it.
package graceperiod

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/boottime"
)

const (
	// acceptTime is the longest AcceptTime: callers cache resolved addresses for some seconds.
	acceptTime = 2500 * time.Millisecond
	// writeTime is kept free at the end of the period, to respond to requests that may not
	// be repeated and still run.
	writeTime = 400 * time.Millisecond
	// repeatableWriteTime is the same for all other requests. Their callers ask elsewhere,
	// so that they end first.
	repeatableWriteTime = 700 * time.Millisecond
	// maxShare divides the period if it is short: both times are at most this part of it.
	maxShare = 5
)

// ErrEnding is the cause of contexts that are cancelled since the period ends.
var ErrEnding = errors.New("the process is about to end")

// Period is the grace period of a process. It is safe for concurrent use.
type Period struct {
	clock boottime.Clock
	// begun is closed when the period begins. began and length are written before.
	begun         chan struct{}
	once          sync.Once
	began, length time.Duration

	repeatable, other       context.Context //nolint:containedctx // they only signal
	endRepeatable, endOther context.CancelFunc
}

// New returns a period that has not begun.
func New(clock boottime.Clock) *Period {
	p := &Period{clock: clock, begun: make(chan struct{})}
	p.repeatable, p.endRepeatable = context.WithCancel(context.Background())
	p.other, p.endOther = context.WithCancel(context.Background())
	return p
}

// Begin begins the period, which lasts for some time. Further calls do nothing.
func (p *Period) Begin(length time.Duration) {
	p.once.Do(func() {
		p.began, p.length = p.clock.Now(), length
		close(p.begun)
	})
}

// Begun returns a channel that is closed when the period begins. It returns nil, which
// blocks forever, if p is nil.
func (p *Period) Begun() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.begun
}

// HasBegun reports whether the period has begun. It is false if p is nil.
func (p *Period) HasBegun() bool {
	select {
	case <-p.Begun():
		return true
	default:
		return false
	}
}

// Elapsed returns the time since the period began; zero if it has not.
func (p *Period) Elapsed() time.Duration {
	if !p.HasBegun() {
		return 0
	}
	return p.clock.Now() - p.began
}

// With returns a context that is also cancelled, with the cause ErrEnding, when a request
// must end so that there is time to respond to its caller. It returns a copy of ctx if p is
// nil.
func (p *Period) With(ctx context.Context, repeatable bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := p.OnEnding(repeatable, func() { cancel(ErrEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// OnEnding calls f when a request must end, unless stop is called before.
func (p *Period) OnEnding(repeatable bool, f func()) (stop func()) {
	if p == nil {
		return func() {}
	}
	ending := p.other
	if repeatable {
		ending = p.repeatable
	}
	cancel := context.AfterFunc(ending, f)
	return func() { cancel() }
}

// LastResponse returns the time since the machine's start at which requests must end. The period
// must have begun.
func (p *Period) LastResponse(repeatable bool) time.Duration {
	reserve := writeTime
	if repeatable {
		reserve = repeatableWriteTime
	}
	return p.began + p.length - min(reserve, p.length/maxShare)
}

// AcceptTime returns how long after the signal work may begin of which it is not known how
// long it takes: not in the second half of the period. The period must have begun.
func (p *Period) AcceptTime() time.Duration { return min(acceptTime, p.length/2) }

// LastStart returns the latest time since the machine's start at which work may begin that
// is expected to take some time. If that is not known, it may begin until AcceptTime. The
// period must have begun.
func (p *Period) LastStart(repeatable bool, expected time.Duration, known bool) time.Duration {
	if !known {
		return p.began + p.AcceptTime()
	}
	return p.LastResponse(repeatable) - expected
}

// Run cancels the contexts in time, and returns when it has or when ctx is done. It waits
// for the period to begin. The function after returns a channel that receives a value when
// some time has passed.
func (p *Period) Run(ctx context.Context, after func(time.Duration) <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-p.begun:
	}
	for _, step := range []struct {
		at  time.Duration
		end func()
	}{
		{p.LastResponse(true), p.endRepeatable},
		{p.LastResponse(false), p.endOther},
	} {
		for left := step.at - p.clock.Now(); left > 0; left = step.at - p.clock.Now() {
			select {
			case <-ctx.Done():
				return
			case <-after(left):
			}
		}
		step.end()
	}
}
