package order

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/beechhead/beechhead/internal/lease"
	"github.com/beechhead/beechhead/pkg/table"
)

// WeightSlots is the number of engines that may load from the weight store at
// once. Each slot is a lease, so the limit applies across all daemons.
const WeightSlots = 4

// weightSlot is the weight store slot of a group. A group has at most one slot,
// so it loads one engine at a time.
type weightSlot struct {
	holder *lease.Holder
	// renewer holds the lease of the slot; nil without a slot.
	renewer *lease.Renewer
	// engineURL is the engine that the slot is held for.
	engineURL string
}

func newWeightSlot(h *lease.Holder) *weightSlot { return &weightSlot{holder: h} }

// acquire reports whether an engine may load, and takes a slot if the group has
// none. It tries the slots in random order, so that waiting groups do not all
// request the same one.
func (w *weightSlot) acquire(ctx context.Context, e *table.Endpoint) bool {
	if w.renewer != nil && w.renewer.EnsureHeld(ctx, 0) {
		return w.engineURL == e.URL
	}
	for _, n := range rand.Perm(WeightSlots) {
		k := lease.NewRenewer(w.holder, fmt.Sprintf("weights/%d", n))
		if k.EnsureHeld(ctx, 0) {
			w.renewer = k
			w.engineURL = e.URL
			return true
		}
	}
	return false
}

// releaseFor releases the slot if it is held for this engine.
func (w *weightSlot) releaseFor(ctx context.Context, e *table.Endpoint) {
	if w.engineURL == e.URL {
		w.release(ctx)
	}
}

func (w *weightSlot) release(ctx context.Context) {
	if w.renewer != nil {
		w.renewer.Release(ctx)
	}
	w.renewer = nil
	w.engineURL = ""
}
