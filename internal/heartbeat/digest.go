package heartbeat

import (
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// digests are hashes of the hosts, of the suspect requests and of the suspect parts of
// prompts that a daemon knows.
type digests struct{ hosts, suspects, parts uint64 }

// difference is a difference of digests.
type difference struct {
	// since is the time of the first heartbeat with different digests.
	since time.Time
	// idle is set if the last one had no updates of hosts.
	idle bool
}

// compareDigests records whether the digests of another daemon differ from those of
// this one. The message is idle if it had no updates of hosts.
func (x *Exchanger) compareDigests(id membership.HostID, theirs digests, idle bool) {
	same := theirs == digests{x.View.Digest(), x.suspectsDigest(), x.partsDigest()}
	now := x.Clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if same {
		delete(x.differing, id)
		return
	}
	if x.differing == nil {
		x.differing = map[membership.HostID]difference{}
	}
	d, ok := x.differing[id]
	if !ok {
		d.since = now
	}
	d.idle = idle
	x.differing[id] = d
}

// needsComparison reports whether a host is to be requested to compare all that it
// knows with what this daemon knows: the digests have differed for long, or this
// daemon has just joined. Both then start over.
func (x *Exchanger) needsComparison(id membership.HostID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	d, differs := x.differing[id]
	allowed := maxDiffering
	if d.idle {
		allowed = maxDifferingIdle
	}
	if !x.incomplete && (!differs || x.Clock.Since(d.since) < allowed) {
		return false
	}
	x.incomplete = false
	delete(x.differing, id)
	x.Count("heartbeat.compared")
	return true
}
