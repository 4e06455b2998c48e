package factsync

import (
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// forwardTimeout is how long a beacon is kept back until this daemon knows what the
// beacon reports. A beacon that is forwarded later refers to its reader. A daemon that
// knows no endpoints yet keeps it back for listFetchTimeout: the reader could not send
// a list of all endpoints to every host.
const forwardTimeout = 150 * time.Millisecond

// forwarding is a beacon that is kept back.
type forwarding struct {
	beacon  *peerv1.Beacon
	hosts   []membership.Host
	expires time.Duration
}

// forward forwards a beacon to hosts. It first waits until this daemon knows what
// the beacon reports, so that the hosts can request it from here: a reader could
// not answer a whole fleet.
func (s *Syncer) forward(b *peerv1.Beacon, hosts []membership.Host) {
	timeout := forwardTimeout
	if s.Holder.Summary().Position == 0 {
		timeout = listFetchTimeout
	}
	s.mu.Lock()
	s.forwardings = append(s.forwardings, forwarding{b, hosts, s.Boot.Now() + timeout})
	s.mu.Unlock()
	s.forwardDue()
}

// forwardDue forwards the beacons that need not be kept back any longer.
func (s *Syncer) forwardDue() {
	sum, now, address := s.Holder.Summary(), s.Boot.Now(), s.Self().PeerAddress
	var due []forwarding
	s.mu.Lock()
	kept := s.forwardings[:0]
	for _, f := range s.forwardings {
		known := !reported(f.beacon).newerThan(sum)
		if !known && now < f.expires {
			kept = append(kept, f)
			continue
		}
		if known {
			f.beacon.Address = address
		}
		due = append(due, f)
	}
	s.forwardings = kept
	s.mu.Unlock()
	for _, f := range due {
		s.send(f.hosts, f.beacon)
	}
}

// reported returns the versions that a beacon reports.
func reported(b *peerv1.Beacon) versions {
	return versions{config: catalog.Version(b.GetConfigVersion()), changed: facts.Position(b.GetChanged())}
}
