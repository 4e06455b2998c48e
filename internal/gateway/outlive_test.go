package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// runCount returns the number of executions on all engines.
func (s *testSite) runCount() (sum int) {
	for _, e := range s.engines {
		sum += len(e.Runs())
	}
	return sum
}

// silence is longer than the time after which another engine is asked.
const silence = 2500 * time.Millisecond

// startSilent starts a request of each kind at each daemon, waits until engines run
// them, and has the engines say nothing for a while. The function that it returns waits
// for the responses, which must be whole.
func (s *testSite) startSilent(silence time.Duration) (check func(name string)) {
	s.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[string]response{}
	n := 0
	start := func(kind string, send func() response) {
		n++
		wg.Go(func() {
			a := send()
			mu.Lock()
			defer mu.Unlock()
			got[kind+" "+a.id] = a
		})
	}
	before := s.runCount()
	for i, d := range s.daemons {
		start("chat", func() response { return s.chatAlone(d, i) })
		start("draft", func() response { return s.chat(d, "draft") })
		start("pay", func() response { return s.call(d, http.MethodPost, "/pay/x", nil, "p") })
		start("look", func() response { return s.call(d, http.MethodGet, "/look/x", nil, "") })
	}
	s.await("all requests run", func() bool { return s.runCount() == before+n })
	for _, e := range s.engines {
		e.Silence(silence)
	}
	return func(name string) {
		s.t.Helper()
		wg.Wait()
		for id, a := range got {
			if a.err != nil || a.status != http.StatusOK {
				s.t.Errorf("%s: %s ended with status %d, %v", name, id, a.status, a.err)
			}
			// While its engine is silent, a request that may be repeated may run at a second one.
			most := 1
			if kind, _, _ := strings.Cut(id, " "); kind == "chat" || kind == "look" {
				most = 2
			}
			if runs := len(s.runs(a.id)); runs < 1 || runs > most {
				s.t.Errorf("%s: %s ran %d times, want at most %d", name, id, runs, most)
			}
		}
	}
}

// Guards against a change of the configuration, of the endpoints' registrations or of the
// settings that ends a response whose engine is silent at the moment.
func TestResponsesOutliveChanges(t *testing.T) {
	s := newTestSite(t, 2)
	for _, e := range s.engines {
		e.Delay = 60 * time.Millisecond
	}
	for _, tt := range []struct {
		name   string
		change func(*standin.Document)
	}{
		{"other routes", func(d *standin.Document) {
			for _, r := range d.Routes {
				r["timeout-ms"], r["target-latency-ms"], r["attempts"], r["priority"] = 200, 10, 1, 3
				r["service"], r["type"], r["resumable"] = "app", "safe", false
			}
		}},
		{"no routes and no pools", func(d *standin.Document) { d.Routes, d.Services = nil, nil }},
		{"the key is revoked", (*standin.Document).RevokeSampleKey},
		{"lower limits", func(d *standin.Document) {
			d.Limits = map[string]any{"max-body-bytes": 1, "idle-timeout-ms": 50, "header-timeout-ms": 50, "max-header-bytes": 1}
			for _, service := range d.Services {
				service["max-connections"] = 1
			}
			d.Services[0]["engine"] = map[string]any{"slots": 1, "kv-cache-tokens": 10}
		}},
	} {
		check := s.startSilent(silence)
		s.changeConfig(tt.change)
		check(tt.name)
		s.changeConfig(func(*standin.Document) {})
	}

	check := s.startSilent(silence)
	for _, d := range s.daemons {
		changed := *d.g.conf()
		bounds := *changed.Gateway
		bounds.Grace, bounds.RevokeAfter = table.Duration(time.Millisecond), table.Duration(time.Millisecond)
		bounds.Retry = settings.Retry{}
		changed.Gateway, changed.Peers = &bounds, nil
		d.g.Reload(&changed, nil, nil)
	}
	check("settings reloaded")
}

// Guards against responses that end because their silent engines drain or are gone from
// the store.
func TestResponsesOutliveRegistrations(t *testing.T) {
	s := newTestSite(t, 2)
	for _, e := range s.engines {
		e.Delay = 60 * time.Millisecond
	}
	check := s.startSilent(silence)
	for id, e := range s.engines {
		s.store.Put(platform.TableEngines, id, standin.NewEntry(e.pool, e.address, true))
	}
	time.Sleep(300 * time.Millisecond)
	for id := range s.engines {
		s.store.Remove(platform.TableEngines, id)
	}
	check("engines gone")
}

// changeConfig puts a changed sample document into force at all daemons.
func (s *testSite) changeConfig(change func(*standin.Document)) {
	s.t.Helper()
	version := s.config.Version + 1
	s.config = standin.SampleDocument()
	s.config.Version = version
	change(&s.config)
	s.putConfig()
	for _, d := range s.daemons {
		s.await("the configuration is in force", func() bool { return d.g.holder.Catalog().Version == catalog.Version(version) })
	}
}
