package limit

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/membership"
)

// shards is into how many parts the limits are divided among owners.
const shards = 16

// shard is one part of the limits.
type shard uint64

// shardOf returns the part that a limit belongs to. The rate and the
// concurrency of one account have one owner, so that one call asks for both.
func shardOf(key Key) shard {
	return shard(xxhash.Sum64String(string(key.Class)+"/"+string(key.Account)) % shards)
}

// owner returns the daemon with the highest rendezvous score for a shard.
func (s shard) owner(ready []membership.Host) (membership.Host, bool) {
	ranked := membership.Rank(fmt.Sprintf("limits/%d", s), ready)
	if len(ranked) == 0 {
		return membership.Host{}, false
	}
	return ranked[0], true
}

// readyOf returns the hosts that take work.
func readyOf(hosts *membership.Snapshot) []membership.Host {
	return slices.DeleteFunc(slices.Clone(hosts.All()), func(h membership.Host) bool { return h.State != membership.Ready })
}

// tenure is which shards this daemon owns, and since when.
type tenure struct {
	owned map[shard]time.Time
}

// update takes in the ready hosts after they have changed.
func (t *tenure) update(now time.Time, self membership.HostID, ready []membership.Host) {
	owned := map[shard]time.Time{}
	for s := range shard(shards) {
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

// since returns from when on this daemon has owned a limit.
func (t *tenure) since(key Key) (since time.Time, owned bool) {
	since, owned = t.owned[shardOf(key)]
	return since, owned
}
