package claim_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/internal/standin"
)

// BenchmarkClaim measures claiming a key and storing its response over
// loopback.
func BenchmarkClaim(b *testing.B) {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := platform.NewClient(server.URL, &http.Transport{MaxIdleConnsPerHost: 64}, time.Second)
	s := claim.NewStore(clockwork.NewRealClock(), client, claim.Holder{Host: "a"}, metric.NewRegistry())
	response := &service.Response{Status: http.StatusOK, Body: make([]byte, 1024)}
	for i := 0; b.Loop(); i++ {
		c, err := s.Begin(b.Context(), claim.Scope{Account: "studio", Service: "booking", Key: fmt.Sprint(i)}, nil)
		if err != nil {
			b.Fatal(err)
		}
		s.Finish(b.Context(), c, claim.Done, response)
	}
	_, writes := p.Counts()
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
}
