package membership

import (
	"math"
	"slices"
)

// Bounds of an answer of addresses.
const (
	// maxOwnZone and maxOtherZones keep an answer short in a large fleet.
	maxOwnZone    = 8
	maxOtherZones = 8
	// A host is overloaded if it runs overloadFactor times the mean and
	// overloadSlack requests more.
	overloadFactor = 2
	overloadSlack  = 16
)

// Addresses returns callers' addresses of hosts that take work: those of the
// zone before the others, each group in a random order in which hosts with
// less load tend to come first, so that callers who all take the first spread
// over the hosts. Overloaded hosts are left out unless there are no others.
func (v *View) Addresses(zone string) []string {
	hosts := withoutOverloaded(v.current(v.Ready()))
	own := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Zone != zone })
	others := slices.DeleteFunc(hosts, func(h Host) bool { return h.Zone == zone })
	addresses := append(v.spread(own, maxOwnZone), v.spread(others, maxOtherZones)...)
	return addresses
}

func withoutOverloaded(hosts []Host) []Host {
	total := 0.0
	for _, h := range hosts {
		total += float64(h.Load)
	}
	bound := overloadFactor*total/float64(max(len(hosts), 1)) + overloadSlack
	return slices.DeleteFunc(hosts, func(h Host) bool { return float64(h.Load) > bound })
}

// spread draws an order without replacement, with weights that fall with the
// load: each host gets the key log(rand)/weight, and the greatest come first.
func (v *View) spread(hosts []Host, n int) []string {
	type keyed struct {
		address string
		key     float64
	}
	all := make([]keyed, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, keyed{h.CallerAddress, math.Log(v.Rand()) * float64(minNewsLoad+h.Load)})
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
