package caller_test

import (
	"net/http"
	"testing"

	"github.com/beechhead/beechhead/internal/standin"
)

// An operator requests the status of a class from one daemon. The response has
// the sum over all daemons that requests entered at, without a daemon that has
// failed.
func TestStatusSumsOverDaemons(t *testing.T) {
	s := startSite(t, standin.SiteConfig{Daemons: 3, Engines: 1, Zones: 1, Speed: fastEngines})
	for _, cfg := range s.Settings {
		if got := exchange(t, cfg.CallerAddress, goodChat, false, http.MethodPost); got.status != http.StatusOK {
			t.Fatalf("status %d: %s", got.status, got.body)
		}
	}
	eventually(t, "the sum over three daemons", func() bool { return classFigures(t, s)["slots"].Since.Answered == 3 })
	s.KillDaemon(2)
	eventually(t, "the sum over the daemons that are left", func() bool { return classFigures(t, s)["slots"].Since.Answered == 2 })
}

// Each endpoint is reported by the coordinator of its cell, and by no other
// daemon.
func TestStatusListsEachEndpointOnce(t *testing.T) {
	s := startSite(t, standin.SiteConfig{Daemons: 3, Engines: 2, Zones: 1, Speed: fastEngines})
	eventually(t, "each endpoint once", func() bool {
		count := map[string]int{}
		for _, e := range siteStatus(t, s).Endpoints {
			count[e.Name+" "+e.State]++
		}
		return len(count) == 3 && count["engine-0 ready"] == 1 && count["engine-1 ready"] == 1 && count["booking-0 ready"] == 1
	})
}
