package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/batching"
	"github.com/beechhead/beechhead/internal/cell"
)

// metricsLogInterval is the interval at which the counters are logged.
const metricsLogInterval = 10 * time.Second

// logMetrics periodically logs the counters that have changed since the last
// time, so that the log alone shows how much happened between the lines about
// single requests.
func (g *Gateway) logMetrics(ctx context.Context) {
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(metricsLogInterval):
		}
		g.updateGauges()
		now := g.metrics.Counters()
		var changed []slog.Attr
		for _, name := range slices.Sorted(maps.Keys(now)) {
			if now[name] != last[name] {
				changed = append(changed, slog.Int64(name, now[name]))
			}
		}
		last = now
		g.logger.LogAttrs(ctx, slog.LevelInfo, "figures", changed...)
	}
}

// updateGauges sets the gauges to the daemon's current state.
func (g *Gateway) updateGauges() {
	s := g.holder.Summary()
	g.metrics.Set("config.version", int64(s.Config))
	g.metrics.Set("config.ageMs", g.configAgeMs())
	if age, ok := g.holder.EndpointsAge(); ok {
		g.metrics.Set("endpoints.ageMs", age.Milliseconds())
	}
	g.metrics.Set("hosts.ready", int64(g.view.Ready().Len()))
	g.metrics.Set("hosts.known", int64(g.view.Hosts().Len()))
	coordinated := g.coordinator.Status()
	cells := coordinated.Cells
	g.metrics.Set("cells.coordinated", int64(len(cells)))
	g.metrics.Set("endpoints.limited", limitedEndpoints(cells))
	g.setHealthGauges(cells)
	g.setCompletionGauges(cells)
	g.setCrossingGauges(cells)
	g.setReturnGauges(cells)
	g.setEngineGauges(&coordinated)
	g.metrics.Set("quarantine.requests", int64(g.suspects.QuarantinedCount()))
	g.metrics.Set("quarantine.parts", int64(g.parts.QuarantinedCount()))
	g.metrics.Set("tunnels.open", int64(g.tunnels.Open()))
	g.metrics.Set("endpoints.cutOff", boolGauge(g.dialer.IsCutOff()))
	g.metrics.Set("requests.inProgress", g.inProgress.Load())
	g.setCallerGauges()
	g.setRoomGauges()
	g.setBacklogGauges()
	g.metrics.Set("connections.opened", g.forwarder.Pool.Opened.Load())
	g.metrics.Set("log.requestsLeftOut", g.sampler.LeftOut())
	if g.LogDropped != nil {
		g.metrics.Set("log.linesDropped", g.LogDropped())
	}
}

// setCompletionGauges sets the gauges of requests that were refused because they would
// have ended too late, and of streams that are expected to do so.
func (g *Gateway) setCompletionGauges(cells []cell.StatusEntry) {
	outlasting, late := int64(0), int64(0)
	for _, one := range cells {
		for _, q := range one.Classes {
			outlasting += q.Outlasting
		}
		for _, e := range one.Endpoints {
			late += int64(e.EndingLate)
		}
	}
	g.metrics.Set("requests.outlasting", outlasting)
	g.metrics.Set("streams.endingLate", late)
}

// setHealthGauges sets the gauges of ejected endpoints and of failures that nearly all
// endpoints of a cell shared.
func (g *Gateway) setHealthGauges(cells []cell.StatusEntry) {
	ejected, shared := int64(0), int64(0)
	for _, one := range cells {
		shared += one.SharedFailures
		for _, e := range one.Endpoints {
			if e.Ejected != "" {
				ejected++
			}
		}
	}
	g.metrics.Set("endpoints.ejected", ejected)
	g.metrics.Set("endpoints.sharedFailures", shared)
}

// setCrossingGauges sets the gauges of requests that the cells sent to another
// availability zone.
func (g *Gateway) setCrossingGauges(cells []cell.StatusEntry) {
	for _, why := range batching.CrossingReasons() {
		sum := batching.Crossings{}
		for _, one := range cells {
			sum.Requests += one.Crossings[why].Requests
			sum.Bytes += one.Crossings[why].Bytes
		}
		g.metrics.Set("crossings."+string(why)+".requests", sum.Requests)
		g.metrics.Set("crossings."+string(why)+".bytes", sum.Bytes)
	}
}

// setReturnGauges sets the gauges of requests that were refused early and of callers that
// returned, in the cells that this host coordinates.
func (g *Gateway) setReturnGauges(cells []cell.StatusEntry) {
	var refused, onTime, early int64
	for _, one := range cells {
		for _, c := range one.Classes {
			refused += c.RefusedEarly
			onTime += c.ReturnedOnTime
			early += c.ReturnedEarly
		}
	}
	g.metrics.Set("cells.refusedEarly", refused)
	g.metrics.Set("cells.returnedOnTime", onTime)
	g.metrics.Set("cells.returnedEarly", early)
}

// setEngineGauges sets the gauges of engines that batch, and of what coordinators hand
// on of them.
func (g *Gateway) setEngineGauges(s *cell.Status) {
	decode, slowest := 0, 0.0
	for i := range s.Cells {
		if engines := s.Cells[i].Engines; engines != nil {
			decode += engines.DecodeEngines
			slowest = max(slowest, engines.SlowestDecode)
		}
	}
	g.metrics.Set("engines.decode", int64(decode))
	g.metrics.Set("engines.slowestDecodePermille", int64(1000*slowest))
	g.metrics.Set("estimates.sent", s.HandedEstimates.Sent)
	g.metrics.Set("estimates.adopted", s.HandedEstimates.Adopted)
	g.metrics.Set("estimates.ignored", s.HandedEstimates.Ignored)
}

// limitedEndpoints returns how many endpoints of the cells have a rate limit.
func limitedEndpoints(cells []cell.StatusEntry) (n int64) {
	for _, one := range cells {
		for _, e := range one.Endpoints {
			if e.LimitPerSecond > 0 {
				n++
			}
		}
	}
	return n
}

// configAgeMs returns the greatest possible age of the configuration; -1 means
// unknown.
func (g *Gateway) configAgeMs() int64 {
	age, ok := g.holder.ConfigAge()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// boolGauge returns 1 for true.
func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
