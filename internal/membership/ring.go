package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/stat"
)

// Rings is the number of rings on which hosts monitor each other. Each host
// exchanges heartbeats with its successor on each ring. Several rings in
// independent orders form a graph whose diameter grows with the logarithm of the
// number of hosts, while the number of connections per host stays constant.
const Rings = 4

// zoneRings is the number of rings that consist of the hosts of one availability
// zone, so that most updates cross between zones on the other rings only.
const zoneRings = 2

// Partners returns the hosts to which this daemon sends heartbeats: its
// successors on the rings, each once. There are fewer than Rings only if there
// are fewer other hosts.
func (v *View) Partners() []Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.partnersStale {
		v.partnersStale = false
		v.partners = v.successors()
	}
	return slices.Clone(v.partners)
}

// Digest returns a hash of the incarnations that are not gone and of their
// states. Daemons that know the same hosts have the same digest.
func (v *View) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// selfChanged updates what depends on this daemon's own state. The caller must
// hold the lock.
func (v *View) selfChanged() {
	v.digest ^= v.selfHash
	v.selfHash = 0
	if !v.departed {
		v.selfHash = stateHash(idHash(v.self.ID), v.self)
	}
	v.digest ^= v.selfHash
	v.stale = true
}

func idHash(id HostID) uint64 { return xxhash.Sum64String(string(id)) }

// stateHash returns a hash of a host's incarnation and state.
func stateHash(idHash uint64, h Host) uint64 {
	return stat.Mix(stat.Mix(idHash^h.Incarnation) + uint64(h.State))
}

// successors returns the partners of this daemon: on each ring, the first host
// that is not yet chosen on an earlier one. Where the zone has no other host left,
// its ring is that of all hosts. The caller must hold the lock.
func (v *View) successors() []Host {
	chosen := map[*entry]bool{}
	var partners []Host
	for ring := range uint64(Rings) {
		var best *entry
		if ring < zoneRings {
			best = v.successor(ring, func(e *entry) bool { return e.update.Host.Zone == v.self.Zone && !chosen[e] })
		}
		if best == nil {
			best = v.successor(ring, func(e *entry) bool { return !chosen[e] })
		}
		if best == nil {
			break
		}
		chosen[best] = true
		partners = append(partners, best.update.Host)
	}
	return partners
}

// successor returns the first host after this one on a ring among those for which
// usable returns true, or nil if there is none.
func (v *View) successor(ring uint64, usable func(*entry) bool) (best *entry) {
	own := ringPosition(ring, idHash(v.self.ID))
	var nearest uint64
	for _, e := range v.sorted {
		// The unsigned difference wraps around, as the ring does.
		distance := ringPosition(ring, e.idHash) - own
		if (best == nil || distance < nearest) && !e.gone() && usable(e) {
			best, nearest = e, distance
		}
	}
	return best
}

// ringPosition returns the position on a ring of the host with the given hash of
// its id.
func ringPosition(ring, idHash uint64) uint64 { return stat.Mix(idHash + ring) }

// Rank sorts hosts by their rendezvous score for a key, highest first.
func Rank(key string, hosts []Host) []Host {
	type scored struct {
		host  *Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	scorer := NewScorer(key)
	for i := range hosts {
		all = append(all, scored{&hosts[i], scorer.Score(hosts[i].ID)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	ranked := make([]Host, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, *s.host)
	}
	return ranked
}

// Scorer computes the rendezvous scores of hosts for one key. It is not safe for
// concurrent use.
type Scorer struct {
	// buffer begins with the key and its terminator, which take prefix bytes.
	buffer []byte
	prefix int
}

// NewScorer returns a scorer for a key.
func NewScorer(key string) *Scorer {
	s := &Scorer{buffer: append([]byte(key), 0)}
	s.prefix = len(s.buffer)
	return s
}

// Score returns the score of a host; the host with the highest one comes first.
func (s *Scorer) Score(id HostID) uint64 {
	s.buffer = append(s.buffer[:s.prefix], id...)
	return xxhash.Sum64(s.buffer)
}
