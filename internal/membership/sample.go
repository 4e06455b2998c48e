package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SampleByCapacity returns at most n of the hosts for a key, drawn without
// replacement with weights proportional to their capacity: a host with twice the
// capacity is twice as likely to come first. The result for a key is the same as
// long as the hosts are, so that callers that use it keep their connections. A
// host of unknown capacity counts with the least known one.
func SampleByCapacity(key string, hosts []Host, n int) []Host {
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
