package cell

import (
	"cmp"
	"slices"

	"github.com/beechhead/beechhead/internal/membership"
)

// Ranking orders the hosts that take work by their rendezvous score for each
// cell. It computes an order once and keeps it while the hosts stay the same.
// It is not safe for concurrent use.
type Ranking struct {
	hosts *membership.Snapshot
	ranks map[ID][]membership.Host
}

// NewRanking returns a ranking without hosts.
func NewRanking() *Ranking {
	return &Ranking{hosts: &membership.Snapshot{}, ranks: map[ID][]membership.Host{}}
}

// Update takes in the hosts that take work; true means that they are others
// than before.
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

// Rank returns the hosts for a cell, the coordinator first. Hosts of the
// cell's own region come before all others, and capable ones before those that
// carry much less: all requests of a cell pass through its coordinator, so that
// a narrow link delays every one of them.
func (r *Ranking) Rank(id ID, region string) []membership.Host {
	if ranked, ok := r.ranks[id]; ok {
		return ranked
	}
	ranked := membership.Rank(string(id), r.hosts.All())
	most := membership.MostCapacity(ranked)
	slices.SortStableFunc(ranked, func(a, b membership.Host) int {
		return cmp.Or(foreign(a, region)-foreign(b, region), a.Weakness(most)-b.Weakness(most))
	})
	r.ranks[id] = ranked
	return ranked
}

func foreign(h membership.Host, region string) int {
	if h.Region == region {
		return 0
	}
	return 1
}
