package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Two hosts of a zone carry sixteen times what the other thirty can. If callers
// drew from all alike, the narrow links would be full while the wide ones stood
// idle.
func TestSpreadFollowsCapacity(t *testing.T) {
	var hosts []Host
	for i := range 32 {
		h := Host{ID: HostID(fmt.Sprintf("host-%d", i)), Capacity: 40}
		if i < 2 {
			h.Capacity = 640
		}
		hosts = append(hosts, h)
	}
	share := map[HostID]float64{}
	const callers = 2000
	for i := range callers {
		chosen := Spread(fmt.Sprintf("10.0.%d.%d", i/256, i%256), hosts, 8)
		if len(chosen) != 8 {
			t.Fatalf("%d hosts", len(chosen))
		}
		for _, h := range chosen {
			share[h.ID] += 1.0 / 8 / callers
		}
	}
	for _, h := range hosts {
		want := 0.125
		if h.Capacity == 40 {
			want = 0.75 / 30
		}
		if math.Abs(share[h.ID]-want) > 0.3*want {
			t.Errorf("%s gets %.4f of the callers, want about %.4f", h.ID, share[h.ID], want)
		}
	}
}

// A caller that asks again must be told the same hosts, or it would give up its
// connections each time.
func TestSpreadStaysForACaller(t *testing.T) {
	var hosts []Host
	for i := range 20 {
		hosts = append(hosts, Host{ID: HostID(fmt.Sprintf("host-%d", i)), Capacity: uint32(i % 3)})
	}
	before := Spread("caller", hosts, 5)
	if !slices.Equal(before, Spread("caller", hosts, 5)) {
		t.Error("the same caller is told other hosts")
	}
	gone := before[0].ID
	after := Spread("caller", slices.DeleteFunc(hosts, func(h Host) bool { return h.ID == gone }), 5)
	if !slices.Equal(after[:4], before[1:]) {
		t.Errorf("one host went, and the caller is told %v instead of %v", after, before)
	}
	if few := Spread("caller", before, 8); len(few) != 5 {
		t.Errorf("%d of 5 hosts", len(few))
	}
}
