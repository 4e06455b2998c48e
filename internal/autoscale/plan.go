package autoscale

import (
	"cmp"
	"slices"
)

// Plan returns the targets of all zones, sorted by zone and kind, such that
// needed engines remain if all spot engines of one zone are reclaimed. On-demand
// engines are kept until enough spot engines are ready, and added only where spot
// engines can't be had.
func Plan(spec *Spec, zones []Zone, needed int) []Target {
	if len(zones) == 0 {
		return nil
	}
	p := plan{spec: spec, zones: slices.Clone(zones), targets: map[string]*[kinds]int{}}
	slices.SortFunc(p.zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	for _, z := range p.zones {
		p.targets[z.Name] = &[kinds]int{}
	}
	needed = min(max(needed, spec.Min*len(zones)), spec.Max*len(zones))
	p.keepOnDemand(needed)
	if spec.HasSpot() {
		p.spreadSpot(needed)
	}
	p.addOnDemand(needed)
	return p.list()
}

type plan struct {
	spec    *Spec
	zones   []Zone
	targets map[string]*[kinds]int
}

// keepOnDemand keeps the on-demand engines in whose place no spot engines are
// ready. Those of the dearest zones are given up first.
func (p *plan) keepOnDemand(needed int) {
	ready, spots := 0, 0
	for _, z := range p.zones {
		p.targets[z.Name][OnDemand] = min(z.Ready[OnDemand], p.spec.Max)
		ready += p.targets[z.Name][OnDemand]
		if p.spec.HasSpot() {
			spots += z.Ready[Spot]
		}
	}
	for surplus := ready - max(0, needed-spots); surplus > 0; surplus-- {
		p.targets[p.dearest().Name][OnDemand]--
	}
}

// dearest returns the most expensive zone with an on-demand engine.
func (p *plan) dearest() (found Zone) {
	for _, z := range p.zones {
		if p.targets[z.Name][OnDemand] > 0 && (found.Name == "" || p.price(z) > p.price(found)) {
			found = z
		}
	}
	return found
}

// spreadSpot gives each zone the same number of spot engines, so many that enough
// remain without any one zone. What a zone can't have goes to the others.
func (p *plan) spreadSpot(needed int) {
	var open []Zone
	missing := needed
	for _, z := range p.zones {
		if z.Blocked[Spot] {
			p.targets[z.Name][Spot] = z.Ready[Spot]
			missing -= z.Ready[Spot]
			continue
		}
		open = append(open, z)
	}
	if len(open) == 0 {
		return
	}
	remaining := len(open)
	if remaining == len(p.zones) {
		remaining = max(1, remaining-1)
	}
	each := (max(0, missing) + remaining - 1) / remaining
	for _, z := range open {
		n := min(each, p.room(z))
		p.targets[z.Name][Spot] = n
		missing -= n
	}
	for ; missing > 0; missing-- {
		z, ok := p.smallest(Spot)
		if !ok {
			return
		}
		p.targets[z.Name][Spot]++
	}
}

// addOnDemand adds on-demand engines for what spot engines can't serve, and where
// a zone would have too few engines.
func (p *plan) addOnDemand(needed int) {
	planned := 0
	for _, t := range p.targets {
		planned += t[OnDemand] + t[Spot]
	}
	for ; planned < needed; planned++ {
		z, ok := p.smallest(OnDemand)
		if !ok {
			break
		}
		p.targets[z.Name][OnDemand]++
	}
	for _, z := range p.zones {
		t := p.targets[z.Name]
		t[OnDemand] += max(0, p.spec.Min-t[OnDemand]-t[Spot])
	}
}

// smallest returns the zone with the fewest engines among those in which engines
// of a kind can be ordered, and of these the cheapest.
func (p *plan) smallest(kind Kind) (found Zone, ok bool) {
	for _, z := range p.zones {
		if z.Blocked[kind] || p.room(z) <= 0 {
			continue
		}
		if !ok || p.size(z) < p.size(found) || p.size(z) == p.size(found) && p.price(z) < p.price(found) {
			found, ok = z, true
		}
	}
	return found, ok
}

func (p *plan) price(z Zone) float64 { return p.spec.ZonePrices[z.Name] }

// size returns the number of engines planned for a zone. On-demand engines that
// have not left yet count against the maximum.
func (p *plan) size(z Zone) int {
	t := p.targets[z.Name]
	return max(t[OnDemand], z.Ready[OnDemand]) + t[Spot]
}

// room returns how many more engines a zone can have.
func (p *plan) room(z Zone) int { return p.spec.Max - p.size(z) }

// list returns the targets, without those of spot engines where there are none
// to be had.
func (p *plan) list() []Target {
	var all []Target
	for _, z := range p.zones {
		for kind := range kinds {
			if kind == Spot && (z.Blocked[kind] || !p.spec.HasSpot()) {
				continue
			}
			all = append(all, Target{Zone: z.Name, Kind: kind, Engines: p.targets[z.Name][kind]})
		}
	}
	return all
}
