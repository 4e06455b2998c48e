package activity

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against using up the retry budget on endpoints that are silent as well.
func TestSilentEndpointsAreNotAskedInPlaceOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Tracker
		clock := bubbleclock.New()
		endpoints := []*table.Endpoint{{Name: "a", Pool: "p"}, {Name: "b", Pool: "p"}, {Name: "c", Pool: "q"}, {Name: "d", Pool: "p"}}
		var all []*Endpoint
		for _, e := range endpoints {
			h := s.Begin(e, clock.Now())
			h.AddLate(1)
			all = append(all, h)
		}
		time.Sleep(2 * Recently)
		if !s.IsShared("p", clock.Now()) || s.IsShared("q", clock.Now()) {
			t.Error("the silence of three endpoints is not shared, or that of one is")
		}
		all[1].Record(clock.Now(), true)
		got := s.Silent("p", clock.Now())
		slices.Sort(got)
		if fmt.Sprint(got) != "[a d]" {
			t.Errorf("silent endpoints: %s, want a and d, since b has sent something", got)
		}
		if !s.IsShared("p", clock.Now()) {
			t.Error("a silence that ends at one endpoint is not shared by the others any more")
		}
		time.Sleep(2 * AskInterval)
		if s.IsShared("p", clock.Now()) {
			t.Error("a silence is shared although an endpoint has sent something")
		}
		for _, h := range all {
			h.AddLate(-1)
			h.End()
		}
		if len(s.endpoints) > 0 {
			t.Errorf("%d endpoints are kept without a response that is awaited", len(s.endpoints))
		}
	})
}
