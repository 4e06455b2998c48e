package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/load/experiment"
	"github.com/beechhead/beechhead/internal/standin"
)

// breaker brings about the faults of one run.
type breaker struct {
	site *site

	mu sync.Mutex
	// engines holds the faults in force of each engine, by number.
	engines map[int]standin.EngineFaults
}

// breakThings brings about every fault at its time.
func (r *runner) breakThings(ctx context.Context, s *site, start time.Time) {
	b := &breaker{site: s, engines: map[int]standin.EngineFaults{}}
	for i := range r.experiment.Faults {
		f := &r.experiment.Faults[i]
		go func() {
			if !sleepUntil(ctx, start.Add(f.At.Std())) {
				return
			}
			b.begin(ctx, f)
			if f.For == 0 || !sleepUntil(ctx, start.Add(f.At.Std()+f.For.Std())) {
				return
			}
			b.end(f)
		}()
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *breaker) begin(ctx context.Context, f *experiment.Fault) {
	switch f.Kind {
	case experiment.EngineSlow, experiment.EngineCrash, experiment.EngineSilent, experiment.EngineRefuse, experiment.StaleLoad:
		b.changeEngines(f, true)
	case experiment.DaemonKill:
		for _, i := range f.Targets {
			b.site.KillDaemon(i)
		}
	case experiment.DaemonStart:
		for _, i := range f.Targets {
			b.site.StartDaemon(i)
		}
	case experiment.DaemonDrain:
		for _, i := range f.Targets {
			b.site.DrainDaemon(i)
		}
	case experiment.RollingReplacement:
		b.replaceAll(ctx)
	case experiment.PlatformDown:
		b.site.Platform.SetFaults(standin.PlatformFaults{Down: true})
	case experiment.PlatformSlow:
		b.site.Platform.SetFaults(standin.PlatformFaults{DelayMs: int(f.Delay.Std().Milliseconds())})
	}
}

func (b *breaker) end(f *experiment.Fault) {
	switch f.Kind {
	case experiment.PlatformDown, experiment.PlatformSlow:
		b.site.Platform.SetFaults(standin.PlatformFaults{})
	default:
		b.changeEngines(f, false)
	}
}

// changeEngines switches one kind of fault and leaves the others in force.
func (b *breaker) changeEngines(f *experiment.Fault, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range f.Targets {
		faults := b.engines[i]
		switch f.Kind {
		case experiment.EngineSlow:
			faults.Slow = 0
			if on {
				faults.Slow = f.Factor
			}
		case experiment.EngineCrash:
			faults.Down = on
		case experiment.EngineSilent:
			faults.Silent = on
		case experiment.EngineRefuse:
			faults.Refuse = on
		case experiment.StaleLoad:
			faults.FreezeLoad = on
		default:
			return
		}
		b.engines[i] = faults
		b.site.Engines[i].SetFaults(faults)
	}
}

// replaceAll drains each daemon and starts it anew once it has ended, one
// after another.
func (b *breaker) replaceAll(ctx context.Context) {
	for i := range b.site.Settings {
		select {
		case <-b.site.DrainDaemon(i):
		case <-ctx.Done():
			return
		}
		b.site.StartDaemon(i)
		for !standin.IsReady(http.DefaultClient, "http://"+b.site.Settings[i].OperatorAddress) {
			if !sleepUntil(ctx, time.Now().Add(readyPoll)) {
				return
			}
		}
	}
}
