package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A daemon is suspended for seconds and then resumed. Batches that were sent to
// it in the meantime must wait for the next tick, which updates its membership
// view. Otherwise it grants slots although another daemon coordinates the cell
// by now.
func TestBatchesWaitAfterPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := &Host{Clock: clock, Interval: 100 * time.Millisecond}
	h.RecordTick()
	clock.Advance(pauseThreshold)
	h.awaitTick(context.Background())
	clock.Advance(time.Millisecond)
	passed := make(chan struct{})
	go func() {
		defer close(passed)
		h.awaitTick(context.Background())
	}()
	if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	select {
	case <-passed:
		t.Fatal("a batch was processed before the tick")
	default:
	}
	h.RecordTick()
	clock.Advance(h.Interval)
	<-passed
}
