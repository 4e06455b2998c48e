package cell

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/bubbleclock"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// An engine crashes while no requests are sent to it. Load polling must detect
// this within two seconds. An engine that does not respond must not delay the
// polling of the others, and one that responds without a load report must not
// be ejected.
func TestPollFindsCrashedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tbl := &table.Table{Classes: []table.Class{{Name: "slots", Weight: 1, Pools: []table.Pool{"model"}}}}
		for _, name := range []table.EndpointName{"crashed", "silent", "reportless", "well"} {
			tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: name, Kind: table.KindEngine, Pool: "model", Region: "r", Concurrency: 4})
		}
		c := NewCoordinator(bubbleclock.New(), "host", DefaultSize, settings.PolicyCells)
		c.Configure(tbl)
		c.Tick(membership.NewSnapshot([]membership.Host{{ID: "host", Incarnation: 1, State: membership.Ready, Region: "r"}}), nil)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c.Poll(ctx, func(ctx context.Context, e *table.Endpoint) (engine.Load, error) {
			switch e.Name {
			case "crashed":
				return engine.Load{}, errors.New("connection refused")
			case "silent":
				<-ctx.Done()
				return engine.Load{}, ctx.Err()
			case "reportless":
				return engine.Load{}, engine.ErrNoLoad
			}
			return engine.Load{Running: 2}, nil
		})
		got := map[schedule.Endpoint]schedule.EjectReason{}
		for _, e := range c.Status().Cells[0].Endpoints {
			got[e.Endpoint] = e.Ejected
			if e.Endpoint == "well" && e.Foreign != 2 {
				t.Errorf("engine \"well\" has %d requests of other senders, want 2", e.Foreign)
			}
		}
		for name, want := range map[schedule.Endpoint]schedule.EjectReason{
			"crashed": schedule.EjectedFailed, "silent": schedule.EjectedFailed, "reportless": "", "well": "",
		} {
			if got[name] != want {
				t.Errorf("engine %s: eject reason %q, want %q", name, got[name], want)
			}
		}
	})
}

// Guards against taking engines that crash together for a silence of all engines, because
// their missing load reports are looked at before the reports of the others.
func TestPollFindsEnginesThatCrashTogether(t *testing.T) {
	tbl := &table.Table{Classes: []table.Class{{Name: "slots", Weight: 1, Pools: []table.Pool{"model"}}}}
	names := []table.EndpointName{"crashed-1", "crashed-2", "crashed-3", "well-1", "well-2", "well-3"}
	for _, name := range names {
		tbl.Endpoints = append(tbl.Endpoints, table.Endpoint{Name: name, Kind: table.KindEngine, Pool: "model", Region: "r", Concurrency: 4})
	}
	c := newTakeover()
	c.Configure(tbl)
	c.run(time.Second)
	id := c.plan.Cells("model")[0]
	for range 3 {
		var reports []loadReport
		for _, name := range names {
			r := loadReport{cell: id, endpoint: name}
			if strings.HasPrefix(string(name), "crashed") {
				r.err = errors.New("connection refused")
			}
			reports = append(reports, r)
		}
		c.observe(reports)
		c.run(loadInterval)
	}
	for _, e := range c.Status().Cells[0].Endpoints {
		if crashed := strings.HasPrefix(string(e.Endpoint), "crashed"); crashed != (e.Ejected == schedule.EjectedFailed) {
			t.Errorf("engine %s: eject reason %q", e.Endpoint, e.Ejected)
		}
	}
}
