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

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
)

const leasesTable = "leases"

// Terms are the durations of a lease.
type Terms struct {
	// Duration is how long a lease is valid, counted from before the request
	// for it was sent.
	Duration time.Duration
	// RenewAfter is the age at which a lease is renewed.
	RenewAfter time.Duration
	// ReturnAfter is how long a holder that has lost a lease to another one
	// does not acquire it again.
	ReturnAfter time.Duration
}

// DefaultTerms let three renewals fail before a lease expires.
var DefaultTerms = Terms{Duration: 15 * time.Second, RenewAfter: 4 * time.Second}

// Errors of Acquire and Renew.
var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("another holder has the lease")
	// ErrConflict means that the lease is still held but was not renewed,
	// because one of the other rows has changed.
	ErrConflict = errors.New("a row to be written with the lease has changed")
)

// record is the value of a lease's row. Rows are never deleted, because fencing
// numbers are derived from row versions, which must keep increasing.
type record struct {
	Holder string `json:"holder"`
	// Write is a random id of the write.
	Write string `json:"write"`
	// Fence is the fencing number of the last takeover.
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
	// was sent, on the holder's clock.
	AcquiredAt time.Duration

	name string
	// row is the last known version of the row.
	row rowVersion
	// requestedAt is the time just before the last successful write was sent.
	// The expiry is counted from there, so the lease expires here before any
	// other holder may consider it expired.
	requestedAt time.Duration
	released    bool
}

// rowVersion identifies a write of a row. Versions are used again after the
// store has been restored from a copy, but then the era differs.
type rowVersion struct {
	era     platform.Era
	version uint64
}

// eraShift leaves 44 bits of a fencing number for the version.
const eraShift = 44

// nextFence returns a fencing number that is larger than those derived from
// earlier versions of the row or from earlier eras.
func (v rowVersion) nextFence() uint64 { return uint64(v.era)<<eraShift | (v.version + 1) }

func versionOf(row platform.Row) rowVersion { return rowVersion{row.Era, row.Version} }

// Holder acquires leases for one incarnation of a daemon. It is not safe for
// concurrent use.
type Holder struct {
	// Boot measures the duration of leases. It must not stop while the machine
	// is suspended where that can happen.
	Boot  boottime.Clock
	Terms Terms

	client  *platform.Client
	metrics *metric.Registry
	// id is unique to the holder.
	id string
	// observed has, by name, when the current version of another holder's lease
	// was first seen.
	observed map[string]observation
	// lost has, by name, when this holder was found to have lost a lease, and
	// the version up to which nobody else had held it.
	lost map[string]observation
}

type observation struct {
	row rowVersion
	at  time.Duration
}

// NewHolder returns a holder with a random id and the default terms.
func NewHolder(clock clockwork.Clock, client *platform.Client, metrics *metric.Registry) *Holder {
	return &Holder{
		Boot:     boottime.FromClock(clock),
		Terms:    DefaultTerms,
		client:   client,
		metrics:  metrics,
		id:       rand.Text(),
		observed: map[string]observation{},
		lost:     map[string]observation{},
	}
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
	l = &Lease{Fence: versionOf(row).nextFence(), AcquiredAt: h.Boot.Now(), name: name, row: versionOf(row)}
	if err := h.writeRow(ctx, l, h.Terms.Duration); err != nil {
		return nil, errors.Wrapf(err, "acquire lease %s", name)
	}
	delete(h.observed, name)
	delete(h.lost, name)
	h.count(name, "taken")
	return l, nil
}

// checkAvailable returns ErrHeld if the row is a lease that another holder may
// still use, or if another one has held it since this holder lost it and
// ReturnAfter has not passed.
func (h *Holder) checkAvailable(name string, row platform.Row) error {
	now := h.Boot.Now()
	if lost, ok := h.lost[name]; ok && lost.row != versionOf(row) && now-lost.at < h.Terms.ReturnAfter {
		return ErrHeld
	}
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
	last, ok := h.observed[name]
	if !ok || last.row != versionOf(row) {
		last = observation{row: versionOf(row), at: now}
		h.observed[name] = last
	}
	if r.DurationMs > 0 && now-last.at <= time.Duration(r.DurationMs)*time.Millisecond {
		return ErrHeld
	}
	return nil
}

// Renew extends a lease and writes other rows in the same transaction. ErrHeld
// means that the lease is lost; after any other error it stays valid until it
// expires and the renewal can be retried. After an error other than ErrHeld and
// ErrConflict the rows may have been written or may be written later.
func (h *Holder) Renew(ctx context.Context, l *Lease, others ...platform.Write) error {
	if err := h.writeRow(ctx, l, h.Terms.Duration, others...); err != nil {
		return errors.Wrapf(err, "renew lease %s", l.name)
	}
	return nil
}

// Release releases a lease, so that another holder need not wait until it
// expires.
func (h *Holder) Release(ctx context.Context, l *Lease) (err error) {
	err = h.writeRow(ctx, l, 0)
	l.released = true
	if err != nil {
		return errors.Wrapf(err, "release lease %s", l.name)
	}
	return nil
}

// writeRow writes the lease's row, and others, if it still has the lease's
// version. If the row is from an earlier write of this holder whose reply was
// never received, the write is repeated over the new version instead of treated
// as successful: the duration of the earlier write was counted from an earlier
// time.
func (h *Holder) writeRow(ctx context.Context, l *Lease, d time.Duration, others ...platform.Write) error {
	const maxAttempts = 2
	for range maxAttempts {
		requestedAt := h.Boot.Now()
		value := record{Holder: h.id, Write: rand.Text(), Fence: l.Fence, DurationMs: d.Milliseconds()}
		row, applied, err := h.client.Settle(ctx, platform.Write{Key: rowKey(l.name), Expect: l.row.version, Value: encode(value)},
			func(row platform.Row) bool { return decode(row).Write == value.Write }, others...)
		if err != nil {
			return err
		}
		if row.Era != l.row.era {
			// The store was restored from a copy, so the write may have replaced
			// another holder's. Under a new id, this holder waits like others.
			h.id = rand.Text()
			break
		}
		if applied {
			l.row = versionOf(row)
			l.requestedAt = requestedAt
			return nil
		}
		current := decode(row)
		if len(others) > 0 && row.Version == l.row.version {
			return ErrConflict
		}
		if current.Holder != h.id || current.Fence != l.Fence {
			break
		}
		l.row = versionOf(row)
	}
	h.count(l.name, "lost")
	return ErrHeld
}

// Valid reports whether the lease remains valid for longer than margin.
func (h *Holder) Valid(l *Lease, margin time.Duration) bool {
	return l != nil && !l.released && l.requestedAt > 0 && h.Boot.Now()+margin < h.expiry(l)
}

// expiry returns when the lease ends on the holder's clock.
func (h *Holder) expiry(l *Lease) time.Duration { return l.requestedAt + h.Terms.Duration }

// needsRenewal reports whether the lease is due for renewal.
func (h *Holder) needsRenewal(l *Lease) bool { return h.Boot.Now()-l.requestedAt >= h.Terms.RenewAfter }

// forget records that the holder no longer uses a lease.
func (h *Holder) forget(l *Lease) {
	if l != nil {
		h.lost[l.name] = observation{row: l.row, at: h.Boot.Now()}
	}
}

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
