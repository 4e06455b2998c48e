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
