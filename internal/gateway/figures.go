package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"
)

// figuresInterval is the time between two lines with the counters.
const figuresInterval = 10 * time.Second

// logFigures logs the counters that have changed since the last time, so that
// logs alone show how much happened between two lines of single decisions.
func (g *Gateway) logFigures(ctx context.Context) {
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(figuresInterval):
		}
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
