package factsync

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// directHosts is up to how many hosts a reader sends its beacons to all by
// itself.
const directHosts = 32

// Beacon returns what this daemon tells of its facts.
func (s *Syncer) Beacon() *peerv1.Beacon {
	self := s.Self()
	sum := s.Holder.Summary()
	return &peerv1.Beacon{
		Host:          string(self.ID),
		Address:       self.PeerAddress,
		ConfigVersion: uint64(sum.Config),
		ConfigAsOf:    int64(sum.ConfigAsOf),
		Changed:       uint64(sum.Told()),
		Position:      uint64(sum.Position),
		EndpointsAsOf: int64(sum.EndpointsAsOf),
		GraceUntil:    int64(sum.GraceUntil),
	}
}

// Tell tells all hosts after a read of the store. In a large fleet the first
// host of each of some groups passes the beacon on, so that what a reader
// sends grows with the square root of the fleet. The groups are drawn anew
// each time: a host that is down cuts others off from one beacon only.
func (s *Syncer) Tell() {
	b := s.Beacon()
	hosts := s.others()
	if len(hosts) <= directHosts {
		s.send(hosts, b)
		return
	}
	for _, group := range s.groups(hosts) {
		b.PassTo = b.PassTo[:0]
		for _, h := range group[1:] {
			b.PassTo = append(b.PassTo, shortName(h.ID))
		}
		s.send(group[:1], b)
	}
}

// shortName names a host in the list of those to whom a beacon is passed on.
// Two hosts of one name both get it.
func shortName(id membership.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// groups divides hosts at random into groups of the square root of their
// number.
func (s *Syncer) groups(hosts []membership.Host) (groups [][]membership.Host) {
	for i := len(hosts) - 1; i > 0; i-- {
		j := s.Pick(i + 1)
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
	size := int(math.Ceil(math.Sqrt(float64(len(hosts)))))
	for len(hosts) > 0 {
		n := min(size, len(hosts))
		groups = append(groups, hosts[:n])
		hosts = hosts[n:]
	}
	return groups
}

func (s *Syncer) send(hosts []membership.Host, b *peerv1.Beacon) {
	addresses := make([]string, 0, len(hosts))
	for _, h := range hosts {
		addresses = append(addresses, h.PeerAddress)
	}
	if err := s.Send(addresses, b); err != nil {
		s.Logger.Error("beacon not sent", "error", err)
	}
}

// shortNames has the hosts of a snapshot by their short names.
type shortNames struct {
	of    *membership.Snapshot
	hosts map[uint32][]membership.Host
}

// named returns the hosts of short names. One that is not known here gets the
// next beacon by another way.
func (s *Syncer) named(names []uint32) (hosts []membership.Host) {
	known := s.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names.of != known {
		s.names = shortNames{of: known, hosts: map[uint32][]membership.Host{}}
		self := s.Self().ID
		for _, h := range known.All() {
			if h.ID != self {
				s.names.hosts[shortName(h.ID)] = append(s.names.hosts[shortName(h.ID)], h)
			}
		}
	}
	for _, name := range names {
		hosts = append(hosts, s.names.hosts[name]...)
	}
	return hosts
}

// OnBeacon takes in what a reader tells, and passes it on where it asks for
// that.
func (s *Syncer) OnBeacon(b *peerv1.Beacon) {
	if names := b.GetPassTo(); len(names) > 0 {
		b.PassTo = nil
		s.send(s.named(names), b)
	}
	s.mu.Lock()
	s.heard[membership.HostID(b.GetHost())] = s.Boot.Now()
	s.mu.Unlock()
	s.OnTold(b)
}
