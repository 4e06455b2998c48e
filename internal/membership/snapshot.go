package membership

import (
	"cmp"
	"slices"
	"sync"
)

// maxSamples bounds the results of SampleByCapacity that a snapshot caches.
const maxSamples = 256

// Snapshot is a set of hosts at one moment. A view returns the same pointer until
// one of these hosts is added, removed or changes its state, so that orders,
// zones and samples are derived once. It is safe for concurrent use.
type Snapshot struct {
	// hosts are sorted by id and never change. Their Sequence, Load and
	// TableVersion are zero, since these change too often.
	hosts []Host

	mu      sync.Mutex
	orders  map[orderKey]*Order
	zones   map[string]*Snapshot
	samples map[string][]Host
	// addresses holds the peer addresses; it is nil until the first use.
	addresses map[string]bool
}

// orderKey identifies an order of the hosts of a snapshot.
type orderKey struct {
	key               string
	highCapacityFirst bool
}

// NewSnapshot returns a snapshot of the hosts.
func NewSnapshot(hosts []Host) *Snapshot {
	s := &Snapshot{hosts: make([]Host, 0, len(hosts))}
	for _, h := range hosts {
		s.hosts = append(s.hosts, h.withoutVolatile())
	}
	slices.SortFunc(s.hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// withoutVolatile returns the host without the fields that change often.
func (h Host) withoutVolatile() Host {
	h.Sequence, h.Load, h.TableVersion = 0, 0, 0
	return h
}

// Len returns the number of hosts.
func (s *Snapshot) Len() int { return len(s.hosts) }

// All returns the hosts, sorted by id. The caller must not change them.
func (s *Snapshot) All() []Host { return s.hosts }

// Find returns the host with the given id.
func (s *Snapshot) Find(id HostID) (Host, bool) {
	i, ok := s.index(id)
	if !ok {
		return Host{}, false
	}
	return s.hosts[i], true
}

func (s *Snapshot) index(id HostID) (int, bool) {
	return slices.BinarySearchFunc(s.hosts, id, func(h Host, id HostID) int { return cmp.Compare(h.ID, id) })
}

// HasPeer reports whether a host of the snapshot has the peer address.
func (s *Snapshot) HasPeer(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = make(map[string]bool, len(s.hosts))
		for _, h := range s.hosts {
			s.addresses[h.PeerAddress] = true
		}
	}
	return s.addresses[address]
}

// Order returns the hosts sorted by their rendezvous scores for a key.
func (s *Snapshot) Order(key string) *Order { return s.order(orderKey{key: key}) }

// HighCapacityOrder returns the hosts in the order of a key, with the high-capacity
// ones first; see HighCapacityFirst.
func (s *Snapshot) HighCapacityOrder(key string) *Order {
	return s.order(orderKey{key: key, highCapacityFirst: true})
}

func (s *Snapshot) order(k orderKey) *Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[k]; o != nil {
		return o
	}
	o := &Order{snapshot: s, key: k}
	if s.orders == nil {
		s.orders = map[orderKey]*Order{}
	}
	s.orders[k] = o
	return o
}

// Zone returns the hosts of an availability zone.
func (s *Snapshot) Zone(zone string) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zones == nil {
		s.zones = map[string]*Snapshot{}
		for _, h := range s.hosts {
			if s.zones[h.Zone] == nil {
				s.zones[h.Zone] = &Snapshot{}
			}
			s.zones[h.Zone].hosts = append(s.zones[h.Zone].hosts, h)
		}
	}
	if one := s.zones[zone]; one != nil {
		return one
	}
	return &Snapshot{}
}

// SampleByCapacity returns at most n hosts for a key, as the function
// SampleByCapacity does, and caches the result, since the same keys are requested
// repeatedly. The result must not be changed.
func (s *Snapshot) SampleByCapacity(key string, n int) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if chosen, ok := s.samples[key]; ok && len(chosen) == min(n, len(s.hosts)) {
		return chosen
	}
	if s.samples == nil || len(s.samples) >= maxSamples {
		s.samples = map[string][]Host{}
	}
	chosen := SampleByCapacity(key, s.hosts, n)
	s.samples[key] = chosen
	return chosen
}
