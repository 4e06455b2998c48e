package limit

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

const (
	// SliceLifetime is how long a slice is valid, counted by its holder from
	// before it asked and by the owner from when it answered. The holder's
	// therefore ends first.
	SliceLifetime = time.Second
	// settleTime is how long a host must be heard without a break before it
	// counts. It exceeds the lifetime of a slice and the time in which daemons
	// learn of each other, so that no slice of another owner is still valid.
	settleTime = 3 * time.Second
	// takeoverTime is how long a daemon must have owned a limit before it
	// hands out more than what is in use: after an owner's end its slices are
	// valid for SliceLifetime at most, and all have told of their requests in
	// progress within restateInterval.
	takeoverTime = 2500 * time.Millisecond
	// pauseTime is the gap between two updates that shows that this daemon
	// was paused.
	pauseTime = time.Second
)

// quorum tells which part of every limit this daemon may hand out.
//
// Failure: after a split two daemons each believe that they own a limit, and
// would together admit twice as much. The guard: an owner hands out only the
// part of the limit that falls to the hosts that it has heard without a break
// for settleTime, out of all hosts that the platform lists. Two owners that
// don't hear each other have disjoint sets of hosts, so their parts never sum
// to more than the limit.
type quorum struct {
	// since is from when on each incarnation was heard without a break.
	since   map[hostRun]time.Time
	updated time.Time
	// newest is the latest time in since.
	newest time.Time
	// hosts are those of the last update.
	hosts *membership.Snapshot
	// listed is the number of daemons that the platform lists.
	listed int
}

// hostRun is an incarnation of a host.
type hostRun struct {
	id          membership.HostID
	incarnation uint64
}

// update takes in the hosts that are heard now, this one included. It returns
// whether they are others than before, or stand in other states.
func (q *quorum) update(now time.Time, hosts *membership.Snapshot, listed int) (changed bool) {
	// A daemon that was paused does not know what happened in the meantime;
	// it begins to listen anew.
	paused := now.Sub(q.updated) > pauseTime
	if paused {
		q.since = nil
	}
	q.updated = now
	q.listed = max(listed, hosts.Len())
	if !paused && hosts == q.hosts {
		return false
	}
	q.hosts = hosts
	since := make(map[hostRun]time.Time, hosts.Len())
	for _, h := range hosts.All() {
		run := hostRun{id: h.ID, incarnation: h.Incarnation}
		at, known := q.since[run]
		if !known {
			at = now
			q.newest = now
		}
		since[run] = at
	}
	q.since = since
	return true
}

// share returns the part of every limit that may be handed out, 0 to 1.
func (q *quorum) share(now time.Time) float64 {
	if q.listed == 0 || now.Sub(q.updated) > pauseTime {
		return 0
	}
	return float64(q.settled(now)) / float64(q.listed)
}

// settled returns how many hosts were heard without a break for settleTime.
func (q *quorum) settled(now time.Time) int {
	if now.Sub(q.newest) >= settleTime {
		return len(q.since)
	}
	n := 0
	for _, at := range q.since {
		if now.Sub(at) >= settleTime {
			n++
		}
	}
	return n
}

// hears tells whether a host is heard.
func (q *quorum) hears(id membership.HostID) bool {
	if q.hosts == nil {
		return false
	}
	_, ok := q.hosts.Find(id)
	return ok
}
