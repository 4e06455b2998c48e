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

// Partners returns the hosts to which this daemon sends heartbeats: its
// successors on the rings, each once. There are fewer than Rings only if there
// are fewer other hosts.
func (v *View) Partners() []Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return slices.Clone(v.rings)
}

// Digest returns a hash of the incarnations that are not gone and of their
// states. Daemons that know the same hosts have the same digest.
func (v *View) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.digest
}

// rebuild updates rings, digest and snapshots if they are stale. The caller must
// hold the lock.
func (v *View) rebuild() {
	if !v.stale {
		return
	}
	v.stale = false
	var others []Host
	v.digest = 0
	if !v.departed {
		v.digest = hostHash(v.self)
	}
	for _, e := range v.hosts {
		if !e.gone() {
			others = append(others, e.update.Host)
			v.digest ^= hostHash(e.update.Host)
		}
	}
	v.rings = successors(v.self.ID, others)
	v.rebuildSnapshots()
}

// hostHash returns a hash of a host's incarnation and state.
func hostHash(h Host) uint64 {
	return stat.Mix(stat.Mix(xxhash.Sum64String(string(h.ID))^h.Incarnation) + uint64(h.State))
}

// successors returns the partners of self: on each ring, the first host that is
// not yet chosen on an earlier one.
func successors(self HostID, others []Host) []Host {
	chosen := map[HostID]bool{}
	var partners []Host
	for ring := range uint64(Rings) {
		best, ok := successor(ring, self, others, chosen)
		if !ok {
			break
		}
		chosen[best.ID] = true
		partners = append(partners, best)
	}
	return partners
}

// successor returns the first host after self on a ring that is not yet chosen.
func successor(ring uint64, self HostID, others []Host, chosen map[HostID]bool) (best Host, ok bool) {
	own := ringPosition(ring, self)
	var nearest uint64
	for _, h := range others {
		if chosen[h.ID] {
			continue
		}
		// The unsigned difference wraps around, as the ring does.
		distance := ringPosition(ring, h.ID) - own
		if !ok || distance < nearest {
			best, nearest, ok = h, distance, true
		}
	}
	return best, ok
}

// ringPosition returns a host's position on a ring.
func ringPosition(ring uint64, id HostID) uint64 {
	return stat.Mix(xxhash.Sum64String(string(id)) + ring)
}

// Rank sorts hosts by their rendezvous score for a key, highest first.
func Rank(key string, hosts []Host) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{h, xxhash.Sum64String(key + "\x00" + string(h.ID))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	ranked := make([]Host, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.host)
	}
	return ranked
}
