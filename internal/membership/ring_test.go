package membership

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
)

// zonedView returns the view of a host that knows all hosts of a site.
func zonedView(self, zones, perZone int) *View {
	host := func(i int) Host {
		return Host{ID: hostNumber(i), Incarnation: 1, State: Ready, Zone: fmt.Sprint("zone-", i%zones)}
	}
	v := NewView(clockwork.NewFakeClock(), host(self))
	for i := range zones * perZone {
		if i != self {
			v.Observe(host(i))
		}
	}
	return v
}

// Guards against updates that cross between zones on every link, and against zones
// that are linked to no other one.
func TestHalfOfThePartnersAreInTheOwnZone(t *testing.T) {
	const zones, perZone = 6, 40
	near, far := 0, 0
	for self := range zones * perZone {
		v := zonedView(self, zones, perZone)
		for _, h := range v.Partners() {
			if h.Zone == v.Self().Zone {
				near++
			} else {
				far++
			}
		}
	}
	hosts := zones * perZone
	if near < zoneRings*hosts {
		t.Errorf("%d of %d partners are in the own zone", near, near+far)
	}
	// Without zones, one in six of the hosts on the other rings is in the own one.
	if least := (Rings - zoneRings) * hosts * (zones - 1) / zones * 3 / 4; far < least {
		t.Errorf("%d of %d partners are in other zones, want at least %d", far, near+far, least)
	}
}

// Guards against a host that has no partners because its zone has no other hosts.
func TestLoneHostOfAZoneHasPartners(t *testing.T) {
	v := zonedView(0, 6, 1)
	if n := len(v.Partners()); n != Rings {
		t.Errorf("%d partners, want %d", n, Rings)
	}
}
