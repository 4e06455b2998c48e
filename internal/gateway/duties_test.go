package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/usage"
	"github.com/beechhead/beechhead/pkg/table"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// newDutySite returns a site of n daemons whose platform asks for both duties.
func newDutySite(t *testing.T, n int) (*testSite, *standin.Duties) {
	t.Helper()
	api := standin.NewDuties()
	api.ChecksFence = true
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	s := newTestSiteWith(t, n, func(d *settings.Settings, doc *standin.Document) {
		d.Gateway.Duties = &settings.Duties{
			URL: server.URL, Names: []string{platform.DutyUsage, platform.DutyScaling}, CallsPerSecond: 50, ChecksFence: true,
			LeaseDuration: table.Duration(2 * time.Second), UsageWindow: table.Duration(time.Second), UsageDue: table.Duration(20 * time.Second),
		}
		doc.Services[0]["scaling"] = map[string]any{"min": 1, "max": 4, "boot-s": 1, "spot-price": 0.3, "zone-prices": map[string]any{"z": 1}}
	})
	return s, api
}

// reported returns the sum of all usage that was reported.
func reported(api *standin.Duties) (n uint32) {
	for _, counts := range api.Windows() {
		for _, one := range counts {
			n += one
		}
	}
	return n
}

// Guards against usage that is not reported, or reported twice, and against
// engines that are not ordered, while the daemon that does so is replaced.
func TestDutiesArePerformed(t *testing.T) {
	s, api := newDutySite(t, 3)
	s.await("windows are reported", func() bool { return len(api.Windows()) > 0 })
	total := uint32(0)
	send := func() {
		for _, d := range s.daemons {
			if a := s.chat(d, "chat"); a.status != http.StatusOK {
				t.Errorf("chat: status %d, %v", a.status, a.err)
			}
			if a := s.call(d, http.MethodPost, "/pay/x", nil, "p"); a.status != http.StatusOK {
				t.Errorf("pay: status %d, %v", a.status, a.err)
			}
			total += 2
		}
	}
	send()
	s.await("all requests are reported", func() bool { return reported(api) == total })
	s.await("spot engines are ordered", func() bool { return len(api.Orders()) > 0 })
	var holder *testDaemon
	s.await("a holder is known", func() bool {
		for _, d := range s.daemons {
			if _, ok := d.g.duties.tenure.Held(); ok {
				holder = d
			}
		}
		return holder != nil
	})
	holder.cancel()
	<-holder.done
	for i, d := range s.daemons {
		if d == holder {
			s.daemons = append(s.daemons[:i:i], s.daemons[i+1:]...)
			break
		}
	}
	s.await("another daemon takes over", func() bool {
		for _, d := range s.daemons {
			if _, ok := d.g.duties.tenure.Held(); ok {
				return true
			}
		}
		return false
	})
	send()
	s.await("all requests are reported by the successor", func() bool { return reported(api) == total })
	for _, broken := range api.Broken() {
		t.Error(broken)
	}
	for w := range api.Windows() {
		if at := usage.Window(w).Begin(time.Second); time.Duration(time.Now().UnixNano())-at > time.Hour {
			t.Errorf("window %d is not of this hour", w)
		}
	}
}
