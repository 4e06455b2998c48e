package membership

import (
	"math"
	"slices"
)

// Bounds of the list that Addresses returns.
const (
	// maxOwnZone and maxOtherZones keep the list short in a large fleet.
	maxOwnZone    = 8
	maxOtherZones = 8
	// A host is overloaded if its load exceeds overloadFactor times the mean
	// load by more than overloadSlack requests.
	overloadFactor = 2
	overloadSlack  = 16
)

// Addresses returns the caller addresses of ready hosts. Hosts in the given zone
// come before the others. Each group is in a random order weighted towards hosts
// with less load, so that callers that all use the first address are distributed
// over the hosts. Overloaded hosts are omitted; the bound lies above the mean
// load, so at least one host is left.
func (v *View) Addresses(zone string) []string {
	hosts := withoutOverloaded(v.current(v.Ready()))
	own := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Zone != zone })
	others := slices.DeleteFunc(hosts, func(h Host) bool { return h.Zone == zone })
	addresses := append(v.sampleByLoad(own, maxOwnZone), v.sampleByLoad(others, maxOtherZones)...)
	return addresses
}

// withoutOverloaded returns the hosts whose load is not far above the mean.
func withoutOverloaded(hosts []Host) []Host {
	total := 0.0
	for _, h := range hosts {
		total += float64(h.Load)
	}
	bound := overloadFactor*total/float64(max(len(hosts), 1)) + overloadSlack
	return slices.DeleteFunc(hosts, func(h Host) bool { return float64(h.Load) > bound })
}

// sampleByLoad returns the caller addresses of up to n hosts, drawn without
// replacement with weights inversely proportional to the load: each host gets
// the key log(rand)/weight, and the hosts with the greatest keys are taken.
func (v *View) sampleByLoad(hosts []Host, n int) []string {
	type keyed struct {
		address string
		key     float64
	}
	all := make([]keyed, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, keyed{h.CallerAddress, math.Log(v.Rand()) * float64(idleLoad+h.Load)})
	}
	slices.SortFunc(all, func(a, b keyed) int {
		switch {
		case a.key > b.key:
			return -1
		case a.key < b.key:
			return 1
		}
		return 0
	})
	var addresses []string
	for _, k := range all[:min(n, len(all))] {
		addresses = append(addresses, k.address)
	}
	return addresses
}
