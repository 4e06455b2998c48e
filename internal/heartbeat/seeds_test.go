package heartbeat_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// Guards against a daemon that is slow to find a seed that starts a moment later,
// and against one without any other host that keeps probing at the fast rate.
func TestLoneDaemonSlowsDownSeedProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleclock.New()
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

// seedView returns the view of a daemon that knows a number of other hosts.
func seedView(clock clockwork.Clock, hosts int) *membership.View {
	v := membership.NewView(clock, membership.Host{ID: "seed", Incarnation: 1, State: membership.Ready, PeerAddress: "seed"})
	for i := range hosts {
		id := fmt.Sprint("host-", i)
		v.Apply(membership.Update{Status: membership.Alive, Host: membership.Host{ID: membership.HostID(id), Incarnation: 1, State: membership.Ready, PeerAddress: id}})
	}
	return v
}

// Guards against seeds that send all hosts to each daemon of a fleet that starts,
// and against daemons that then know a few hosts only.
func TestSeedSendsAFewHostsToANewDaemon(t *testing.T) {
	const hosts, few = 300, 32
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleclock.New()
		seed := newExchanger(clock, seedView(clock, hosts), nil)
		own := membership.NewView(clock, membership.Host{ID: "new", Incarnation: 1, State: membership.Starting, PeerAddress: "new"})
		joiner := newExchanger(clock, own, func(_ context.Context, _ string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			return seed.HandleHeartbeat(req), nil
		})
		joiner.Probe(t.Context(), "seed")
		if n := own.Hosts().Len(); n > few+2 {
			t.Errorf("a new daemon is told of %d hosts at once", n)
		}
		joiner.SendHeartbeat(t.Context(), membership.Host{ID: "seed", Incarnation: 1, PeerAddress: "seed"})
		if n := own.Hosts().Len(); n != hosts+2 {
			t.Errorf("it knows %d hosts after its first heartbeat, want %d", n, hosts+2)
		}
	})
}

// Guards against seeds that are probed again and again by a whole fleet before they
// can respond.
func TestProbesThatTimeOutBecomeLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleclock.New()
		var calls atomic.Int64
		x := newExchanger(clock, seedView(clock, 0), func(ctx context.Context, _ string, _ *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
			calls.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		x.Seeds = func() []string { return []string{"b"} }
		ctx, stop := context.WithCancel(t.Context())
		go x.Run(ctx)
		time.Sleep(3 * time.Second)
		if n := calls.Load(); n > 6 {
			t.Errorf("a seed that does not respond was probed %d times in 3 s", n)
		}
		stop()
		synctest.Wait()
	})
}

func newExchanger(clock clockwork.Clock, v *membership.View, call func(context.Context, string, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)) *heartbeat.Exchanger {
	return &heartbeat.Exchanger{
		Clock: clock, View: v, Call: call, CloseConnections: func(string) {}, Count: func(string) {},
		OnResponse: func(membership.Update, time.Time, time.Duration) {}, StoreAge: func() time.Duration { return 0 },
		Seeds: func() []string { return nil },
	}
}
