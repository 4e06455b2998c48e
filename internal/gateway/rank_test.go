package gateway

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against streams that are preempted while less urgent ones of the same tier run
// on, whose account has raised them to that tier.
func TestUrgentStreamsAreNotPreemptedForRaisedOnes(t *testing.T) {
	s := newTestSiteWith(t, 2, func(_ *settings.Settings, doc *standin.Document) {
		for _, r := range doc.Routes {
			if r["name"] == "draft" {
				r["priority"] = 2
			}
		}
		for _, tenant := range doc.Tenants {
			if tenant["name"] == "other" {
				tenant["priority"] = 1
			}
		}
	})
	for _, id := range []string{"llm-1", "llm-2"} {
		s.engines[id].Events, s.engines[id].Delay = 20, 10*time.Millisecond
		s.engines[id].SetFaults(standin.EngineFaults{Memory: 3000})
	}
	var mu sync.Mutex
	raised := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			isRaised := i%2 == 0
			route, header := "/chat/x", map[string]string{platform.HeaderTokens: "1000,20", platform.HeaderParts: ownPart()}
			if isRaised {
				route, header[platform.HeaderAPIKey] = "/draft/x", standin.OtherSampleKey
			}
			a := s.call(s.daemons[i/2%2], http.MethodPost, route, header, "x")
			mu.Lock()
			defer mu.Unlock()
			raised[a.id] = isRaised
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	preempted, wrong := 0, 0
	for _, e := range s.engines {
		for _, p := range e.Preemptions() {
			preempted++
			if !raised[p.ID] && slices.ContainsFunc(p.Others, func(id string) bool { return raised[id] }) {
				wrong++
			}
		}
	}
	if preempted == 0 {
		t.Error("no stream was preempted")
	}
	if wrong > 0 {
		t.Errorf("%d of %d streams were preempted while raised ones ran on", wrong, preempted)
	}
}
