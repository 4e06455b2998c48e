package cell

import (
	"github.com/beechhead/beechhead/internal/membership"
)

// Ranking orders the hosts that take work by their rendezvous hashing score for
// each cell. Hosts in the cell's region come before all others. Within both
// groups, hosts of high capacity come before those of much lower capacity: all
// requests of a cell pass through its coordinator, so a low-bandwidth link there
// would delay every one of them. It is not safe for concurrent use.
type Ranking struct {
	hosts *membership.Snapshot
	// groups holds the hosts by region of a cell, in the order of preference.
	groups map[string][][]*membership.Host
	// first caches the first host of each cell.
	first map[ID]membership.Host
}

// NewRanking returns a ranking without hosts.
func NewRanking() *Ranking {
	r := &Ranking{}
	r.Update(&membership.Snapshot{})
	return r
}

// Update sets the hosts that take work. It reports whether they have changed.
func (r *Ranking) Update(hosts *membership.Snapshot) (changed bool) {
	if r.hosts == hosts {
		return false
	}
	r.hosts = hosts
	r.groups = map[string][][]*membership.Host{}
	r.first = map[ID]membership.Host{}
	return true
}

// Hosts returns the hosts that take work.
func (r *Ranking) Hosts() *membership.Snapshot { return r.hosts }

// First returns the host that comes first for a cell; false if there is none.
func (r *Ranking) First(id ID, region string) (membership.Host, bool) {
	if h, ok := r.first[id]; ok {
		return h, true
	}
	h, ok := r.FirstOf(id, region, func(membership.HostID) bool { return true })
	if ok {
		r.first[id] = h
	}
	return h, ok
}

// FirstOf returns the first host for a cell among those for which usable returns
// true; false if there is none. It looks at the next group of hosts only if the one
// before has none.
func (r *Ranking) FirstOf(id ID, region string, usable func(membership.HostID) bool) (best membership.Host, ok bool) {
	scorer := membership.NewScorer(string(id))
	for _, group := range r.group(region) {
		var highest uint64
		for _, h := range group {
			score := scorer.Score(h.ID)
			if (!ok || score > highest) && usable(h.ID) {
				best, highest, ok = *h, score, true
			}
		}
		if ok {
			return best, true
		}
	}
	return membership.Host{}, false
}

// group returns the hosts in groups of equal preference for the cells of a region.
func (r *Ranking) group(region string) [][]*membership.Host {
	if groups, ok := r.groups[region]; ok {
		return groups
	}
	groups := make([][]*membership.Host, 2*2)
	hosts := r.hosts.All()
	most := membership.MaxCapacity(hosts)
	for i := range hosts {
		h := &hosts[i]
		n := 2*outsideRegion(h, region) + h.CapacityRank(most)
		groups[n] = append(groups[n], h)
	}
	r.groups[region] = groups
	return groups
}

// outsideRegion returns 0 for a host in the region and 1 for any other host.
func outsideRegion(h *membership.Host, region string) int {
	if h.Region == region {
		return 0
	}
	return 1
}
