package daemon

import (
	"context"
	"time"
)

const tickInterval = 100 * time.Millisecond

// tick performs the periodic work that depends on time only.
func (d *Daemon) tick(ctx context.Context) {
	ticker := d.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		d.cells.RecordTick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			if d.cells.RefreshAfterPause(ctx) {
				d.logger.Warn("this daemon was paused")
			}
			d.view.Sweep()
			d.limitOwner.Update(d.view.Hosts(), d.hostList.liveDaemons())
			d.coordinator.SetStarting(d.view.StartingCount())
			d.coordinator.Tick(d.view.Ready(), d.placer.Suspects())
			d.cells.DropOrphans()
			d.placer.Tick()
			d.platform.DivideBudgets(d.hostList.liveDaemons())
		}
	}
}
