package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against a promise that no log line has, because too many requests are refused in
// the same second or because the request was never sent.
func TestEachPromiseIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults standin.EngineFaults
		header map[string]string
		target string
		// end follows the id: the number of endpoints that have received the request, if any.
		end string
	}{
		{"refused by endpoints", standin.EngineFaults{Refuse: true}, nil, "/pay/x", "/"},
		{"never sent", standin.EngineFaults{}, map[string]string{platform.HeaderAPIKey: "other"}, "/pay/x", `"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var log logBuffer
			s := newLoggedTestSite(t, 1, &log, nil)
			s.setFaults(tt.faults)
			var mu sync.Mutex
			var ids []string
			var wg sync.WaitGroup
			for range 20 {
				wg.Go(func() {
					for range 10 {
						a := s.call(s.daemons[0], http.MethodPost, tt.target, tt.header, "money")
						mu.Lock()
						ids = append(ids, a.id)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			s.daemons[0].g.promises.Flush()
			text := strings.Join(log.lines("refused as not run"), "")
			for _, id := range ids {
				if !strings.Contains(text, `"`+id+tt.end) {
					t.Errorf("no line has %q", id+tt.end)
				}
			}
		})
	}
}

// Guards against a request that must not be repeated and arrives twice under one id: it runs
// twice, or runs after its caller was told that it never will.
func TestRequestsThatArriveTwiceRunOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// first are the faults while the request arrives for the first time, status what
		// its caller gets then, again what it gets the second time; 0 while the first
		// one is in progress.
		first  standin.EngineFaults
		status int
		again  int
		runs   int
	}{
		{"served", standin.EngineFaults{}, http.StatusOK, http.StatusBadGateway, 1},
		{"in progress", standin.EngineFaults{Hang: true}, 0, http.StatusBadGateway, 1},
		{"failed", standin.EngineFaults{Reset: true}, http.StatusBadGateway, http.StatusBadGateway, 1},
		{"refused", standin.EngineFaults{Refuse: true}, http.StatusServiceUnavailable, http.StatusServiceUnavailable, 0},
	} {
		for _, route := range []string{"pay", "draft"} {
			t.Run(tt.name+"/"+route, func(t *testing.T) {
				s := newTestSite(t, 1)
				s.setFaults(tt.first)
				header := map[string]string{platform.HeaderRequestID: "twice", platform.HeaderDeadline: "1000"}
				if route == "draft" {
					header[platform.HeaderParts] = "aa:80,cc:100"
				}
				first := make(chan response, 1)
				go func() { first <- s.call(s.daemons[0], http.MethodPost, "/"+route+"/x", header, "money") }()
				if tt.status == 0 {
					s.await("the request runs", func() bool { return len(s.runs("twice")) > 0 })
				} else if a := <-first; a.status != tt.status {
					t.Fatalf("status %d, want %d", a.status, tt.status)
				}
				s.setFaults(standin.EngineFaults{})
				if a := s.call(s.daemons[0], http.MethodPost, "/"+route+"/x", header, "money"); a.status != tt.again {
					t.Errorf("the second time: status %d, want %d", a.status, tt.again)
				}
				if runs := len(s.runs("twice")); runs != tt.runs {
					t.Errorf("%d runs, want %d", runs, tt.runs)
				}
				if a := s.call(s.daemons[0], http.MethodPost, "/"+route+"/x", header, "other money"); a.status != http.StatusOK {
					t.Errorf("another request with the id: status %d, want 200", a.status)
				}
			})
		}
	}
}
