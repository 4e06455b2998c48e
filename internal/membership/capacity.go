package membership

import "slices"

// highCapacityRatio is the fraction of the greatest capacity that a host needs to
// count as a high-capacity host.
const highCapacityRatio = 0.5

// MaxCapacity returns the greatest capacity among the hosts.
func MaxCapacity(hosts []Host) uint32 {
	most := uint32(0)
	for _, h := range hosts {
		most = max(most, h.Capacity)
	}
	return most
}

// CapacityRank returns 0 for a high-capacity host and 1 for one whose capacity is
// far below the greatest, so that sorting by it puts high-capacity hosts first.
func (h Host) CapacityRank(most uint32) int {
	if float64(h.Capacity) >= highCapacityRatio*float64(most) {
		return 0
	}
	return 1
}

// HighCapacityFirst returns the ranked hosts with the high-capacity ones first, and
// otherwise in the same order. A host from which all others fetch needs the
// bandwidth: on a narrow link, a hundred hosts that fetch a large configuration
// delay the streams of the host's own callers.
func HighCapacityFirst(ranked []Host) []Host {
	most := MaxCapacity(ranked)
	sorted := slices.Clone(ranked)
	slices.SortStableFunc(sorted, func(a, b Host) int { return a.CapacityRank(most) - b.CapacityRank(most) })
	return sorted
}
