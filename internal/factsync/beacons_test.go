package factsync

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/storetime"
)

const (
	// controlBudget is how many bytes per second a daemon may spend on control
	// messages.
	controlBudget = 16 << 10
	// beaconsPerSecond is how many beacons a reader sends per second at most.
	beaconsPerSecond = 3
)

// beaconSite is a set of daemons whose datagrams arrive at once.
type beaconSite struct {
	hosts   []membership.Host
	known   *membership.Snapshot
	daemons map[string]*Syncer
	// sent counts the bytes that each host has sent, got the beacons that each
	// has received.
	sent map[string]int
	got  map[string]int
}

func newBeaconSite(n int) *beaconSite {
	s := &beaconSite{daemons: map[string]*Syncer{}, sent: map[string]int{}, got: map[string]int{}}
	for i := range n {
		s.hosts = append(s.hosts, membership.Host{
			ID:          membership.HostID(fmt.Sprintf("front-zone-%d", i)),
			PeerAddress: fmt.Sprintf("10.200.%d.%d:47340", 100+i/200, 10+i%200),
		})
	}
	s.known = membership.NewSnapshot(s.hosts)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	boot := &boottime.Fake{}
	for _, h := range s.hosts {
		clock := storetime.NewClock(boot)
		d := &Syncer{
			Boot: boot, StoreClock: clock, Logger: slog.New(slog.DiscardHandler), Metrics: metric.NewRegistry(),
			Holder: newTestHolder(clock),
			Self:   func() membership.Host { return h },
			Hosts:  func() *membership.Snapshot { return s.known },
			Pick:   random.IntN,
			Send:   func(to []string, b *peerv1.Beacon) error { s.deliver(h.PeerAddress, to, b); return nil },
		}
		d.Start()
		s.daemons[h.PeerAddress] = d
	}
	return s
}

// newTestHolder returns facts with numbers as long as those in production.
func newTestHolder(clock *storetime.Clock) *facts.Holder {
	const moment = 1 << 41
	h := facts.NewHolder(clock, func([]byte) (*catalog.Catalog, error) { return &catalog.Catalog{}, nil })
	h.ExtendGrace(moment)
	h.Merge(facts.EndpointUpdate{Endpoints: []facts.Endpoint{{ID: "a", Changed: 1 << 30}}, Position: 1 << 31, AsOf: moment, Whole: true})
	_ = h.SetConfig(facts.Config{Version: 1 << 20}, moment)
	return h
}

func (s *beaconSite) deliver(from string, to []string, b *peerv1.Beacon) {
	s.sent[from] += len(to) * (proto.Size(b) + datagramOverhead)
	for _, address := range to {
		s.got[address]++
		if one, ok := proto.Clone(b).(*peerv1.Beacon); ok {
			s.daemons[address].OnBeacon(one)
		}
	}
}

// Guards against beacons that cost a reader more than a daemon may send as the
// fleet grows, and against hosts that forwarded beacons do not reach.
func TestBeaconsOfALargeFleet(t *testing.T) {
	for _, n := range []int{2, maxDirectHosts, maxDirectHosts + 2, 360} {
		s := newBeaconSite(n)
		reader := s.hosts[0].PeerAddress
		for range beaconsPerSecond {
			s.daemons[reader].Broadcast()
		}
		for _, h := range s.hosts[1:] {
			if got := s.got[h.PeerAddress]; got != beaconsPerSecond {
				t.Errorf("%d hosts: %s got %d of %d beacons", n, h.ID, got, beaconsPerSecond)
			}
		}
		for address, sent := range s.sent {
			if sent > controlBudget {
				t.Errorf("%d hosts: %s sends %d bytes a second", n, address, sent)
			}
		}
		t.Logf("%d hosts: the reader sends %d bytes a second", n, s.sent[reader])
	}
}
