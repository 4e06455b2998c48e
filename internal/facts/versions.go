package facts

import (
	"maps"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// versionMemory is how long a version that has left a pool is remembered. Streams that
// it began may be taken up in that time.
const versionMemory = 10 * time.Minute

// PoolVersion is a software version of a pool's endpoints.
type PoolVersion struct {
	Pool    table.Pool
	Version table.SoftwareVersion
}

// versionHistory holds which software versions each pool has, and had lately.
type versionHistory struct {
	// registered holds the pools and versions of the registered endpoints, counts how
	// many have each.
	registered map[EndpointID]PoolVersion
	counts     map[PoolVersion]int
	// left holds when the last endpoint of a version has left.
	left map[PoolVersion]storetime.Instant
}

func newVersionHistory() versionHistory {
	return versionHistory{registered: map[EndpointID]PoolVersion{}, counts: map[PoolVersion]int{}, left: map[PoolVersion]storetime.Instant{}}
}

// observe processes a changed row.
func (h *versionHistory) observe(e Endpoint, now storetime.Instant) {
	if before, ok := h.registered[e.ID]; ok {
		delete(h.registered, e.ID)
		if h.counts[before]--; h.counts[before] == 0 {
			delete(h.counts, before)
			h.noteLeft(before, now)
		}
	}
	if e.Gone {
		return
	}
	v := PoolVersion{e.Pool, e.Version}
	h.registered[e.ID] = v
	h.counts[v]++
}

// noteLeft records that a version had left by a time, and forgets those that left long
// ago.
func (h *versionHistory) noteLeft(v PoolVersion, at storetime.Instant) {
	h.left[v] = max(h.left[v], at)
	for known, since := range h.left {
		if at.Sub(since) >= versionMemory {
			delete(h.left, known)
		}
	}
}

// since returns the versions that a pool has had since a time, sorted.
func (h *versionHistory) since(pool table.Pool, since storetime.Instant) []table.SoftwareVersion {
	found := map[table.SoftwareVersion]bool{}
	for v := range h.counts {
		if v.Pool == pool {
			found[v.Version] = true
		}
	}
	for v, at := range h.left {
		if v.Pool == pool && at >= since {
			found[v.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Versions returns the software versions that a pool has had within versionMemory, as far
// as this daemon or those that it got its endpoints from have seen, sorted.
func (h *Holder) Versions(pool table.Pool) []table.SoftwareVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions.since(pool, h.now().Add(-versionMemory))
}

// LeftVersion is a version that has left a pool, and when.
type LeftVersion struct {
	PoolVersion
	At storetime.Instant
}

// leftVersions returns the versions that have left lately, in any order.
func (h *versionHistory) leftVersions() (all []LeftVersion) {
	for v, at := range h.left {
		all = append(all, LeftVersion{v, at})
	}
	return all
}
