package cell

import (
	"cmp"
	"slices"

	"github.com/beechhead/beechhead/internal/membership"
)

// Ranking orders the hosts that take work by their rendezvous hashing score for
// each cell. It caches each order until the hosts change. It is not safe for
// concurrent use.
type Ranking struct {
	hosts *membership.Snapshot
	ranks map[ID][]membership.Host
}

// NewRanking returns a ranking without hosts.
func NewRanking() *Ranking {
	return &Ranking{hosts: &membership.Snapshot{}, ranks: map[ID][]membership.Host{}}
}

// Update sets the hosts that take work. It reports whether they have changed.
func (r *Ranking) Update(hosts *membership.Snapshot) (changed bool) {
	if r.hosts == hosts {
		return false
	}
	r.hosts = hosts
	clear(r.ranks)
	return true
}

// Hosts returns the hosts that take work.
func (r *Ranking) Hosts() *membership.Snapshot { return r.hosts }

// Rank returns the hosts in the order of preference for a cell; the first one is
// its coordinator. Hosts in the cell's region come before all others. Within
// both groups, hosts of high capacity come before those of much lower capacity:
// all requests of a cell pass through its coordinator, so a low-bandwidth link
// there would delay every one of them.
func (r *Ranking) Rank(id ID, region string) []membership.Host {
	if ranked, ok := r.ranks[id]; ok {
		return ranked
	}
	ranked := membership.Rank(string(id), r.hosts.All())
	most := membership.MaxCapacity(ranked)
	slices.SortStableFunc(ranked, func(a, b membership.Host) int {
		return cmp.Or(outsideRegion(a, region)-outsideRegion(b, region), a.CapacityRank(most)-b.CapacityRank(most))
	})
	r.ranks[id] = ranked
	return ranked
}

// outsideRegion returns 0 for a host in the region and 1 for any other host.
func outsideRegion(h membership.Host, region string) int {
	if h.Region == region {
		return 0
	}
	return 1
}
