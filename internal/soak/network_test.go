package soak

import "testing"

// Guards against two runs on a machine that use the same addresses.
func TestReservedNetworksDiffer(t *testing.T) {
	used := map[int]bool{}
	for range 3 {
		network, release, err := reserveNetwork(7)
		if err != nil {
			t.Fatal(err)
		}
		defer release()
		if used[network] {
			t.Errorf("network %d is reserved twice", network)
		}
		used[network] = true
	}
}
