package autoscale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var testSpec = &Spec{
	Min: 1, Max: 30, Boot: 4 * time.Second, SpotPrice: 0.22,
	ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
}

func zones(ready ...[kinds]int) (all []Zone) {
	for i, one := range ready {
		all = append(all, Zone{Name: string(rune('a' + i)), Ready: one})
	}
	return all
}

func targetsOf(all []Target) map[string][kinds]int {
	found := map[string][kinds]int{}
	for _, t := range all {
		one := found[t.Zone]
		one[t.Kind] = t.Engines
		found[t.Zone] = one
	}
	return found
}

// Guards against on-demand engines that are given up before spot engines serve in
// their place, and against those that are kept afterwards.
func TestOnDemandEnginesAreReplaced(t *testing.T) {
	spec := *testSpec
	spec.Min = 0
	z := zones([kinds]int{5, 0}, [kinds]int{5, 0}, [kinds]int{5, 0}, [kinds]int{5, 0})
	got := targetsOf(Plan(&spec, z, 20))
	for _, zone := range z {
		if got[zone.Name] != [kinds]int{5, 7} {
			t.Errorf("before spot engines are ready, zone %s has the target %v", zone.Name, got[zone.Name])
		}
	}
	z[0].Ready[Spot], z[1].Ready[Spot] = 7, 5
	got = targetsOf(Plan(&spec, z, 20))
	if got["c"][OnDemand] != 0 || got["a"][OnDemand] != 0 || got["b"][OnDemand] != 5 || got["d"][OnDemand] != 3 {
		t.Errorf("with 12 spot engines ready: %v; 8 on-demand engines of the cheapest zones are wanted", got)
	}
}

// Guards against a plan by which the loss of a zone leaves too few engines, that
// leaves the bounds, or that ends engines while others are missing.
func TestPlansOfDrawnSites(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for n := range 5000 {
		spec := &Spec{Min: r.IntN(3), Max: 3 + r.IntN(30), Boot: time.Second, ZonePrices: map[string]float64{}}
		if r.IntN(4) > 0 {
			spec.SpotPrice = r.Float64()
		}
		var z []Zone
		for i := range 1 + r.IntN(5) {
			one := Zone{Name: fmt.Sprint(i), Ready: [kinds]int{r.IntN(spec.Max + 1), 0}}
			one.Ready[Spot] = r.IntN(spec.Max + 1 - one.Ready[OnDemand])
			one.Blocked = [kinds]bool{r.IntN(8) == 0, r.IntN(4) == 0}
			spec.ZonePrices[one.Name] = r.Float64()
			z = append(z, one)
		}
		needed := r.IntN(2 * spec.Max * len(z))
		checkPlan(t, n, spec, z, needed)
	}
}

func checkPlan(t *testing.T, n int, spec *Spec, zones []Zone, needed int) {
	t.Helper()
	needed = min(max(needed, spec.Min*len(zones)), spec.Max*len(zones))
	got := targetsOf(Plan(spec, zones, needed))
	ready, spotReady, onDemand, onDemandReady := 0, 0, 0, 0
	for _, z := range zones {
		target := got[z.Name]
		if total := target[OnDemand] + target[Spot]; total > spec.Max && target[Spot] > 0 || total < spec.Min && !z.Blocked[Spot] {
			t.Fatalf("plan %d: zone %+v has the target %v, allowed %d to %d", n, z, target, spec.Min, spec.Max)
		}
		if !spec.HasSpot() && target[Spot] > 0 {
			t.Fatalf("plan %d: spot engines where there are none", n)
		}
		ready += z.Ready[OnDemand] + z.Ready[Spot]
		spotReady += z.Ready[Spot]
		onDemand += target[OnDemand]
		onDemandReady += z.Ready[OnDemand]
	}
	if !spec.HasSpot() {
		spotReady = 0
	}
	if kept := min(onDemandReady, max(0, needed-spotReady)); onDemand < kept {
		t.Fatalf("plan %d: %d on-demand engines of %d remain, with %d spot engines ready and %d engines needed", n, onDemand, onDemandReady, spotReady, needed)
	}
}

// Guards against on-demand engines that are ordered while other zones still have
// room for spot engines.
func TestReclaimedZoneIsServedByOthers(t *testing.T) {
	z := zones([kinds]int{0, 7}, [kinds]int{0, 7}, [kinds]int{0, 7}, [kinds]int{0, 0})
	z[3].Blocked[Spot] = true
	got := targetsOf(Plan(testSpec, z, 20))
	for _, name := range []string{"a", "b", "c"} {
		if got[name] != [kinds]int{0, 7} {
			t.Errorf("zone %s has the target %v, want 7 spot engines", name, got[name])
		}
	}
	for i := range z {
		z[i].Blocked[Spot], z[i].Ready[Spot] = true, 0
	}
	total := 0
	for _, target := range targetsOf(Plan(testSpec, z, 20)) {
		total += target[OnDemand]
	}
	if total != 20 {
		t.Errorf("%d on-demand engines are ordered where there are no spot engines, want 20", total)
	}
}

func BenchmarkPlan(b *testing.B) {
	spec := &Spec{Min: 1, Max: 400, SpotPrice: 0.3, ZonePrices: map[string]float64{}}
	var z []Zone
	for i := range 6 {
		name := fmt.Sprint(i)
		spec.ZonePrices[name] = 1 + float64(i)/10
		z = append(z, Zone{Name: name, Ready: [kinds]int{80, 90}})
	}
	b.ReportAllocs()
	for b.Loop() {
		Plan(spec, z, 1000)
	}
}
