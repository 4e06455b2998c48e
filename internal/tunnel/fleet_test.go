package tunnel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/membership"
)

const (
	fleetZones     = 6
	fleetEndpoints = 50
	// settleTime is the time after which connections must be opened.
	settleTime = 3 * time.Second
	fleetTime  = 4500 * time.Millisecond
)

// fleet is a number of daemons, some of which are cut off from all endpoints.
type fleet struct {
	hosts   []membership.Host
	dialers map[membership.HostID]*Dialer
	cut     map[membership.HostID]bool
	refuses bool
	// asks counts the requests for tunnels, carried those that each host has
	// served.
	asks    atomic.Int64
	mu      sync.Mutex
	carried map[membership.HostID]int
}

func newFleet(n int, isCut func(i int) bool, refuses bool) *fleet {
	f := &fleet{dialers: map[membership.HostID]*Dialer{}, cut: map[membership.HostID]bool{}, carried: map[membership.HostID]int{}, refuses: refuses}
	for i := range n {
		h := membership.Host{ID: membership.HostID(fmt.Sprintf("host-%04d", i)), Region: "r", Zone: fmt.Sprint("z", i%fleetZones)}
		f.hosts = append(f.hosts, h)
		f.cut[h.ID] = isCut(i)
	}
	ready := membership.NewSnapshot(f.hosts)
	for _, h := range f.hosts {
		f.dialers[h.ID] = &Dialer{
			Clock:    bubbleclock.New(),
			Direct:   func(ctx context.Context, _ string) (net.Conn, error) { return f.direct(ctx, h.ID) },
			Through:  f.through,
			Hosts:    func() []membership.Host { return Candidates(ready, h) },
			Region:   h.Region,
			Zone:     h.Zone,
			OnLost:   func(string, string) {},
			OnCutOff: func(bool) {},
			Count:    func(string) {},

			Alone:        func() bool { return n < 2 },
			ReachesOther: func(context.Context, string) bool { return !f.cut[h.ID] },
		}
	}
	return f
}

func (f *fleet) direct(ctx context.Context, id membership.HostID) (net.Conn, error) {
	switch {
	case !f.cut[id]:
		return noConn{}, nil
	case f.refuses:
		return nil, syscall.ECONNREFUSED
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (f *fleet) through(ctx context.Context, host membership.Host, _ string) (net.Conn, error) {
	f.asks.Add(1)
	time.Sleep(2 * time.Millisecond)
	if f.dialers[host.ID].IsCutOff() {
		return nil, errNoTunnel
	}
	ctx, cancel := context.WithTimeout(ctx, serverDialTimeout)
	defer cancel()
	c, err := f.direct(ctx, host.ID)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, err
	case err != nil:
		return nil, errNotReached
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carried[host.ID]++
	return c, nil
}

// carriedByHosts returns how many connections the busiest host has carried, and how many
// all have. Attempts that were overtaken by others may still be under way.
func (f *fleet) carriedByHosts() (most, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.carried {
		most, total = max(most, n), total+n
	}
	return most, total
}

// noConn is a connection that carries nothing.
type noConn struct{ net.Conn }

func (noConn) Close() error { return nil }

// dialAll has all hosts that are cut off open connections, and returns how many,
// and how many of them failed once the time to settle was over. Each host opens one
// in each interval, from the cut on.
func (f *fleet) dialAll(interval time.Duration) (opened, failed int64) {
	var all, bad atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for _, h := range f.hosts {
		if !f.cut[h.ID] {
			continue
		}
		wg.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(interval))))
			for time.Since(began) < fleetTime {
				at := time.Since(began)
				_, err := f.dialers[h.ID].Dial(context.Background(), fmt.Sprint("endpoint-", rand.IntN(fleetEndpoints)))
				all.Add(1)
				if err != nil && at >= settleTime {
					bad.Add(1)
				}
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return all.Load(), bad.Load()
}

// Guards against a large part of a fleet that is cut off and does not find the
// hosts that are not, or asks more and more of them.
func TestFleetsFindHostsThatReachEndpoints(t *testing.T) {
	zone := func(i int) bool { return i%fleetZones == 0 }
	threeZones := func(i int) bool { return i%fleetZones < 3 }
	nineOfThirteen := func(i int) bool { return i%13 < 9 }
	for _, tt := range []struct {
		name    string
		hosts   int
		cut     func(int) bool
		refuses bool
		// interval is the time between two connections that a host opens.
		interval time.Duration
	}{
		{"13 hosts, a zone", 13, zone, false, 100 * time.Millisecond},
		{"13 hosts, nine", 13, nineOfThirteen, false, 100 * time.Millisecond},
		{"13 hosts, nine, refused", 13, nineOfThirteen, true, 100 * time.Millisecond},
		{"360 hosts, a zone", 360, zone, false, 100 * time.Millisecond},
		{"360 hosts, three zones", 360, threeZones, false, 400 * time.Millisecond},
		{"986 hosts, three zones, refused", 986, threeZones, true, 800 * time.Millisecond},
		{"1,972 hosts, nine of thirteen", 1972, nineOfThirteen, false, 800 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(tt.hosts, tt.cut, tt.refuses)
				opened, failed := f.dialAll(tt.interval)
				most, total := f.carriedByHosts()
				carriers := 0
				for _, h := range f.hosts {
					if !f.cut[h.ID] {
						carriers++
					}
				}
				t.Logf("%d connections, %d failed after %v, %.2f asks each, busiest host %.1f times the mean",
					opened, failed, settleTime, float64(f.asks.Load())/float64(opened), float64(most*carriers)/float64(total))
				if failed*50 > opened {
					t.Errorf("%d of %d connections failed after %v", failed, opened, settleTime)
				}
				if asks := f.asks.Load(); asks > 2*opened {
					t.Errorf("%d requests for %d connections", asks, opened)
				}
			})
		})
	}
}
