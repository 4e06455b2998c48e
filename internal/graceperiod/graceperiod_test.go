package graceperiod

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/boottime"
)

// Guards against times that count from anything but the signal, and against requests that
// may not be repeated ending before others.
func TestRequestsEndInTimeBeforeTheProcess(t *testing.T) {
	clock := &boottime.Fake{}
	clock.Advance(time.Hour)
	p := New(clock)
	if p.HasBegun() || p.Elapsed() != 0 {
		t.Error("begun before the signal")
	}
	clock.Advance(time.Minute)
	const length = 8 * time.Second
	p.Begin(length)
	signal := clock.Now()
	clock.Advance(time.Second)
	p.Begin(time.Hour)
	if p.Elapsed() != time.Second {
		t.Errorf("%v since the signal, want 1 s", p.Elapsed())
	}
	repeatable, stopRepeatable := p.With(t.Context(), true)
	defer stopRepeatable()
	other, stopOther := p.With(t.Context(), false)
	defer stopOther()
	ended, stopEnded := p.With(t.Context(), true)
	stopEnded()
	var waits []time.Duration
	p.Run(t.Context(), func(d time.Duration) <-chan time.Time {
		waits = append(waits, d)
		if other.Err() != nil {
			t.Error("a request that may not be repeated has ended first")
		}
		clock.Advance(d)
		fired := make(chan time.Time, 1)
		fired <- time.Time{}
		return fired
	})
	for what, ctx := range map[string]context.Context{"repeatable": repeatable, "other": other} {
		<-ctx.Done()
		if !errors.Is(context.Cause(ctx), ErrEnding) {
			t.Errorf("%s: cause %v", what, context.Cause(ctx))
		}
	}
	if errors.Is(context.Cause(ended), ErrEnding) {
		t.Error("a request that had ended before has ended again")
	}
	if len(waits) != 2 || waits[0] != length-time.Second-repeatableWriteTime || waits[1] != repeatableWriteTime-writeTime {
		t.Errorf("waits %v", waits)
	}
	if last := p.LastResponse(false); last >= signal+length || clock.Now() > last {
		t.Errorf("the last response comes %v after the signal, the process ends after %v", last-signal, length)
	}
}

// Guards against a short period without any time for requests.
func TestShortPeriod(t *testing.T) {
	p := New(&boottime.Fake{})
	p.Begin(time.Second)
	if p.AcceptTime() != 500*time.Millisecond {
		t.Errorf("work begins until %v after the signal", p.AcceptTime())
	}
	if first, last := p.LastResponse(true), p.LastResponse(false); first < 700*time.Millisecond || last < first {
		t.Errorf("requests end %v and %v after the signal", first, last)
	}
}

// Guards against a process without a grace period that ends requests.
func TestNoPeriod(t *testing.T) {
	var p *Period
	ctx, cancel := p.With(t.Context(), true)
	if p.HasBegun() || p.Elapsed() != 0 || ctx.Err() != nil {
		t.Error("a period that does not exist has begun")
	}
	cancel()
	if ctx.Err() == nil {
		t.Error("the context was not cancelled")
	}
}
