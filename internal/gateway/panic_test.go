package gateway

import (
	"net/http"
	"testing"

	"github.com/beechhead/beechhead/internal/forward"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against a panic in a request's handler closing the connection without an answer,
// uncounted.
func TestPanicInHandlerIsAnswered(t *testing.T) {
	s := newTestSite(t, 1)
	d := s.daemons[0]
	budget := d.g.forwarder.Budget
	d.g.forwarder.Budget = func(table.Pool) forward.Budget { panic("planted") }
	if a := s.call(d, http.MethodPost, "/pay/x", nil, "p"); a.err != nil || a.status != http.StatusBadGateway {
		t.Errorf("status %d, %v, want 502", a.status, a.err)
	}
	if n := d.g.metrics.Count("panics"); n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	d.g.forwarder.Budget = budget
	if a := s.call(d, http.MethodPost, "/pay/x", nil, "p"); a.err != nil || a.status != http.StatusOK {
		t.Errorf("the next request: status %d, %v", a.status, a.err)
	}
}
