package forward

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// An operator adds a route. This daemon has loaded it, but the coordinator has
// not and refuses the unknown class, which used to give the caller a 503. The
// reservation must be repeated, at most maxStaleRetries times.
func TestReserveIsRepeatedForUnknownClass(t *testing.T) {
	for _, unknown := range []int{1, maxStaleRetries, maxStaleRetries + 1} {
		asked := 0
		f := &Forwarder{
			Clock:     clockwork.NewRealClock(),
			BootClock: boottime.System{},
			Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
			Metrics:   metric.NewRegistry(),
			Usable:    func(*table.Endpoint) bool { return true },
			PathLost:  func(string) bool { return false },
			Notices:   newTestNotices(clockwork.NewRealClock()),
			Reserve: func(context.Context, placement.Request) (*placement.Grant, error) {
				if asked++; asked <= unknown {
					return nil, outcome.NotRunError(outcome.ReasonUnknownClass, "the class is not known")
				}
				return nil, outcome.NotRunError(outcome.ReasonShed, "known by now")
			},
		}
		c := &call{run: &run{f: f, req: &Request{MaySend: func() *outcome.Refusal { return nil }}}, ctx: context.Background()}
		err := c.reserve()
		want := outcome.ReasonShed
		if unknown > maxStaleRetries {
			want = outcome.ReasonUnknownClass
		}
		if got := outcome.FromError(err).Reason; got != want {
			t.Errorf("after %d refusals: %s, want %s", unknown, got, want)
		}
	}
}
