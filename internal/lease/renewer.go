package lease

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
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
		k.Forget()
		if l, err := k.holder.Acquire(ctx, k.name); err == nil {
			k.lease = l
		}
	case k.holder.needsRenewal(k.lease):
		_ = k.Renew(ctx)
	}
	return k.Valid(margin)
}

// Renew renews a lease that is held, even if that is not due, and writes other
// rows in the same transaction; see Holder.Renew.
func (k *Renewer) Renew(ctx context.Context, others ...platform.Write) error {
	if !k.holder.Valid(k.lease, 0) {
		k.Forget()
		return ErrHeld
	}
	err := k.holder.Renew(ctx, k.lease, others...)
	if errors.Is(err, ErrHeld) {
		k.Forget()
	}
	return err
}

// Valid reports whether the lease remains valid for longer than margin, without
// a call to the platform.
func (k *Renewer) Valid(margin time.Duration) bool { return k.holder.Valid(k.lease, margin) }

// Expiry returns when the lease ends on the holder's clock; zero if it is not
// held.
func (k *Renewer) Expiry() time.Duration {
	if !k.Valid(0) {
		return 0
	}
	return k.holder.expiry(k.lease)
}

// HeldFor returns how long ago the current lease was acquired.
func (k *Renewer) HeldFor() time.Duration { return k.holder.Boot.Now() - k.lease.AcquiredAt }

// Lease returns the current lease, or nil if there is none.
func (k *Renewer) Lease() *Lease { return k.lease }

// Forget discards the lease, for example one that is known to be lost.
func (k *Renewer) Forget() {
	k.holder.forget(k.lease)
	k.lease = nil
}

// Release releases the lease if it is held.
func (k *Renewer) Release(ctx context.Context) {
	if k.holder.Valid(k.lease, 0) {
		// On failure the lease expires by itself.
		_ = k.holder.Release(ctx, k.lease)
	}
	k.lease = nil
}
