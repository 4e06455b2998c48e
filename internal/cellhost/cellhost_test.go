package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A daemon is stopped for seconds and goes on. What was sent to it meanwhile
// must wait until it has asked its peers, which the next tick does; otherwise
// it grants places as the coordinator that it no longer is.
func TestBatchesWaitAfterPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := &Host{Clock: clock, Interval: 100 * time.Millisecond}
	h.Ticked()
	clock.Advance(pausedAfter)
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
		t.Fatal("a batch passed before the tick")
	default:
	}
	h.Ticked()
	clock.Advance(h.Interval)
	<-passed
}
