package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/graceperiod"
	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against a leaving host that sends a request whose response is not expected in time,
// or that refuses one that would end in time.
func TestLastStart(t *testing.T) {
	const grace, signal = 8 * time.Second, time.Minute
	at := func(d time.Duration) time.Duration { return signal + d }
	for name, tt := range map[string]struct {
		kind catalog.Kind
		// took are the times of earlier responses.
		took []time.Duration
		// deadline counts from the signal.
		deadline time.Duration
		change   func(*run)
		// want counts from the signal; zero means no limit.
		want time.Duration
	}{
		"nothing is known":             {kind: catalog.Unsafe, deadline: time.Minute, want: 2500 * time.Millisecond},
		"its deadline comes first":     {kind: catalog.Unsafe, deadline: 7 * time.Second},
		"unsafe, the longest counts":   {kind: catalog.Unsafe, took: seconds(1, 1, 1, 1, 1, 3), deadline: time.Minute, want: 4600 * time.Millisecond},
		"safe, half of them count":     {kind: catalog.Safe, took: seconds(1, 1, 1, 1, 1, 3), deadline: time.Minute, want: 6300 * time.Millisecond},
		"stream, nearly all count":     {kind: catalog.Stream, took: seconds(1, 1, 1, 1, 1, 3), deadline: time.Minute, want: 4600 * time.Millisecond},
		"longer than the grace period": {kind: catalog.Unsafe, took: seconds(9, 9, 9, 9, 9), deadline: time.Minute, want: -1400 * time.Millisecond},
		"stream that has begun": {kind: catalog.Stream, took: seconds(9, 9, 9, 9, 9), deadline: time.Minute,
			change: func(r *run) { r.headSent = true }},
		"another attempt, nothing is known": {kind: catalog.Safe, deadline: time.Minute, change: func(r *run) { r.mayHaveRun = 1 }},
		"another attempt": {kind: catalog.Safe, took: seconds(2, 2, 2, 2, 2), deadline: time.Minute,
			change: func(r *run) { r.mayHaveRun = 1 }, want: 5300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &boottime.Fake{}
			clock.Advance(signal)
			f := &Forwarder{Clock: clockwork.NewFakeClock(), BootClock: clock, Grace: graceperiod.New(clock)}
			r := &run{f: f, req: &Request{Class: "c", Kind: tt.kind, Deadline: at(tt.deadline)}}
			for _, d := range tt.took {
				f.durations.Observe("c", 0, d)
			}
			if tt.change != nil {
				tt.change(r)
			}
			if _, limited := r.lastStart(); limited || r.tooLate() {
				t.Error("limited before the signal")
			}
			f.Grace.Begin(grace)
			got, limited := r.lastStart()
			if limited != (tt.want != 0) || limited && got != at(tt.want) {
				t.Errorf("last start %v after the signal, %v, want %v", got-signal, limited, tt.want)
			}
			clock.Advance(max(0, tt.want-time.Millisecond))
			if tt.want > 0 && r.tooLate() {
				t.Error("too late before that")
			}
			clock.Advance(time.Millisecond)
			if r.tooLate() != limited {
				t.Errorf("too late is %v then, want %v", r.tooLate(), limited)
			}
		})
	}
}

func seconds(n ...int) (all []time.Duration) {
	for _, s := range n {
		all = append(all, time.Duration(s)*time.Second)
	}
	return all
}

// leavingGrace is short; requests of unknown length may start in its first half.
const leavingGrace = 3 * time.Second

// newLeavingForwarder returns a forwarder, a request of a kind, and a function that sends the
// signal to stop and returns the result of the request.
func newLeavingForwarder(t *testing.T, s *site, kind catalog.Kind) (*Forwarder, func() error) {
	f := newTestForwarder(s)
	f.Grace = graceperiod.New(boottime.System{})
	go f.Grace.Run(t.Context(), f.Clock.After)
	now := boottime.System{}.Now()
	r := &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p", Kind: kind, Attempts: 2,
		ReceivedAt: now, Deadline: now + time.Minute, MaySend: func() *outcome.Refusal { return nil },
	}
	ctx, cancel := f.Grace.With(t.Context(), r.Repeatable())
	t.Cleanup(cancel)
	return f, func() error {
		f.Grace.Begin(leavingGrace)
		return f.Do(ctx, r, Sink{Head: func(int, http.Header, int64) {}, Body: func([]byte) error { return nil }})
	}
}

// Guards against a request that no endpoint has, and that waits until its host is killed,
// whatever it waits for.
func TestWaitsEndBeforeTheHost(t *testing.T) {
	const endpoint = "a"
	noEndpoint := outcome.NotRunError(outcome.ReasonNoEndpoint, "none is free")
	awaitSlot := func(ctx context.Context, _ placement.Request) (*placement.Grant, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, tt := range map[string]struct {
		prepare func(*Forwarder)
		want    outcome.Outcome
	}{
		"for a slot": {func(f *Forwarder) {
			f.Reserve = awaitSlot
		}, outcome.NotRun},
		"for the end of a back-off": {func(f *Forwarder) {
			f.Notices.Record(&table.Endpoint{Name: endpoint, Pool: "p"}, placement.Announcement{Backoff: 10 * time.Second})
			f.Reserve = func(context.Context, placement.Request) (*placement.Grant, error) { return nil, noEndpoint }
		}, outcome.NotRun},
		"for the connection to an endpoint": {func(f *Forwarder) {
			f.Pool = http1.NewPool(f.Clock, func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
		}, outcome.NotRun},
		"for a slot of another attempt": {func(f *Forwarder) {
			f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 1} }
			first := f.Reserve
			f.Reserve = func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
				if r.Attempt > 0 {
					return awaitSlot(ctx, r)
				}
				return first(ctx, r)
			}
		}, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &site{}
			s.listen(t, "")
			f, leave := newLeavingForwarder(t, s, catalog.Safe)
			tt.prepare(f)
			refusal, ok := errors.Into[*outcome.Refusal](leave())
			if !ok || refusal.Outcome != tt.want {
				t.Errorf("refusal %v, want outcome %s", refusal, tt.want)
			}
		})
	}
}

// Guards against a request that an endpoint has and that is ended with those that wait.
func TestSentRequestsAreNotAbandoned(t *testing.T) {
	s := &site{}
	s.listen(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood")
	f, leave := newLeavingForwarder(t, s, catalog.Unsafe)
	var abandoned atomic.Bool
	f.Protocol.ReadHead = func(int, http.Header) ResponseInfo {
		// The response comes after the time until which the request might have been sent.
		time.Sleep(leavingGrace*6/10 - f.Grace.Elapsed())
		abandoned.Store(f.Grace.Elapsed() > leavingGrace/2)
		return ResponseInfo{Signed: true}
	}
	if err := leave(); err != nil || !abandoned.Load() {
		t.Errorf("%v, want a response", err)
	}
}

// Guards against a request that an endpoint may have run and that is refused as not run, or
// gets no response, when its host ends.
func TestRequestsAtSilentEndpointsEndAsUnknown(t *testing.T) {
	for name, kind := range testKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &site{}
			s.listen(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 9\r\n\r\npart")
			f, leave := newLeavingForwarder(t, s, kind)
			f.Protocol.ReadHead = func(int, http.Header) ResponseInfo {
				time.Sleep(leavingGrace)
				return ResponseInfo{Signed: true}
			}
			refusal, ok := errors.Into[*outcome.Refusal](leave())
			if !ok || refusal.Outcome != outcome.Unknown {
				t.Errorf("refusal %v, want an unknown outcome", refusal)
			}
		})
	}
}
