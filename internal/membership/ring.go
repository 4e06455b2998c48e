package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/stat"
)

// Rings is the number of rings on which hosts watch each other. Each host
// exchanges heartbeats with its successor on each ring. Several rings in
// independent orders form a graph whose diameter grows with the logarithm of
// the number of hosts, while each host keeps the same few connections.
const Rings = 4

// Partners returns the hosts that this daemon exchanges heartbeats with: its
// successors on the rings, each once. There are fewer than Rings only if
// there are no more hosts.
func (v *View) Partners() []Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return slices.Clone(v.rings)
}

// Digest returns a hash of which incarnations are there, in which state. Two
// daemons that agree on the hosts have the same.
func (v *View) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild()
	return v.digest
}

// rebuild brings rings, digest and snapshots up to date. The caller holds the
// lock.
func (v *View) rebuild() {
	if !v.stale {
		return
	}
	v.stale = false
	var others []Host
	v.digest = 0
	if !v.departed {
		v.digest = fingerprint(v.self)
	}
	for _, e := range v.hosts {
		if !e.gone() {
			others = append(others, e.news.Host)
			v.digest ^= fingerprint(e.news.Host)
		}
	}
	v.rings = successors(v.self.ID, others)
	v.takeSnapshots()
}

func fingerprint(h Host) uint64 {
	return stat.Mix(stat.Mix(xxhash.Sum64String(string(h.ID))^h.Incarnation) + uint64(h.State))
}

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

// successor returns the host that follows self on a ring and is not chosen
// yet.
func successor(ring uint64, self HostID, others []Host, chosen map[HostID]bool) (best Host, ok bool) {
	own := position(ring, self)
	var nearest uint64
	for _, h := range others {
		if chosen[h.ID] {
			continue
		}
		// The difference wraps around, as the ring does.
		distance := position(ring, h.ID) - own
		if !ok || distance < nearest {
			best, nearest, ok = h, distance, true
		}
	}
	return best, ok
}

func position(ring uint64, id HostID) uint64 {
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
