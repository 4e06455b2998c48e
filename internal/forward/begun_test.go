package forward

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

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
