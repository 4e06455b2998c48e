package membership

import "sync"

// Order sorts the hosts of a snapshot by their rendezvous scores for a key. Unless
// high-capacity hosts are put first, the host with the highest score is first. It
// is safe for concurrent use.
type Order struct {
	snapshot *Snapshot
	key      orderKey

	sortOnce sync.Once
	sorted   []Host

	mu sync.Mutex
	// scores holds the host's scores in the order of the snapshot. A host of high
	// capacity that is put first has a score above those of all others.
	scores []uint64
	// positions caches the results of Position.
	positions map[HostID]int
}

// highCapacityBit is set in the scores of the hosts that are put first.
const highCapacityBit = 1 << 63

// Len returns the number of hosts.
func (o *Order) Len() int { return o.snapshot.Len() }

// First returns the first n hosts, or all if there are fewer. The result must not
// be changed.
func (o *Order) First(n int) []Host {
	o.sortOnce.Do(func() {
		o.sorted = Rank(o.key.key, o.snapshot.hosts)
		if o.key.highCapacityFirst {
			o.sorted = HighCapacityFirst(o.sorted)
		}
	})
	return o.sorted[:min(n, len(o.sorted))]
}

// Position returns how many hosts precede the given one. It sorts nothing, since
// most daemons only need their own position and the hosts change often while a
// fleet starts.
func (o *Order) Position(id HostID) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n, ok := o.positions[id]; ok {
		return n, true
	}
	self, ok := o.snapshot.index(id)
	if !ok {
		return 0, false
	}
	if o.scores == nil {
		o.scores = o.score()
		o.positions = map[HostID]int{}
	}
	n := 0
	for i, score := range o.scores {
		if score > o.scores[self] || score == o.scores[self] && i < self {
			n++
		}
	}
	o.positions[id] = n
	return n, true
}

func (o *Order) score() []uint64 {
	scores := make([]uint64, 0, o.Len())
	scorer := NewScorer(o.key.key)
	most := MaxCapacity(o.snapshot.hosts)
	for _, h := range o.snapshot.hosts {
		score := scorer.Score(h.ID)
		if o.key.highCapacityFirst {
			score >>= 1
			if h.CapacityRank(most) == 0 {
				score |= highCapacityBit
			}
		}
		scores = append(scores, score)
	}
	return scores
}
