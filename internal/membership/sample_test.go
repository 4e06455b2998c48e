package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Guards against overloaded narrow links beside idle wide ones: two hosts have
// sixteen times the capacity of the other thirty, so a uniform draw would give
// the small hosts too many callers.
func TestSamplesAreProportionalToCapacity(t *testing.T) {
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
		chosen := SampleByCapacity(fmt.Sprintf("10.0.%d.%d", i/256, i%256), hosts, 8)
		if len(chosen) != 8 {
			t.Fatalf("got %d hosts, want 8", len(chosen))
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

// Guards against callers that drop their connections on each lookup because they
// get other hosts. When a host is removed, only that host is replaced.
func TestSampleIsStableForACaller(t *testing.T) {
	var hosts []Host
	for i := range 20 {
		hosts = append(hosts, Host{ID: HostID(fmt.Sprintf("host-%d", i)), Capacity: uint32(i % 3)})
	}
	before := SampleByCapacity("caller", hosts, 5)
	if !slices.Equal(before, SampleByCapacity("caller", hosts, 5)) {
		t.Error("the same caller gets other hosts")
	}
	gone := before[0].ID
	after := SampleByCapacity("caller", slices.DeleteFunc(hosts, func(h Host) bool { return h.ID == gone }), 5)
	if !slices.Equal(after[:4], before[1:]) {
		t.Errorf("after one host was removed, got %v from %v", after, before)
	}
	if few := SampleByCapacity("caller", before, 8); len(few) != 5 {
		t.Errorf("got %d hosts, want all 5", len(few))
	}
}
