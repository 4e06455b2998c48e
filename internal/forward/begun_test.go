package forward

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
)

// Guards against usage that leaves out requests whose response was lost, and
// against usage that counts requests which no endpoint has begun to run.
func TestLostResponsesCountAsBegun(t *testing.T) {
	err := errors.New("failed")
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tt := range []struct {
		name string
		ctx  context.Context
		e    attemptResult
		want bool
	}{
		{"connection lost", context.Background(), failedResult(outcome.ReasonConnectionLost, err), true},
		{"truncated", context.Background(), failedResult(outcome.ReasonTruncated, err), true},
		{"silent until the timeout", context.Background(), failedResult(outcome.ReasonSilent, err), false},
		{"caller gone", left, failedResult(outcome.ReasonConnectionLost, err), false},
		{"refused by the endpoint", context.Background(), attemptResult{err: err, reason: outcome.ReasonEndpointRefused}, false},
		{"not connected", context.Background(), attemptResult{err: err, reason: outcome.ReasonConnect}, false},
	} {
		if got := tt.e.responseLost(tt.ctx); got != tt.want {
			t.Errorf("%s: begun is %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against usage that counts streams whose endpoint went down before it could
// have sent a first event.
func TestStreamsLostTooSoonAreNotBegun(t *testing.T) {
	const firstEvent = 50 * time.Millisecond
	clock := clockwork.NewFakeClock()
	f := &Forwarder{Clock: clock}
	for range 10 {
		f.firstEvents.Observe("p", clock.Now(), firstEvent)
	}
	for _, tt := range []struct {
		kind  catalog.Kind
		after time.Duration
		want  bool
	}{
		{catalog.Stream, firstEvent - 1, true},
		{catalog.Stream, firstEvent, false},
		{catalog.Unsafe, firstEvent - 1, false},
	} {
		c := &call{run: &run{f: f, req: &Request{Pool: "p", Kind: tt.kind}}, sentAt: clock.Now().Add(-tt.after)}
		if got := c.lostTooSoon(); got != tt.want {
			t.Errorf("kind %v, lost after %v: too soon is %v, want %v", tt.kind, tt.after, got, tt.want)
		}
	}
}
