package lease

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Keeper acquires and renews one lease. It is not safe for concurrent use, and
// neither is its holder.
type Keeper struct {
	holder *Holder
	name   string
	lease  *Lease
}

// NewKeeper returns a keeper for the lease with the given name.
func NewKeeper(h *Holder, name string) *Keeper { return &Keeper{holder: h, name: name} }

// Hold acquires the lease, or renews it if that is due, and reports whether it
// remains valid for longer than margin.
func (k *Keeper) Hold(ctx context.Context, margin time.Duration) bool {
	switch {
	case !k.holder.Valid(k.lease, 0):
		k.lease = nil
		if l, err := k.holder.Acquire(ctx, k.name); err == nil {
			k.lease = l
		}
	case k.holder.needsRenewal(k.lease):
		if err := k.holder.Renew(ctx, k.lease); errors.Is(err, ErrHeld) {
			k.lease = nil
		}
	}
	return k.Valid(margin)
}

// Valid reports whether the lease remains valid for longer than margin, without
// a call to the platform.
func (k *Keeper) Valid(margin time.Duration) bool { return k.holder.Valid(k.lease, margin) }

// Lease returns the current lease, or nil if there is none.
func (k *Keeper) Lease() *Lease { return k.lease }

// Forget discards a lease that is known to be lost.
func (k *Keeper) Forget() { k.lease = nil }

// GiveUp releases the lease if it is held.
func (k *Keeper) GiveUp(ctx context.Context) {
	if k.holder.Valid(k.lease, 0) {
		// On failure the lease expires by itself.
		_ = k.holder.GiveUp(ctx, k.lease)
	}
	k.lease = nil
}
