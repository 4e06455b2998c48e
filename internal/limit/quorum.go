package limit

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

const (
	// SliceLifetime is how long a slice is valid. Its holder counts from before
	// it sent the request, the owner from when it responded, so the slice
	// expires at the holder first.
	SliceLifetime = time.Second
	// settleTime is how long a host must be alive without interruption before
	// it counts. It exceeds the lifetime of a slice plus the time in which
	// daemons learn of each other, so no slice granted by another owner is
	// still valid.
	settleTime = 3 * time.Second
	// takeoverDelay is how long a daemon must have owned a limit before it
	// grants more than what is in use. After an owner fails, its slices are
	// valid for at most SliceLifetime, and every host has reported its requests
	// in progress within reportInterval.
	takeoverDelay = 2500 * time.Millisecond
	// pauseThreshold is the gap between two updates from which on this daemon
	// counts as having been paused.
	pauseThreshold = time.Second
)

// quorum determines which share of every limit this daemon may grant.
//
// After a network split, two daemons can both consider themselves the owner of
// a limit and together admit twice as much. Therefore an owner grants only a
// share of the limit: the number of hosts that it has seen alive without
// interruption for settleTime, divided by the number of hosts that the platform
// lists. Two owners that can't reach each other count disjoint sets of hosts,
// so their shares never add up to more than the limit.
type quorum struct {
	// aliveSince is when each incarnation was first seen alive, without
	// interruption since.
	aliveSince map[hostIncarnation]time.Time
	updatedAt  time.Time
	// newestSince is the latest time in aliveSince.
	newestSince time.Time
	// hosts is the snapshot passed to the last update.
	hosts *membership.Snapshot
	// listedHosts is the number of daemons that the platform lists, or the
	// number of live hosts if that is larger.
	listedHosts int
}

// hostIncarnation identifies one incarnation of a host.
type hostIncarnation struct {
	id          membership.HostID
	incarnation uint64
}

// update sets the hosts that are alive now, including this one. It reports
// whether the snapshot has changed or this daemon was paused.
func (q *quorum) update(now time.Time, hosts *membership.Snapshot, listed int) (changed bool) {
	// A daemon that was paused does not know what happened in the meantime, so
	// no host counts as settled any more.
	paused := now.Sub(q.updatedAt) > pauseThreshold
	if paused {
		q.aliveSince = nil
	}
	q.updatedAt = now
	q.listedHosts = max(listed, hosts.Len())
	if !paused && hosts == q.hosts {
		return false
	}
	q.hosts = hosts
	since := make(map[hostIncarnation]time.Time, hosts.Len())
	for _, h := range hosts.All() {
		incarnation := hostIncarnation{id: h.ID, incarnation: h.Incarnation}
		at, known := q.aliveSince[incarnation]
		if !known {
			at = now
			q.newestSince = now
		}
		since[incarnation] = at
	}
	q.aliveSince = since
	return true
}

// grantableShare returns the share of every limit that may be granted, from 0
// to 1.
func (q *quorum) grantableShare(now time.Time) float64 {
	if q.listedHosts == 0 || now.Sub(q.updatedAt) > pauseThreshold {
		return 0
	}
	return float64(q.settledHosts(now)) / float64(q.listedHosts)
}

// settledHosts returns how many hosts have been alive without interruption for
// settleTime.
func (q *quorum) settledHosts(now time.Time) int {
	if now.Sub(q.newestSince) >= settleTime {
		return len(q.aliveSince)
	}
	n := 0
	for _, at := range q.aliveSince {
		if now.Sub(at) >= settleTime {
			n++
		}
	}
	return n
}

// isAlive reports whether a host is in the latest snapshot.
func (q *quorum) isAlive(id membership.HostID) bool {
	if q.hosts == nil {
		return false
	}
	_, ok := q.hosts.Find(id)
	return ok
}
