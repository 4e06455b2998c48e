package cell_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReservation measures reserving, granting and releasing a slot between
// two daemons over one loopback stream, with the given number of concurrent
// requests. It reports the bytes transferred in both directions and the CPU time
// of both ends together.
func BenchmarkReservation(b *testing.B) {
	for _, inProgress := range []int{1, 64} {
		b.Run(fmt.Sprintf("inProgress=%d", inProgress), func(b *testing.B) { benchmarkReservation(b, inProgress) })
	}
}

func benchmarkReservation(b *testing.B, inProgress int) {
	clock := clockwork.NewRealClock()
	tbl := &table.Table{Classes: []table.Class{{Name: "slots", Weight: 1, Pools: []table.Pool{"model"}, MaxWait: table.Duration(time.Minute)}}}
	for i := range 16 {
		tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: table.EndpointName(fmt.Sprint("engine-", i)), Pool: "model", Region: "r", Concurrency: 8})
	}
	host := membership.Host{ID: "host-1", Incarnation: 1, State: membership.Ready, Region: "r"}
	coordinator := cell.NewCoordinator(clock, host.ID, cell.DefaultSize, settings.PolicyCells)
	coordinator.Configure(tbl)
	ready := membership.NewSnapshot([]membership.Host{host})
	var bytes atomic.Int64
	address := servePeer(b, coordinator, &bytes)
	client := peer.NewClient(peer.NewTransport(nil), "http", address)
	view := membership.NewView(clock, host)
	placer := placement.NewPlacer(clock, view, func(_ membership.Host, handle func(*peerv1.ReservationsResponse)) placement.Link {
		s := client.Reservations(context.Background(), &peerv1.Hello{Host: "entry", Incarnation: 1}, handle)
		return placement.Link{Send: s.Send, Done: s.Done(), Close: s.Close}
	}, metric.NewRegistry(), cell.DefaultSize, settings.PolicyCells)
	placer.Configure(tbl)
	reserveAndRelease := func() {
		g, err := placer.Reserve(context.Background(), placement.Request{Pool: "model", Class: "slots", Account: "studio", PromptTokens: 200, Prefix: 1 << 60})
		if err != nil {
			b.Error(err)
			return
		}
		g.Release(placement.Report{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_DONE, FirstToken: 50 * time.Millisecond, Duration: time.Second, Tokens: 100})
	}
	coordinator.Tick(ready, nil)
	time.Sleep(600 * time.Millisecond)
	coordinator.Tick(ready, nil)
	reserveAndRelease()
	bytes.Store(0)
	before := cpuTime()
	b.ReportAllocs()
	var left atomic.Int64
	left.Store(int64(b.N))
	done := make(chan struct{})
	b.ResetTimer()
	for range inProgress {
		go func() {
			for left.Add(-1) >= 0 {
				reserveAndRelease()
			}
			done <- struct{}{}
		}()
	}
	for range inProgress {
		<-done
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

func servePeer(b *testing.B, coordinator *cell.Coordinator, bytes *atomic.Int64) (address string) {
	b.Helper()
	server := &peer.Server{
		Welcome: func() *peerv1.Welcome { return &peerv1.Welcome{Host: "host-1", Incarnation: 1} },
		Attach: func(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) peer.Session {
			s := coordinator.Attach(hello, send)
			return peer.Session{Handle: s.Handle, Close: s.Close}
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	http := peer.NewHTTPServer(server.Handler(), nil)
	go func() { _ = http.Serve(countingListener{l, bytes}) }()
	b.Cleanup(func() { _ = http.Close() })
	return l.Addr().String()
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
