package dispatch

import (
	"log/slog"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
)

// Guards against a panic in the goroutine of an attempt ending the daemon, and against
// telling its caller that a request has not run which may have.
func TestPanicEndsItsAttemptOnly(t *testing.T) {
	for name, tt := range map[string]struct {
		began time.Time
		want  outcome.Outcome
	}{
		"before a slot is reserved": {time.Time{}, outcome.NotRun},
		"during the exchange":       {time.Now(), outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{metrics: metric.NewRegistry(), Logger: slog.New(slog.DiscardHandler)}
			a := &attempt{run: &run{d: d}, began: tt.began}
			err := a.exchange() // panics, since there is no clock
			if refusal := outcome.FromError(err); err == nil || refusal.Outcome != tt.want || refusal.Reason != outcome.ReasonInternal {
				t.Errorf("error %v, want an internal one, %s", err, tt.want)
			}
			if d.metrics.Count("panics") != 1 || a.maybeExecuted != (tt.want == outcome.Unknown) {
				t.Errorf("%d panics counted, maybe executed: %v", d.metrics.Count("panics"), a.maybeExecuted)
			}
		})
	}
}
