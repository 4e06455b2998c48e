// Package lease grants exclusive rights, such as the right to send orders to a
// group of endpoints. Each lease is a row in the platform's table service. See
// docs/design/leases.md.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
)

const leasesTable = "leases"

const (
	// Duration is how long a lease is valid, counted from before the request
	// for it was sent.
	Duration = 15 * time.Second
	// RenewAfter is the age at which a lease is renewed. Three renewals may
	// fail before it expires.
	RenewAfter = 4 * time.Second
)

// ErrHeld means that another holder has the lease.
var ErrHeld = errors.New("another holder has the lease")

// record is the value of a lease's row. Rows are never deleted, because fencing
// numbers are derived from row versions, which must keep increasing.
type record struct {
	Holder string `json:"holder"`
	// Write is a random id of the write.
	Write string `json:"write"`
	// Fence is the row's version at the last takeover.
	Fence uint64 `json:"fence"`
	// DurationMs is how long the holder may use the lease, or zero if the
	// holder has released it.
	DurationMs int64 `json:"durationMs"`
}

// Lease is an exclusive right that expires.
type Lease struct {
	// Fence is the fencing number. It is larger than that of any earlier holder
	// and does not change on renewal.
	Fence uint64
	// AcquiredAt is when the lease was acquired, measured before the request
	// was sent.
	AcquiredAt time.Time

	name string
	// version is the last known version of the row.
	version uint64
	// requestedAt is the time just before the last successful write was sent.
	// The expiry is counted from there on the monotonic clock, so the lease
	// expires here before any other holder may consider it expired.
	requestedAt time.Time
}

// Holder acquires leases for one incarnation of a daemon. It is not safe for
// concurrent use.
type Holder struct {
	clock   clockwork.Clock
	client  *platform.Client
	metrics *metric.Registry
	// id is unique to the holder.
	id string
	// observed has, by name, when the current version of another holder's lease
	// was first seen.
	observed map[string]observation
}

type observation struct {
	version uint64
	at      time.Time
}

// NewHolder returns a holder with a random id.
func NewHolder(clock clockwork.Clock, client *platform.Client, metrics *metric.Registry) *Holder {
	return &Holder{clock: clock, client: client, metrics: metrics, id: rand.Text(), observed: map[string]observation{}}
}

// Acquire takes the lease with the given name, or returns ErrHeld. A lease of
// another holder is taken over only after its row has been unchanged for the
// whole duration according to this daemon's own clock, so the clocks of the
// hosts need not agree. Reading a stale version from the platform is harmless,
// because the conditional write then fails.
func (h *Holder) Acquire(ctx context.Context, name string) (l *Lease, err error) {
	rows, err := h.client.Read(ctx, rowKey(name))
	if err != nil {
		return nil, errors.Wrapf(err, "acquire lease %s", name)
	}
	row := rows[0]
	if err := h.checkAvailable(name, row); err != nil {
		return nil, errors.Wrapf(err, "acquire lease %s", name)
	}
	l = &Lease{Fence: row.Version + 1, AcquiredAt: h.clock.Now(), name: name, version: row.Version}
	if err := h.writeRow(ctx, l, Duration); err != nil {
		return nil, errors.Wrapf(err, "acquire lease %s", name)
	}
	delete(h.observed, name)
	h.count(name, "taken")
	return l, nil
}

// checkAvailable returns ErrHeld if the row is a lease that another holder may
// still use.
func (h *Holder) checkAvailable(name string, row platform.Row) error {
	if row.Version == 0 {
		return nil
	}
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return err
	}
	if r.Holder == h.id {
		// The row is from an acquisition whose reply was lost, or from an
		// expired lease.
		return nil
	}
	now, last := h.clock.Now(), h.observed[name]
	if last.version != row.Version {
		last = observation{version: row.Version, at: now}
		h.observed[name] = last
	}
	if r.DurationMs > 0 && now.Sub(last.at) <= time.Duration(r.DurationMs)*time.Millisecond {
		return ErrHeld
	}
	return nil
}

// Renew extends a lease. ErrHeld means that the lease is lost; after any other
// error it stays valid until it expires and the renewal can be retried.
func (h *Holder) Renew(ctx context.Context, l *Lease) error {
	if err := h.writeRow(ctx, l, Duration); err != nil {
		return errors.Wrapf(err, "renew lease %s", l.name)
	}
	return nil
}

// Release releases a lease, so that another holder need not wait until it
// expires.
func (h *Holder) Release(ctx context.Context, l *Lease) (err error) {
	err = h.writeRow(ctx, l, 0)
	l.requestedAt = time.Time{}
	if err != nil {
		return errors.Wrapf(err, "release lease %s", l.name)
	}
	return nil
}

// writeRow writes the lease's row if it still has the lease's version. If the
// row is from an earlier write of this holder whose reply was never received,
// the write is repeated over the new version instead of treated as successful:
// the duration of the earlier write was counted from an earlier time.
func (h *Holder) writeRow(ctx context.Context, l *Lease, d time.Duration) error {
	const maxAttempts = 2
	for range maxAttempts {
		requestedAt := h.clock.Now()
		value := record{Holder: h.id, Write: rand.Text(), Fence: l.Fence, DurationMs: d.Milliseconds()}
		row, applied, err := h.client.Settle(ctx, platform.Write{Key: rowKey(l.name), Expect: l.version, Value: encode(value)},
			func(row platform.Row) bool { return decode(row).Write == value.Write })
		if err != nil {
			return err
		}
		if applied {
			l.version = row.Version
			l.requestedAt = requestedAt
			return nil
		}
		current := decode(row)
		if current.Holder != h.id || current.Fence != l.Fence {
			break
		}
		l.version = row.Version
	}
	h.count(l.name, "lost")
	return ErrHeld
}

// Valid reports whether the lease remains valid for longer than margin.
func (h *Holder) Valid(l *Lease, margin time.Duration) bool {
	return l != nil && !l.requestedAt.IsZero() && h.clock.Now().Add(margin).Before(l.requestedAt.Add(Duration))
}

// needsRenewal reports whether the lease is due for renewal.
func (h *Holder) needsRenewal(l *Lease) bool { return h.clock.Since(l.requestedAt) >= RenewAfter }

// count increments the counter of an event. The part of the name before a slash
// is the kind of lease.
func (h *Holder) count(name, event string) {
	kind, _, _ := strings.Cut(name, "/")
	h.metrics.Inc("lease." + kind + "." + event)
}

func rowKey(name string) platform.Key { return platform.Key{Table: leasesTable, Key: name} }

// encode encodes a record, which can't fail.
func encode(r record) json.RawMessage {
	data, err := json.Marshal(r)
	if err != nil {
		panic("lease: " + err.Error())
	}
	return data
}

// decode returns an empty record if the row's value is not a record.
func decode(row platform.Row) (r record) {
	if json.Unmarshal(row.Value, &r) != nil {
		return record{}
	}
	return r
}
