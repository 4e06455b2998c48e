package factsync

import (
	"cmp"
	"math"
	"slices"

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
// to the others, which then request from it what they lack: what a reader sends
// grows with the square root of the fleet size. The groups are drawn again each
// time: a host that is down cuts others off from one beacon only.
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

// groups divides the hosts of each availability zone at random into groups of
// about the square root of the number of all hosts. The first host of a group has
// a high capacity if the zone has enough of these.
func (s *Syncer) groups(hosts []membership.Host) (groups [][]membership.Host) {
	for i := len(hosts) - 1; i > 0; i-- {
		j := s.Pick(i + 1)
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
	size := int(math.Ceil(math.Sqrt(float64(len(hosts)))))
	most := membership.MaxCapacity(hosts)
	slices.SortStableFunc(hosts, func(a, b membership.Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.CapacityRank(most)-b.CapacityRank(most))
	})
	for len(hosts) > 0 {
		n := slices.IndexFunc(hosts, func(h membership.Host) bool { return h.Zone != hosts[0].Zone })
		if n < 0 {
			n = len(hosts)
		}
		groups = append(groups, divide(hosts[:n], size)...)
		hosts = hosts[n:]
	}
	return groups
}

// divide deals hosts to groups of at most the given size. The first hosts become
// the first ones of the groups.
func divide(hosts []membership.Host, size int) [][]membership.Host {
	groups := make([][]membership.Host, (len(hosts)+size-1)/size)
	for i, h := range hosts {
		n := i % len(groups)
		groups[n] = append(groups[n], h)
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
	names := b.GetPassTo()
	b.PassTo = nil
	s.mu.Lock()
	s.lastReads[membership.HostID(b.GetHost())] = s.Boot.Now()
	s.mu.Unlock()
	s.OnReport(b)
	if len(names) > 0 {
		s.forward(b, s.hostsWithHashes(names))
	}
}
