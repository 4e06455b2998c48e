package streamorigin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/platform"
)

const (
	// maxWrites bounds the rows of a transaction: each counts twice, since it has an
	// expected version, and the store takes 100 entries.
	maxWrites = 40
	// maxAttempts bounds the attempts to record origins.
	maxAttempts = 4
	// recordedLifetime is how long what is known to be recorded is relied on. It is far
	// below the time for which a record counts after another daemon has closed it.
	recordedLifetime = 3 * time.Minute
)

var errConflict = errors.New("other daemons change the origins of streams at the same time")

// Keeper keeps the records up to date. The daemons that read the platform's facts do so. It
// is safe for concurrent use.
type Keeper struct {
	Clock clockwork.Clock
	// Read returns all rows of the table.
	Read func(ctx context.Context) (platform.Rows, error)
	// Transact writes rows if all of them have the expected versions.
	Transact func(ctx context.Context, writes ...platform.Write) (platform.TransactResponse, error)
	// Table is the name of the table.
	Table string
	// Count increments a counter.
	Count func(name string)

	mu sync.Mutex
	// recorded holds origins that were seen in the store since readAt.
	recorded map[Origin]bool
	readAt   time.Time
	// absent holds the origins that were not present at the last Update.
	absent map[Origin]bool
	// unreadableSince holds when rows that can't be decoded were first seen, by key.
	unreadableSince map[string]time.Time
}

// Record returns once the origins are in the store. It makes no call if that is known.
func (k *Keeper) Record(ctx context.Context, origins []Origin) (err error) {
	defer func() {
		if err != nil {
			k.Count("streamOrigins.notRecorded")
			err = errors.Wrap(err, "record origins of streams")
		}
	}()
	if k.knows(origins) {
		return nil
	}
	for range maxAttempts {
		// A transaction whose reply is lost may have taken effect, and another daemon may
		// have written the same rows.
		if err = k.recordMissing(ctx, origins); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (k *Keeper) recordMissing(ctx context.Context, origins []Origin) error {
	h, err := k.read(ctx)
	if err != nil {
		return err
	}
	return k.write(ctx, h, h.missing(origins), h.opened)
}

// knows reports whether the origins are known to be in the store.
func (k *Keeper) knows(origins []Origin) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recorded == nil || k.Clock.Since(k.readAt) >= recordedLifetime {
		return false
	}
	return !slices.ContainsFunc(origins, func(o Origin) bool { return !k.recorded[o] })
}

// Forget drops what is known to be recorded, for example since the store was restored from
// a copy.
func (k *Keeper) Forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorded, k.absent = nil, nil
}

// Update makes the records agree with the origins that are present: it adds and reopens
// records, closes those of origins that were absent the last time as well, and removes those
// that no longer count. Another daemon's write of a row at the same time wins.
func (k *Keeper) Update(ctx context.Context, present []Origin) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "update origins of streams")
		}
	}()
	h, err := k.read(ctx)
	if err != nil {
		return err
	}
	opened, left, expired := h.outdated(present)
	return errors.Join(
		k.write(ctx, h, opened, h.opened),
		k.write(ctx, h, k.absentTwice(left), h.closed),
		k.write(ctx, h, expired, removed),
		k.removeUnreadable(ctx, h),
	)
}

// absentTwice returns those of the origins that were absent at the last Update as well.
func (k *Keeper) absentTwice(origins []Origin) (twice []Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	absent := map[Origin]bool{}
	for _, o := range origins {
		absent[o] = true
		if k.absent[o] {
			twice = append(twice, o)
		}
	}
	k.absent = absent
	return twice
}

// read reads the history and takes over what is recorded.
func (k *Keeper) read(ctx context.Context) (*History, error) {
	began := k.Clock.Now()
	rows, err := k.Read(ctx)
	if err != nil {
		return nil, err
	}
	h := NewHistory(rows)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorded, k.readAt = map[Origin]bool{}, began
	for o, r := range h.rows {
		if r.countsFor(h.now, Memory/2) {
			k.recorded[o] = true
		}
	}
	return h, nil
}

// write writes the records that change returns for some origins, and removes those for
// which it returns false.
func (k *Keeper) write(ctx context.Context, h *History, origins []Origin, change func(Origin) (record, bool)) error {
	for part := range slices.Chunk(origins, maxWrites) {
		writes := make([]platform.Write, 0, len(part))
		for _, o := range part {
			w, err := k.writeOf(h, o, change)
			if err != nil {
				return err
			}
			writes = append(writes, w)
		}
		if err := k.transact(ctx, writes); err != nil {
			return err
		}
		k.noteWritten(part, writes)
	}
	return nil
}

// noteWritten takes over what has been written for some origins.
func (k *Keeper) noteWritten(origins []Origin, writes []platform.Write) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recorded == nil {
		return
	}
	for i, o := range origins {
		k.recorded[o] = !writes[i].Delete
	}
}

func (k *Keeper) transact(ctx context.Context, writes []platform.Write) error {
	resp, err := k.Transact(ctx, writes...)
	switch {
	case err != nil:
		return err
	case !resp.Committed:
		return errConflict
	}
	k.Count("streamOrigins.written")
	return nil
}

// removeUnreadable removes rows that could not be decoded for the whole of Memory. Those of
// present origins have been replaced before.
func (k *Keeper) removeUnreadable(ctx context.Context, h *History) error {
	now := k.Clock.Now()
	since := map[string]time.Time{}
	var writes []platform.Write
	k.mu.Lock()
	for _, keys := range h.unreadable {
		for _, key := range keys {
			since[key] = now
			if first, ok := k.unreadableSince[key]; ok {
				since[key] = first
			}
			if now.Sub(since[key]) >= Memory && len(writes) < maxWrites {
				writes = append(writes, platform.Write{Key: platform.Key{Table: k.Table, Key: key}, Expect: h.versions[key], Delete: true})
			}
		}
	}
	k.unreadableSince = since
	k.mu.Unlock()
	if len(writes) == 0 {
		return nil
	}
	return k.transact(ctx, writes)
}

// writeOf returns the write that changes an origin's row.
func (k *Keeper) writeOf(h *History, o Origin, change func(Origin) (record, bool)) (platform.Write, error) {
	w := platform.Write{Key: platform.Key{Table: k.Table, Key: o.key()}, Expect: h.versions[o.key()]}
	r, keep := change(o)
	if !keep {
		w.Delete = true
		return w, nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return w, errors.Wrapf(err, "encode origin %s", o.key())
	}
	w.Value = value
	return w, nil
}

// opened returns the record of an origin at which streams may begin from now on.
func (h *History) opened(o Origin) (record, bool) {
	return record{Kind: o.kind, Owner: o.owner, Member: o.member, SinceMs: int64(h.now)}, true
}

// closed returns the record of an origin that has left.
func (h *History) closed(o Origin) (record, bool) {
	r := h.rows[o]
	r.LeftMs = int64(h.now)
	return r, true
}

// removed removes the record of an origin that no longer counts.
func removed(Origin) (record, bool) { return record{}, false }
