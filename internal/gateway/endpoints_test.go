package gateway

import (
	"testing"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against an address that counts as unknown because an endpoint that was
// registered there before is removed after its successor was registered.
func TestEndpointAtAddressOutlivesItsPredecessor(t *testing.T) {
	member := func(name string) *cell.Member {
		return cell.NewMember(table.Endpoint{Name: table.EndpointName(name), URL: "http://10.0.0.1:80"}, false)
	}
	for _, order := range []string{"predecessor first", "predecessor changes last"} {
		t.Run(order, func(t *testing.T) {
			p := newEndpointPlan("r", 8)
			old, next := member("engine-start1"), member("engine-start2")
			p.index(nil, old)
			p.index(nil, next)
			if order == "predecessor changes last" {
				changed := member("engine-start1")
				p.index(old, changed)
				old = changed
			}
			p.index(old, nil)
			if e := p.at("10.0.0.1:80"); e == nil || e.Name != next.Name {
				t.Errorf("at the address is %v, want %s", e, next.Name)
			}
			p.index(next, nil)
			if e := p.at("10.0.0.1:80"); e != nil || len(p.byURL) != 0 {
				t.Errorf("at the address is %v after its removal, want none", e)
			}
		})
	}
}
