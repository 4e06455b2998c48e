package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Spread returns at most n of the hosts for a key, drawn by their capacity
// without putting any back: a host with twice the capacity is twice as likely
// to come first. A key always gets the same hosts while these stay, so that
// those who follow the answer keep their connections. Hosts that don't tell
// their capacity count as the weakest that do.
func Spread(key string, hosts []Host, n int) []Host {
	if len(hosts) <= n {
		return hosts
	}
	least := uint32(math.MaxUint32)
	for _, h := range hosts {
		if h.Capacity > 0 {
			least = min(least, h.Capacity)
		}
	}
	type scored struct {
		host  Host
		score float64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		draw := (float64(xxhash.Sum64String(key+"\x00"+string(h.ID))>>11) + 0.5) / (1 << 53)
		weight := float64(cmp.Or(h.Capacity, least))
		all = append(all, scored{h, -math.Log(draw) / weight})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	chosen := make([]Host, 0, n)
	for _, s := range all[:n] {
		chosen = append(chosen, s.host)
	}
	return chosen
}
