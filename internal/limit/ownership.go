package limit

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/membership"
)

// shardCount is the number of shards that the limits are divided into.
const shardCount = 16

// shard is a part of the limits that has a single owner.
type shard uint64

// shardOf returns the shard of a limit. The rate and concurrency limits of an
// account are in the same shard, so that one call covers both.
func shardOf(key Key) shard {
	return shard(xxhash.Sum64String(string(key.Class)+"/"+string(key.Account)) % shardCount)
}

// owner returns the host with the highest rendezvous hashing score for the
// shard.
func (s shard) owner(ready []membership.Host) (membership.Host, bool) {
	ranked := membership.Rank(fmt.Sprintf("limits/%d", s), ready)
	if len(ranked) == 0 {
		return membership.Host{}, false
	}
	return ranked[0], true
}

// readyHosts returns the hosts that accept requests.
func readyHosts(hosts *membership.Snapshot) []membership.Host {
	return slices.DeleteFunc(slices.Clone(hosts.All()), func(h membership.Host) bool { return h.State != membership.Ready })
}

// ownership records which shards this daemon owns, and since when.
type ownership struct {
	owned map[shard]time.Time
}

// update recomputes the owned shards after the ready hosts have changed.
func (t *ownership) update(now time.Time, self membership.HostID, ready []membership.Host) {
	owned := map[shard]time.Time{}
	for s := range shard(shardCount) {
		h, ok := s.owner(ready)
		if !ok || h.ID != self {
			continue
		}
		since, before := t.owned[s]
		if !before {
			since = now
		}
		owned[s] = since
	}
	t.owned = owned
}

// since returns the time since which this daemon has owned a limit.
func (t *ownership) since(key Key) (since time.Time, owned bool) {
	since, owned = t.owned[shardOf(key)]
	return since, owned
}
