package cell

import (
	"fmt"
	"testing"

	"github.com/beechhead/beechhead/internal/membership"
)

// All requests of a cell pass through its coordinator, so a coordinator with a
// low-bandwidth link would delay every one of them. Hosts of high capacity must
// rank first; if all capacities are equal, every host must coordinate some cells.
func TestCapableHostsCoordinate(t *testing.T) {
	hosts := func(capacity func(i int) uint32) []membership.Host {
		var all []membership.Host
		for i := range 12 {
			all = append(all, membership.Host{ID: membership.HostID(fmt.Sprintf("host-%d", i)), Region: "r", Capacity: capacity(i)})
		}
		return all
	}
	first := func(all []membership.Host) map[membership.HostID]int {
		r := NewRanking()
		r.Update(membership.NewSnapshot(all))
		n := map[membership.HostID]int{}
		for i := range 200 {
			h, _ := r.First(ID(fmt.Sprintf("cell-%d", i)), "r")
			n[h.ID]++
		}
		return n
	}
	mixed := first(hosts(func(i int) uint32 { return map[bool]uint32{true: 600, false: 40}[i < 3] }))
	if len(mixed) != 3 || mixed["host-0"] == 0 {
		t.Errorf("cells per coordinator are %v, want only the 3 hosts of high capacity", mixed)
	}
	for _, capacity := range []uint32{0, 200} {
		if alike := first(hosts(func(int) uint32 { return capacity })); len(alike) != 12 {
			t.Errorf("with equal capacities of %d, %d of 12 hosts coordinate cells, want all", capacity, len(alike))
		}
	}
}
