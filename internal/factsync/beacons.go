package factsync

import (
	"math"

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
	var addresses []string
	for _, h := range s.others() {
		addresses = append(addresses, h.PeerAddress)
	}
	if len(addresses) <= directHosts {
		s.send(addresses, b)
		return
	}
	for _, group := range s.groups(addresses) {
		b.PassTo = group[1:]
		s.send(group[:1], b)
	}
}

// groups divides addresses at random into groups of the square root of their
// number.
func (s *Syncer) groups(addresses []string) (groups [][]string) {
	for i := len(addresses) - 1; i > 0; i-- {
		j := s.Pick(i + 1)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	size := int(math.Ceil(math.Sqrt(float64(len(addresses)))))
	for len(addresses) > 0 {
		n := min(size, len(addresses))
		groups = append(groups, addresses[:n])
		addresses = addresses[n:]
	}
	return groups
}

func (s *Syncer) send(addresses []string, b *peerv1.Beacon) {
	if err := s.Send(addresses, b); err != nil {
		s.Logger.Error("beacon not sent", "error", err)
	}
}

// OnBeacon takes in what a reader tells, and passes it on where it asks for
// that.
func (s *Syncer) OnBeacon(b *peerv1.Beacon) {
	if to := b.GetPassTo(); len(to) > 0 {
		b.PassTo = nil
		s.send(to, b)
	}
	s.mu.Lock()
	s.heard[membership.HostID(b.GetHost())] = s.Boot.Now()
	s.mu.Unlock()
	s.OnTold(b)
}
