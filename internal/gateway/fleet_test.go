package gateway

import (
	"context"
	"runtime"
	"testing"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

const (
	smallFleet = 60
	largeFleet = 400
	// noiseBytes is the allowance, per measured call, for allocations by the
	// runtime itself.
	noiseBytes = 64
)

// allocated returns the average number of bytes that a call of f allocates.
func allocated(f func()) uint64 {
	const calls = 200
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / calls
}

// Guards against costs that grow with the number of hosts while nothing
// changes: timers, beacons and requests must not copy the list of all hosts.
func TestCostsDoNotGrowWithFleetSize(t *testing.T) {
	work := map[string]func(g *Gateway){
		"idle tick":       func(g *Gateway) { g.tickOnce(context.Background()) },
		"reader duty":     func(g *Gateway) { g.sync.ShouldRead() },
		"beacon":          func(g *Gateway) { g.sync.OnBeacon(g.sync.Beacon()) },
		"addresses":       func(g *Gateway) { g.addresses("z0", "10.9.0.1:1") },
		"retry budget":    func(g *Gateway) { g.retryBudget("llm") },
		"heartbeat":       func(g *Gateway) { g.heartbeats.HandleHeartbeat(fleetHeartbeat()) },
		"usable":          func(g *Gateway) { g.holder.Endpoint("i-000001") },
		"readiness check": func(g *Gateway) { g.acceptsCallers() },
	}
	small, large := fleetDaemon(t, smallFleet, smallFleet), fleetDaemon(t, largeFleet, largeFleet)
	for name, do := range work {
		few := allocated(func() { do(small) })
		many := allocated(func() { do(large) })
		if many > few+few/10+noiseBytes {
			t.Errorf("%s: %d bytes per call with %d hosts and endpoints, %d with %d", name, few, smallFleet, many, largeFleet)
		}
	}
}

// maxEndpointChangeBytes is how many bytes a change of one endpoint may allocate,
// whatever the number of endpoints.
const maxEndpointChangeBytes = 4 << 10

// Guards against rebuilding the table, the cells or the lists of all endpoints
// whenever one endpoint changes.
func TestEndpointChangeDoesNotTouchAllEndpoints(t *testing.T) {
	g := fleetDaemon(t, smallFleet, 10000)
	i := 0
	if n := allocated(func() { i++; g.changeEndpoint(i) }); n > maxEndpointChangeBytes {
		t.Errorf("a change of one endpoint of 10,000 takes %d bytes, want at most %d", n, maxEndpointChangeBytes)
	}
	i = 0
	position := uint64(fleetPosition)
	if n := allocated(func() {
		i++
		g.changeEndpoint(1000 + i)
		g.sync.Answer(&peerv1.FactsRequest{ConfigVersion: 1, Position: position + uint64(999+i)})
	}); n > 2*maxEndpointChangeBytes {
		t.Errorf("telling a daemon of one changed endpoint of 10,000 takes %d bytes", n)
	}
}

// Guards against sorting all hosts for each cell whenever one host changes.
func TestHostChangeCostsGrowWithHostsOnly(t *testing.T) {
	cost := func(hosts int) float64 {
		g := fleetDaemon(t, hosts, 20*hosts)
		i := 0
		return float64(allocated(func() { i++; g.changeHost(i) })) / float64(hosts)
	}
	few, many := cost(50), cost(400)
	if many > few {
		t.Errorf("a changed host takes %.0f bytes for each of 400 hosts, %.0f for each of 50", many, few)
	}
}
