package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// loadInterval is the interval at which the load of the engines is polled.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 400 * time.Millisecond
)

// LoadFunc queries the load of an engine. It returns engine.ErrNoLoad if the
// engine responded but does not report its load.
type LoadFunc func(ctx context.Context, e *table.Endpoint) (engine.Load, error)

// loadReport is the result of polling one engine.
type loadReport struct {
	cell     ID
	endpoint table.EndpointName
	load     engine.Load
	err      error
}

// Poll polls the load of the engines of the coordinated cells until ctx is
// done.
func (c *Coordinator) Poll(ctx context.Context, load LoadFunc) {
	ticker := c.clock.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.observe(pollAll(ctx, c.engines(), load))
		}
	}
}

// engines returns the engines of the coordinated cells. It returns none for the
// baseline disciplines, which do not use the load.
func (c *Coordinator) engines() map[ID][]*table.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := map[ID][]*table.Endpoint{}
	if c.discipline != schedule.ByTier {
		return engines
	}
	for id := range c.cells {
		for _, m := range c.plan.Members(id) {
			if m.Kind == table.KindEngine {
				engines[id] = append(engines[id], &m.Endpoint)
			}
		}
	}
	return engines
}

// pollAll polls all engines concurrently, so that one that does not respond
// does not delay the others.
func pollAll(ctx context.Context, engines map[ID][]*table.Endpoint, load LoadFunc) []loadReport {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var mu sync.Mutex
	var reports []loadReport
	var wg sync.WaitGroup
	for id, endpoints := range engines {
		for _, e := range endpoints {
			wg.Go(func() {
				l, err := load(ctx, e)
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, loadReport{cell: id, endpoint: e.Name, load: l, err: err})
			})
		}
	}
	wg.Wait()
	return reports
}

// observe passes load reports to the schedulers of the cells. Missing ones come last,
// because they count only against engines while others report.
func (c *Coordinator) observe(reports []loadReport) {
	slices.SortStableFunc(reports, func(a, b loadReport) int {
		switch {
		case a.err == nil && b.err != nil:
			return -1
		case a.err != nil && b.err == nil:
			return 1
		}
		return 0
	})
	c.mu.Lock()
	for _, r := range reports {
		cell := c.cells[r.cell]
		if cell == nil {
			continue
		}
		name := schedule.Endpoint(r.endpoint)
		switch {
		case r.err == nil:
			cell.ObserveLoad(name, schedule.Load{Running: r.load.Running, Waiting: r.load.Waiting})
		case !errors.Is(r.err, engine.ErrNoLoad):
			cell.LoadFailed(name)
		}
		c.dirty[r.cell] = true
	}
	out := c.step()
	c.mu.Unlock()
	out.flush()
}
