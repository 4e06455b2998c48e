package lease

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Renewer acquires and renews one lease. It is not safe for concurrent use, and
// neither is its holder.
type Renewer struct {
	holder *Holder
	name   string
	lease  *Lease
}

// NewRenewer returns a renewer for the lease with the given name.
func NewRenewer(h *Holder, name string) *Renewer { return &Renewer{holder: h, name: name} }

// EnsureHeld acquires the lease, or renews it if that is due, and reports
// whether it remains valid for longer than margin.
func (k *Renewer) EnsureHeld(ctx context.Context, margin time.Duration) bool {
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
func (k *Renewer) Valid(margin time.Duration) bool { return k.holder.Valid(k.lease, margin) }

// Lease returns the current lease, or nil if there is none.
func (k *Renewer) Lease() *Lease { return k.lease }

// Forget discards a lease that is known to be lost.
func (k *Renewer) Forget() { k.lease = nil }

// Release releases the lease if it is held.
func (k *Renewer) Release(ctx context.Context) {
	if k.holder.Valid(k.lease, 0) {
		// On failure the lease expires by itself.
		_ = k.holder.Release(ctx, k.lease)
	}
	k.lease = nil
}
