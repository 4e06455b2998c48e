package catalog

import "testing"

// Endpoints reset connections beyond what they accept from all daemons
// together; a request on such a connection may have run. So the idle ones are
// divided over the daemons, beside those that a full endpoint has in use.
func TestIdleConnectionsStayWithinTheEndpointsLimit(t *testing.T) {
	tests := []struct {
		name    string
		pools   []Pool
		daemons int
		want    int
	}{
		{"no limit named", []Pool{{Slots: 64}}, 14, 0},
		{"divided beside the slots", []Pool{{MaxConnections: 720, Slots: 64}}, 14, 46},
		{"the narrowest pool counts", []Pool{{MaxConnections: 720, Slots: 64}, {MaxConnections: 200}}, 14, 14},
		{"more daemons than connections", []Pool{{MaxConnections: 100}}, 360, 1},
		{"no daemon known yet", []Pool{{MaxConnections: 100}}, 0, 100},
	}
	for _, tt := range tests {
		c := Catalog{Pools: tt.pools}
		if got := c.IdleConnections(tt.daemons); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
