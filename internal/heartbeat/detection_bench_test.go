package heartbeat_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/heartbeat"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// oneWayDelay is how long a message takes.
const oneWayDelay = time.Millisecond

// liveFleet is a fleet whose daemons use the real clock and exchange messages by
// function calls. A silent daemon neither sends nor responds, so that calls to it
// time out.
type liveFleet struct {
	views  []*membership.View
	silent []atomic.Bool
	// undetected counts the daemons that have not found the victim gone.
	undetected sync.WaitGroup
	victim     membership.HostID
}

func startLive(b *testing.B, hosts int) *liveFleet {
	b.Helper()
	l := &liveFleet{views: make([]*membership.View, hosts), silent: make([]atomic.Bool, hosts)}
	l.victim = membership.HostID(name(hosts / 2))
	l.undetected.Add(hosts - 1)
	exchangers := make([]*heartbeat.Exchanger, hosts)
	clock := clockwork.NewRealClock()
	for i := range hosts {
		v := membership.NewView(clock, membership.Host{ID: membership.HostID(name(i)), Incarnation: 1, State: membership.Ready, PeerAddress: name(i)})
		v.OnGone = func(h membership.Host) {
			if h.ID == l.victim {
				l.undetected.Done()
			}
		}
		l.views[i] = v
		exchangers[i] = &heartbeat.Exchanger{
			Clock: clock, View: v, Count: func(string) {}, CloseConnections: func(string) {}, Load: func() uint32 { return 0 },
			OnResponse: func(membership.Update, time.Time, time.Duration) {}, StoreAge: func() time.Duration { return 0 }, Seeds: func() []string { return nil },
			Call: func(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
				var to int
				_, _ = fmt.Sscanf(address, "host-%d", &to)
				if l.silent[i].Load() || l.silent[to].Load() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				time.Sleep(oneWayDelay)
				resp := exchangers[to].HandleHeartbeat(req)
				time.Sleep(oneWayDelay)
				return resp, nil
			},
		}
	}
	for _, v := range l.views {
		for _, other := range l.views {
			v.Apply(other.SelfUpdate())
		}
		<-v.Wake
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for i, x := range exchangers {
		go x.Run(ctx)
		go l.sweep(ctx, i)
	}
	return l
}

func (l *liveFleet) sweep(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if !l.silent[i].Load() {
			l.views[i].Sweep()
		}
	}
}

// BenchmarkSilentHost measures the time from when a host stops responding until the
// last of the others has found it gone, in milliseconds.
func BenchmarkSilentHost(b *testing.B) {
	for _, n := range []int{3, 14, 40, 120, 360} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				l := startLive(b, n)
				time.Sleep(time.Second)
				start := time.Now()
				l.silent[n/2].Store(true)
				l.undetected.Wait()
				took = append(took, time.Since(start))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "median-ms")
			b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "greatest-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
