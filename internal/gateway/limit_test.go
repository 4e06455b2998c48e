package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// In any limitWindow, an engine may get at most limitExcess times the
	// number of requests that its limit allows, plus limitSlack.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// mostInWindow returns the greatest number of runs that began within
// limitWindow.
func mostInWindow(runs []standin.Run) (most int) {
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	from := 0
	for i := range runs {
		for runs[i].Began.Sub(runs[from].Began) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// chatAlone sends a stream request whose prompt parts no other request has.
func (s *testSite) chatAlone(d *testDaemon, n int) response {
	return s.call(d, http.MethodPost, "/chat/x", map[string]string{
		platform.HeaderTokens: "1200,30", platform.HeaderParts: fmt.Sprintf("%x:800,%x:100", 0x1000+n, 0x9000+n),
	}, fmt.Sprint("prompt ", n))
}

// Guards against daemons that together exceed the rate limit that an engine
// announces, and against still limiting the engine after it announces none.
func TestEngineRateLimit(t *testing.T) {
	const limit = 1
	s := newTestSite(t, 3)
	n := 0
	send := func(times int) {
		for range times {
			for _, d := range s.daemons {
				n++
				if a := s.chatAlone(d, n); a.err != nil || a.status != http.StatusOK {
					t.Errorf("stream %d: status %d, %v", n, a.status, a.err)
				}
				if a := s.call(d, http.MethodGet, "/look/x", nil, ""); a.status != http.StatusOK {
					t.Errorf("call %d: status %d, %v", n, a.status, a.err)
				}
			}
		}
	}
	limited := []*testEngine{s.engines["llm-1"], s.engines["app-1"]}
	for _, e := range limited {
		e.SetFaults(standin.EngineFaults{Limit: limit})
	}
	send(4)
	before := map[*testEngine]int{}
	for _, e := range limited {
		before[e] = len(e.Runs())
	}
	send(20)
	allowed := int(limitExcess*limit*limitWindow.Seconds()) + limitSlack
	for _, e := range limited {
		if got := mostInWindow(e.Runs()[before[e]:]); got > allowed {
			t.Errorf("%s: %d requests in %v, want at most %d", e.ID, got, limitWindow, allowed)
		}
		e.SetFaults(standin.EngineFaults{})
		before[e] = len(e.Runs())
	}
	for _, e := range limited {
		s.await("the limit is lifted", func() bool {
			send(2)
			return len(e.Runs())-before[e] > allowed
		})
	}
}
