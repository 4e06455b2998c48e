package gateway

import (
	"context"
	"runtime"
	"testing"
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
