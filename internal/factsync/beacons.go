package factsync

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// maxDirectHosts is the number of hosts up to which a reader sends its beacons
// to all of them directly.
const maxDirectHosts = 32

// Beacon returns what this daemon reports of its facts.
func (s *Syncer) Beacon() *peerv1.Beacon {
	self := s.Self()
	sum := s.Holder.Summary()
	return &peerv1.Beacon{
		Host:          string(self.ID),
		Address:       self.PeerAddress,
		ConfigVersion: uint64(sum.Config),
		ConfigAsOf:    int64(sum.ConfigAsOf),
		Changed:       uint64(sum.RequiredPosition()),
		Position:      uint64(sum.Position),
		EndpointsAsOf: int64(sum.EndpointsAsOf),
		GraceUntil:    int64(sum.GraceUntil),
	}
}

// Broadcast notifies all hosts after a read of the store. In a large fleet the
// hosts are divided into groups and the first host of each forwards the beacon
// to the others, so that what a reader sends grows with the square root of the
// fleet size. The groups are drawn again each time: a host that is down cuts
// others off from one beacon only.
func (s *Syncer) Broadcast() {
	b := s.Beacon()
	hosts := s.otherHosts()
	if len(hosts) <= maxDirectHosts {
		s.send(hosts, b)
		return
	}
	for _, group := range s.groups(hosts) {
		b.PassTo = b.PassTo[:0]
		for _, h := range group[1:] {
			b.PassTo = append(b.PassTo, hostHash(h.ID))
		}
		s.send(group[:1], b)
	}
}

// hostHash identifies a host in the list of those to which a beacon is
// forwarded. Two hosts with the same hash both receive it.
func hostHash(id membership.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// groups divides hosts at random into groups whose size is the square root of
// their number.
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

// hostIndex holds the hosts of a snapshot by their hashes.
type hostIndex struct {
	snapshot *membership.Snapshot
	hosts    map[uint32][]membership.Host
}

// hostsWithHashes returns the hosts with the given hashes. A host that is not
// known here receives the next beacon by another route.
func (s *Syncer) hostsWithHashes(names []uint32) (hosts []membership.Host) {
	known := s.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hostsByHash.snapshot != known {
		s.hostsByHash = hostIndex{snapshot: known, hosts: map[uint32][]membership.Host{}}
		self := s.Self().ID
		for _, h := range known.All() {
			if h.ID != self {
				s.hostsByHash.hosts[hostHash(h.ID)] = append(s.hostsByHash.hosts[hostHash(h.ID)], h)
			}
		}
	}
	for _, name := range names {
		hosts = append(hosts, s.hostsByHash.hosts[name]...)
	}
	return hosts
}

// OnBeacon processes a reader's beacon, and forwards it if the beacon requests
// that.
func (s *Syncer) OnBeacon(b *peerv1.Beacon) {
	if names := b.GetPassTo(); len(names) > 0 {
		b.PassTo = nil
		s.send(s.hostsWithHashes(names), b)
	}
	s.mu.Lock()
	s.lastReads[membership.HostID(b.GetHost())] = s.Boot.Now()
	s.mu.Unlock()
	s.OnReport(b)
}
