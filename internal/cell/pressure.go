package cell

import (
	"math"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/schedule"
)

const (
	// pressureInterval is the interval at which a coordinator checks whether to
	// publish the pressure of its cells.
	pressureInterval = 500 * time.Millisecond
	// pressureRefresh is the interval at which an unchanged pressure is published
	// again. Entry daemons forget it after twice that time.
	pressureRefresh = 1500 * time.Millisecond
	// pressureStep is the change of a pressure, in thousandths of the slots, from
	// which on it is published. An entry daemon takes an unknown pressure for zero.
	pressureStep = 25
)

// publishedPressure is the pressure of a cell as last published.
type publishedPressure struct {
	at    time.Time
	tiers []*peerv1.TierPressure
}

// publishPressure adds the pressure of the cells to the responses to all entry
// daemons. It leaves out cells that are the only one of their pool, because there is
// no other cell to choose, and those whose pressure the entry daemons know: in a
// large fleet, each of them has a session with each coordinator.
func (c *Coordinator) publishPressure(out outbox) {
	now := c.clock.Now()
	if now.Sub(c.pressureCheckedAt) < pressureInterval {
		return
	}
	c.pressureCheckedAt = now
	var pressures []*peerv1.Pressure
	for id, cell := range c.cells {
		members := c.plan.Members(id)
		if len(members) == 0 || len(c.plan.Cells(members[0].Pool)) < 2 {
			continue
		}
		p := pressure(id, cell.Cell)
		if !c.published[id].covers(p.GetTiers(), now) {
			c.published[id] = publishedPressure{now, p.GetTiers()}
			pressures = append(pressures, p)
		}
	}
	if len(pressures) == 0 {
		return
	}
	for _, s := range c.sessions {
		// Merging of responses appends to the slice, which all sessions share:
		// without spare capacity, append copies it.
		out.response(s).Pressures = slices.Clip(pressures)
	}
}

// covers reports whether the entry daemons need no other pressure.
func (p publishedPressure) covers(tiers []*peerv1.TierPressure, now time.Time) bool {
	known := map[uint32]uint32{}
	for _, t := range p.tiers {
		known[t.GetTier()] = t.GetPermille()
	}
	for _, t := range tiers {
		was, is := known[t.GetTier()], t.GetPermille()
		if max(was, is)-min(was, is) >= pressureStep || was >= pressureStep && now.Sub(p.at) >= pressureRefresh {
			return false
		}
	}
	return true
}

func pressure(id ID, cell *schedule.Cell) *peerv1.Pressure {
	p := &peerv1.Pressure{Cell: string(id)}
	for _, t := range cell.Tiers() {
		permille := math.Round(1000 * max(0, cell.Pressure(t)))
		p.Tiers = append(p.Tiers, &peerv1.TierPressure{Tier: uint32(t), Permille: uint32(permille)})
	}
	return p
}
