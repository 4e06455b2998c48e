package daemon

import (
	"slices"
	"testing"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/pkg/table"
)

func listed(id string, state platform.HostState) platform.Host {
	return platform.Host{ID: id, IP: "10.0.0." + id, State: state}
}

// The platform's list lags, so a host that has just restarted is still shown as
// leaving because its earlier incarnation was. Only the change from live to
// leaving may start a drain; otherwise the host would leave as soon as it has
// started.
func TestOnlyChangeToLeavingStartsDrain(t *testing.T) {
	var l hostList
	for _, c := range []struct {
		state   platform.HostState
		leaving int
	}{
		{platform.HostLeaving, 0}, {platform.HostLive, 0}, {platform.HostLive, 0}, {platform.HostLeaving, 1}, {platform.HostLeaving, 0},
	} {
		if got := l.update([]platform.Host{listed("1", c.state)}); len(got) != c.leaving {
			t.Errorf("state %s: %d hosts change to leaving, want %d", c.state, len(got), c.leaving)
		}
	}
}

// The host of an endpoint is about to be removed. Although the endpoint still
// responds, it must get no new requests, so that none is cut off.
func TestEndpointsOnLeavingHostsDrain(t *testing.T) {
	var l hostList
	l.update([]platform.Host{listed("1", platform.HostLeaving), listed("2", platform.HostLive)})
	got := l.drainingEndpoints(&table.Table{Endpoints: []table.Endpoint{
		{Name: "a", URL: "http://10.0.0.1:8000"}, {Name: "b", URL: "http://10.0.0.2:8000"}, {Name: "c", URL: "http://10.0.0.10:8000"},
	}})
	if !slices.Equal(got, []table.EndpointName{"a"}) {
		t.Errorf("got %v", got)
	}
}
