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

// BenchmarkTracker measures what a request costs with 500 open requests, and a silent one
// each time that another endpoint is looked for, by the number of endpoints.
func BenchmarkTracker(b *testing.B) {
	const open = 500
	clock := bubbleclock.New()
	for _, total := range []int{open, 20_000} {
		endpoints := make([]table.Endpoint, total)
		for i := range endpoints {
			endpoints[i] = table.Endpoint{Name: table.EndpointName(fmt.Sprintf("endpoint-%d", i)), Pool: "p"}
		}
		prepare := func() *Tracker {
			s := new(Tracker)
			now := clock.Now()
			for i := range endpoints {
				h := s.Begin(&endpoints[i], now)
				h.Record(now.Add(-2*Recently), false)
				h.AddLate(1)
				if i >= open {
					h.AddLate(-1)
					h.End()
				}
			}
			return s
		}
		for name, do := range map[string]func(s *Tracker, i int){
			"request": func(s *Tracker, i int) {
				h := s.Begin(&endpoints[i%total], clock.Now())
				h.Record(clock.Now(), false)
				h.End()
			},
			"shared": func(s *Tracker, _ int) { s.IsShared("p", clock.Now()) },
			"silent": func(s *Tracker, _ int) { s.Silent("p", clock.Now()) },
		} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", name, total), func(b *testing.B) {
				s := prepare()
				for i := range b.N {
					do(s, i)
				}
			})
		}
	}
}
