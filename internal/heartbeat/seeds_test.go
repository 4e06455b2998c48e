package heartbeat_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// Guards against a daemon that is slow to find a seed that starts a moment later,
// and against one without any other host that keeps probing at the fast rate.
func TestLoneDaemonSlowsDownSeedProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		var calls atomic.Int64
		x := &heartbeat.Exchanger{
			Clock: clock, View: membership.NewView(clock, membership.Host{ID: "a", Incarnation: 1, State: membership.Ready, PeerAddress: "a"}),
			Call: func(context.Context, string, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
				calls.Add(1)
				return nil, errors.New("refused")
			},
			CloseConnections: func(string) {}, Count: func(string) {}, StoreAge: func() time.Duration { return 0 },
			Seeds: func() []string { return []string{"b"} },
		}
		ctx, stop := context.WithCancel(context.Background())
		go x.Run(ctx)
		time.Sleep(time.Second)
		if n := calls.Load(); n < 8 {
			t.Errorf("%d calls in the first second, want at least 8", n)
		}
		// Half a round later, so that no call is made at the moments of counting.
		time.Sleep(9*time.Second + heartbeat.Interval/2)
		before := calls.Load()
		time.Sleep(10 * time.Second)
		if n := calls.Load() - before; n > 20 {
			t.Errorf("%d calls in the second ten seconds, want at most 20", n)
		}
		stop()
		synctest.Wait()
	})
}
