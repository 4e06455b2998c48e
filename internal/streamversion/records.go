package streamversion

import (
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// maxRecords limits the records kept by one daemon; the oldest are dropped
	// first. At 100 bytes each they take 7 MB.
	maxRecords = 1 << 16
	// sweepShare is the part of the records looked at for expiry per new record.
	sweepShare = 2
)

// records holds the versions of streams until they expire. It is not safe for
// concurrent use.
type records struct {
	byKey map[Key]record
	// order holds the keys in the order in which they were added. A key may occur
	// more than once; first is the index of the oldest.
	order []Key
	first int
}

type record struct {
	version   table.SoftwareVersion
	expiresAt time.Time
}

// put adds a record, or extends its lifetime. The version of a stream never changes.
func (r *records) put(k Key, version table.SoftwareVersion, now time.Time, lifetime time.Duration) {
	if r.byKey == nil {
		r.byKey = map[Key]record{}
	}
	expiresAt := now.Add(lifetime)
	known, ok := r.byKey[k]
	switch {
	case !ok || !now.Before(known.expiresAt):
		r.byKey[k] = record{version, expiresAt}
		r.order = append(r.order, k)
	case known.version == version && expiresAt.After(known.expiresAt):
		r.byKey[k] = record{version, expiresAt}
	}
	r.dropOld(now)
}

// get returns the version of a stream.
func (r *records) get(k Key, now time.Time) (table.SoftwareVersion, bool) {
	known, ok := r.byKey[k]
	if !ok || !now.Before(known.expiresAt) {
		return "", false
	}
	return known.version, true
}

// dropOld drops expired records among the oldest, and the oldest ones beyond
// maxRecords.
func (r *records) dropOld(now time.Time) {
	for range sweepShare {
		if r.first == len(r.order) {
			break
		}
		k := r.order[r.first]
		known, ok := r.byKey[k]
		switch {
		case !ok:
		case !now.Before(known.expiresAt) || len(r.byKey) > maxRecords:
			delete(r.byKey, k)
		default:
			r.order = append(r.order, k)
		}
		r.first++
	}
	if r.first > len(r.order)/2 && r.first > maxRecords/8 {
		r.order = append([]Key(nil), r.order[r.first:]...)
		r.first = 0
	}
}
