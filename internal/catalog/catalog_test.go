package catalog

import "testing"

// Guards against opening more connections than an endpoint accepts from all
// daemons together. An endpoint resets the excess ones, and a request on such a
// connection may have been executed. The connections that a fully used endpoint
// needs are subtracted, and the rest is divided among the daemons.
func TestIdleConnectionsStayWithinEndpointLimit(t *testing.T) {
	tests := []struct {
		name    string
		pools   []Pool
		daemons int
		want    int
	}{
		{"no limit", []Pool{{Slots: 64}}, 14, 0},
		{"divided after subtracting the slots", []Pool{{MaxConnections: 720, Slots: 64}}, 14, 46},
		{"the smallest limit applies", []Pool{{MaxConnections: 720, Slots: 64}, {MaxConnections: 200}}, 14, 14},
		{"more daemons than connections", []Pool{{MaxConnections: 100}}, 360, 1},
		{"no known daemons", []Pool{{MaxConnections: 100}}, 0, 100},
	}
	for _, tt := range tests {
		c := Catalog{Pools: tt.pools}
		if got := c.IdleConnections(tt.daemons); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
