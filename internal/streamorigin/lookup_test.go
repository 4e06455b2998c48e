package streamorigin

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/platform"
)

func noneUnrecorded(context.Context) ([]Origin, error) { return nil, nil }

// Guards against a version that counts for nothing since the store could not record it.
func TestHistoryHasUnrecordedOrigins(t *testing.T) {
	l := &Lookup{
		Clock: clockwork.NewRealClock(), Interval: func() time.Duration { return 0 },
		Read:       func(context.Context) (platform.Rows, error) { return platform.Rows{NowMs: 7}, nil },
		Unrecorded: func(context.Context) ([]Origin, error) { return []Origin{OfVersion("p", "v2")}, nil },
	}
	h, err := l.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if versions, certain := h.Versions("p"); !certain || len(versions) != 1 || versions[0] != "v2" {
		t.Errorf("versions %v, certain %v, want v2", versions, certain)
	}
}

// Guards against an answer from a read that had started before the request arrived, and
// against a read for each request.
func TestReadsStartAfterTheirRequests(t *testing.T) {
	const interval = time.Second
	clock := clockwork.NewFakeClock()
	started, finish := make(chan int64), make(chan error)
	var n int64
	l := &Lookup{Clock: clock, Unrecorded: noneUnrecorded, Interval: func() time.Duration { return interval }, Read: func(context.Context) (platform.Rows, error) {
		n++
		rows := platform.Rows{NowMs: n}
		started <- n
		return rows, <-finish
	}}
	first := l.join(t.Context())
	<-started
	// These arrive during the first read, and wait for the second one together.
	later := l.join(t.Context())
	if later == first || l.join(t.Context()) != later {
		t.Fatal("requests do not share the read that starts after them")
	}
	finish <- nil
	<-first.done
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(interval)
	<-started
	finish <- nil
	<-later.done
	if first.history.now != 1 || later.history.now != 2 {
		t.Errorf("histories of reads %d and %d, want 1 and 2", first.history.now, later.history.now)
	}
	if n != 2 {
		t.Errorf("%d reads, want 2", n)
	}
}

// Guards against a request that waits for the store longer than its caller does, and
// against an error that is kept.
func TestLookupEndsWithItsRequest(t *testing.T) {
	clock := clockwork.NewRealClock()
	silent := make(chan struct{})
	var isBack atomic.Bool
	l := &Lookup{Clock: clock, Unrecorded: noneUnrecorded, Interval: func() time.Duration { return 0 }, Read: func(context.Context) (platform.Rows, error) {
		<-silent
		if isBack.Load() {
			return platform.Rows{NowMs: 7}, nil
		}
		return platform.Rows{}, platform.ErrUnavailable
	}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := l.History(ctx); err == nil {
		t.Error("a history without an answer")
	}
	close(silent)
	if _, err := l.History(t.Context()); err == nil {
		t.Error("a history from a failed read")
	}
	isBack.Store(true)
	if h, err := l.History(t.Context()); err != nil || h.now != 7 {
		t.Errorf("history %+v, %v", h, err)
	}
}
