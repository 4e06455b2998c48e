package membership

import "testing"

// Guards against streams that stall and are truncated because other hosts fetch
// from a host with a narrow link. In one run, a store reader with the narrowest
// link of all served a configuration with many new routes to a hundred hosts,
// and the streams of its own callers stalled for 1.2 s.
func TestHighCapacityHostsComeFirst(t *testing.T) {
	ranked := []Host{{ID: "narrow", Capacity: 10}, {ID: "unknown"}, {ID: "wide", Capacity: 200}, {ID: "half", Capacity: 100}}
	want := []HostID{"wide", "half", "narrow", "unknown"}
	for i, h := range HighCapacityFirst(ranked) {
		if h.ID != want[i] {
			t.Errorf("position %[2]d has %[1]s, want %[3]s", h.ID, i, want[i])
		}
	}
	if ranked[0].ID != "narrow" {
		t.Error("the argument was changed")
	}
}

// With equal or unknown capacities, the ranked order is kept.
func TestHostsOfEqualCapacityKeepTheirOrder(t *testing.T) {
	for _, capacity := range []uint32{0, 50} {
		ranked := []Host{{ID: "c", Capacity: capacity}, {ID: "a", Capacity: capacity}, {ID: "b", Capacity: capacity}}
		for i, h := range HighCapacityFirst(ranked) {
			if h.ID != ranked[i].ID {
				t.Errorf("capacity %d: %s moved to position %d", capacity, h.ID, i)
			}
		}
	}
}
