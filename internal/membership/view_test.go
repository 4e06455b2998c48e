package membership_test

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/membership"
)

// hostUpdate is an update of host "b" in a scenario.
type hostUpdate struct {
	Incarnation uint64            `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Status      membership.Status `json:"status"`
}

// Guards against late or repeated updates that change the final status of a host,
// or the incarnations that are reported as gone.
func TestUpdatesInAnyOrder(t *testing.T) {
	data, err := os.ReadFile("testdata/news.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name   string       `json:"name"`
		News   []hostUpdate `json:"news"`
		Status string       `json:"status"`
		Gone   []uint64     `json:"gone"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			v := membership.NewView(clockwork.NewFakeClock(), membership.Host{ID: "a"})
			var gone []uint64
			v.OnGone = func(h membership.Host) { gone = append(gone, h.Incarnation) }
			for _, r := range c.News {
				v.Apply(membership.Update{Status: r.Status, Host: membership.Host{
					ID: "b", Incarnation: r.Incarnation, Sequence: r.Sequence, State: membership.Ready,
				}})
			}
			if got := v.All()[0].Status.String(); got != c.Status {
				t.Errorf("status is %s, want %s", got, c.Status)
			}
			if !slices.Equal(gone, c.Gone) {
				t.Errorf("OnGone was called for %v, want %v", gone, c.Gone)
			}
		})
	}
}

// Guards against a healthy daemon that is excluded for good: when it learns that
// it is suspect or gone, it must refute that with a greater sequence number.
func TestRefutation(t *testing.T) {
	v := membership.NewView(clockwork.NewFakeClock(), membership.Host{ID: "a", Incarnation: 5, Sequence: 3, State: membership.Ready})
	v.Apply(membership.Update{Status: membership.Gone, Host: membership.Host{ID: "a", Incarnation: 5, Sequence: 9}})
	if got := v.Self().Sequence; got != 10 {
		t.Errorf("sequence is %d, want 10", got)
	}
	v.Apply(membership.Update{Status: membership.Gone, Host: membership.Host{ID: "a", Incarnation: 4, Sequence: 90}})
	if got := v.Self().Sequence; got != 10 {
		t.Errorf("an update of an earlier incarnation changed the sequence to %d", got)
	}
}

func fleet() *membership.View {
	v := membership.NewView(clockwork.NewFakeClock(), membership.Host{ID: "self", Zone: "z1", State: membership.Ready, CallerAddress: "self"})
	add := func(id membership.HostID, zone string, state membership.State, load uint32) {
		v.Observe(membership.Host{ID: id, Incarnation: 1, Zone: zone, State: state, Load: load, CallerAddress: string(id)})
	}
	add("near", "z1", membership.Ready, 0)
	add("far", "z2", membership.Ready, 0)
	add("busy", "z1", membership.Ready, 500)
	add("leaving", "z1", membership.Leaving, 0)
	add("silent", "z1", membership.Ready, 0)
	add("listed", "z1", membership.Ready, 0)
	v.Suspect("silent", 1)
	v.MarkListedLeaving("listed")
	return v
}

// Callers use the first address. Hosts that are leaving, suspect, overloaded or
// listed as leaving by the platform must not be returned, and not all callers may
// be sent to the same host.
func TestAddresses(t *testing.T) {
	v := fleet()
	draws := []float64{0.9, 0.1, 0.5}
	v.Rand = func() float64 { d := draws[0]; draws = append(draws[1:], d); return d }
	if got, want := v.Addresses("z1"), []string{"near", "self", "far"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	draws = []float64{0.1, 0.9, 0.5}
	if got, want := v.Addresses("z1"), []string{"self", "near", "far"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := v.Addresses("z2")[0]; got != "far" {
		t.Errorf("the first address for zone z2 is %s", got)
	}
}

// A leaving host accepts requests for as long as callers may use a cached list of
// addresses that contains it, and not longer.
func TestLeavingHostAcceptsForAddressLifetime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	v := membership.NewView(clock, membership.Host{ID: "a", State: membership.Ready})
	v.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	clock.Advance(membership.AddressLifetime - time.Millisecond)
	if !v.Accepting() {
		t.Error("refuses requests before the address lifetime is over")
	}
	clock.Advance(time.Millisecond)
	if v.Accepting() {
		t.Error("accepts requests after the address lifetime")
	}
}
