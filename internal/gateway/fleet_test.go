package gateway

import (
	"context"
	"runtime"
	"testing"
)

const (
	smallFleet = 60
	largeFleet = 400
	// noiseBytes is what the runtime itself may allocate during a measurement,
	// for each call that is measured.
	noiseBytes = 64
)

// allocated returns how many bytes a call of f allocates on average.
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

// Guards against work that grows with the fleet while nothing changes: what
// runs on a timer, for a beacon or for a request must not copy all hosts.
func TestWorkOfALargeFleet(t *testing.T) {
	work := map[string]func(g *Gateway){
		"idle tick":       func(g *Gateway) { g.tickOnce(context.Background()) },
		"duty":            func(g *Gateway) { g.sync.OnDuty() },
		"beacon":          func(g *Gateway) { g.sync.OnBeacon(g.sync.Beacon()) },
		"addresses":       func(g *Gateway) { g.addresses("z0", "10.9.0.1:1") },
		"retry budget":    func(g *Gateway) { g.budget("llm") },
		"heartbeat":       func(g *Gateway) { g.beats.Answer(fleetHeartbeat()) },
		"usable":          func(g *Gateway) { g.holder.Endpoint("i-000001") },
		"readiness check": func(g *Gateway) { g.takesCallers() },
	}
	small, large := fleetDaemon(t, smallFleet, smallFleet), fleetDaemon(t, largeFleet, largeFleet)
	for name, do := range work {
		few := allocated(func() { do(small) })
		many := allocated(func() { do(large) })
		if many > few+few/10+noiseBytes {
			t.Errorf("%s: %d bytes with %d hosts and endpoints, %d with %d", name, few, smallFleet, many, largeFleet)
		}
	}
}
