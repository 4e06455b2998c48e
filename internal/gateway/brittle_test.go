package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against brittle engines that terminate because they have to turn away
// more requests than they can bear, having less room than they registered.
func TestBrittleEnginesDoNotTerminate(t *testing.T) {
	const (
		engines  = 8
		callers  = 60
		duration = 4 * time.Second
		allowed  = 2 + engines/10
	)
	s := newTestSite(t, 3)
	for i := range engines - 2 {
		s.addEngine(fmt.Sprint("app-", 3+i), "app")
	}
	for _, d := range s.daemons {
		s.await("all engines known", func() bool { return len(d.g.holder.Endpoints()) == len(s.engines) })
	}
	for _, e := range s.engines {
		e.Delay = 40 * time.Millisecond
		e.SetFaults(standin.EngineFaults{Brittle: 2})
	}
	s.lookFor(time.Second, callers, 0)
	for _, e := range s.engines {
		e.SetFaults(standin.EngineFaults{Brittle: 2, Room: 3})
	}
	sent, served := s.lookFor(duration, callers, 0)
	falls := 0
	for _, e := range s.engines {
		falls += e.Falls()
	}
	if falls > allowed {
		t.Errorf("%d engines fell over, want at most %d", falls, allowed)
	}
	if served*10 < sent*9 {
		t.Errorf("%d of %d requests served", served, sent)
	}
	t.Logf("%d of %d requests served, %d engines fell over", served, sent, falls)
}
