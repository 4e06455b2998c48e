// Package tablesync maintains the active table of this daemon: it reads the
// table from the platform and from peers, and edits it by compare-and-set.
package tablesync

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/pkg/table"
)

// StaleAfter is the time without contact with the store or a peer after which a
// daemon refuses new requests, because an edit that it has not received may be
// active elsewhere.
const StaleAfter = 9 * time.Second

// encodedTable is a table with its JSON form, which peers fetch.
type encodedTable struct {
	table.Versioned
	data []byte
}

// neverContacted stands for a contact that has not taken place. It is long
// before start.
const neverContacted = -int64(24 * time.Hour)

// Replica is this daemon's copy of the active table. It is safe for concurrent
// use.
type Replica struct {
	clock   clockwork.Clock
	metrics *metric.Registry
	current atomic.Pointer[encodedTable]
	// InMinority reports whether this daemon is in contact with fewer than half
	// of the known hosts. It must be set before the replica is used.
	InMinority func() bool
	// FetchFromPeers tries to activate a version that a peer has, and reports
	// whether it did, so that not every daemon loads it from the store. It must
	// be set before the replica is used.
	FetchFromPeers func(ctx context.Context, v table.Version) bool
	// start is the origin of the contact times below, so that steps of the wall
	// clock do not affect them.
	start time.Time
	// store is the time at which the store was last read, by this daemon or by
	// a peer that reported it; peer is the time at which a peer without a newer
	// table last responded. Both are in nanoseconds after start; a negative
	// value means never.
	store atomic.Int64
	peer  atomic.Int64

	mu       sync.Mutex
	watchers []func(*table.Versioned)
	// patches lead from earlier versions to the active one, in order.
	patches []patch
}

// NewReplica returns a replica without a table.
func NewReplica(clock clockwork.Clock, metrics *metric.Registry) *Replica {
	k := &Replica{clock: clock, metrics: metrics, start: clock.Now(), InMinority: func() bool { return false }}
	k.FetchFromPeers = func(context.Context, table.Version) bool { return false }
	k.store.Store(neverContacted)
	k.peer.Store(neverContacted)
	return k
}

// Watch registers f to be called with each table that becomes active. It must
// be called before the first table is adopted.
func (k *Replica) Watch(f func(*table.Versioned)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watchers = append(k.watchers, f)
}

// Current returns the active table, or nil if there is none yet.
func (k *Replica) Current() *table.Versioned {
	if v := k.current.Load(); v != nil {
		return &v.Versioned
	}
	return nil
}

// Version returns the active version, or zero if there is none yet.
func (k *Replica) Version() table.Version {
	if v := k.current.Load(); v != nil {
		return v.Version
	}
	return 0
}

// RecordStoreContact records that the store confirmed the active version in its
// response to a request sent at the given time.
func (k *Replica) RecordStoreContact(sent time.Time) { storeMax(&k.store, sent.Sub(k.start)) }

// RecordPeerContact records that a peer without a newer table responded to a
// request sent at the given time and reported its StoreAge as storeAge.
func (k *Replica) RecordPeerContact(sent time.Time, storeAge time.Duration) {
	storeMax(&k.peer, sent.Sub(k.start))
	storeMax(&k.store, sent.Add(-storeAge).Sub(k.start))
}

func storeMax(at *atomic.Int64, d time.Duration) {
	for {
		old := at.Load()
		if int64(d) <= old || at.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// StoreAge returns the time since the store was last read, by this daemon or by
// a peer that reported it.
func (k *Replica) StoreAge() time.Duration { return k.age(&k.store) }

func (k *Replica) age(at *atomic.Int64) time.Duration {
	return k.clock.Since(k.start) - time.Duration(at.Load())
}

// Stale reports whether this daemon may have missed an edit because of a
// network partition. It has missed none while it is in contact with the store,
// directly or through peers. If the store is down, peers that respond report
// edits as well. But a few hosts that are partitioned together would confirm
// each other indefinitely, so peers count only while this daemon is in contact
// with at least half of the known hosts.
func (k *Replica) Stale() bool {
	if k.StoreAge() <= StaleAfter {
		return false
	}
	return k.age(&k.peer) > StaleAfter || k.InMinority()
}

// Adopt activates a table if it is newer than the active one. An older table
// changes nothing, because an accepted edit must never be reverted.
func (k *Replica) Adopt(version table.Version, data []byte) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "adopt table version %d", version)
		}
	}()
	if version <= k.Version() {
		return nil
	}
	var t table.Table
	if err := json.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "decode")
	}
	if faults := t.Check(); len(faults) > 0 {
		return faults
	}
	t.BuildIndex()
	k.activate(&encodedTable{Versioned: table.Versioned{Version: version, Table: &t}, data: data})
	return nil
}

func (k *Replica) activate(v *encodedTable) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v.Version <= k.Version() {
		return
	}
	k.recordPatch(k.current.Load(), v)
	k.current.Store(v)
	k.metrics.Set("table.version", int64(v.Version))
	for _, f := range k.watchers {
		f(&v.Versioned)
	}
}
