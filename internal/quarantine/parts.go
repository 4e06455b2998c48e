package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/stat"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// partThreshold is the number of endpoints that must terminate while they run
	// requests with a part, none of which completes, before the part is quarantined.
	partThreshold = 3
	// clearedBy is how long a completion speaks for a part: what terminates endpoints
	// does so each time. It exceeds any time for which all endpoints of a pool may be in
	// trouble: a common part that is quarantined then keeps back the requests that would
	// clear it.
	clearedBy = 10 * time.Minute
	// sameTermination is the time within which reports of the termination of an
	// endpoint are taken for the same one. A restart takes longer.
	sameTermination = 2 * time.Second
	// maxTerminations limits the terminations recorded per part.
	maxTerminations = 8
	// maxCompletedParts limits the parts that are remembered as completed.
	maxCompletedParts = 8192
	// maxCompletedTold limits the completions that a daemon tells one that lacks updates.
	// Parts that many requests have are among the last to have completed.
	maxCompletedTold = 64
)

// PartKey identifies a part of prompts for the endpoints of a pool.
type PartKey uint64

// String returns the key in the format used in logs.
func (k PartKey) String() string { return Fingerprint(k).String() }

// PartKeyOf returns the key of a part. The account is not part of the key: what
// terminates endpoints does so whoever sends it.
func PartKeyOf(pool table.Pool, id uint64) PartKey {
	return PartKey(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(pool), id)))
}

// Parts tracks the parts of prompts that terminate endpoints. All requests on an endpoint
// that terminates are suspect with all of their parts; a part that others have in common
// is cleared by each request that completes with it. It is safe for concurrent use.
type Parts struct {
	// OnChange is called when a part is quarantined and when it is released. It must be
	// set before the list is used and must not call the list.
	OnChange func(k PartKey, quarantined bool)

	mu sync.Mutex
	tracker[PartKey, *suspectPart]
	// completed holds when requests with a part last completed.
	completed recent[PartKey, time.Time]
	// kept counts the requests that this daemon has kept back since the last trial, by
	// quarantined or suspect part.
	kept map[PartKey]int
	// trials holds the last trial of a quarantined part that this daemon has sent.
	trials map[PartKey]partTrial
}

// suspectPart is a part with which endpoints have terminated.
type suspectPart struct {
	// ended holds the terminations, in the order of their times.
	ended []Termination
	// completedAt is when a request with the part last completed; zero if never.
	completedAt time.Time
}

// Termination is the termination of an endpoint.
type Termination struct {
	Endpoint EndpointID
	At       time.Time
}

// isSame reports whether two reports are of the same termination.
func (e Termination) isSame(other Termination) bool {
	return e.Endpoint == other.Endpoint && e.At.Sub(other.At).Abs() < sameTermination
}

// PartUpdate is a message between daemons about one part.
type PartUpdate struct {
	Key PartKey
	// Ended holds the terminations, in the order of their times.
	Ended []Termination
	// CompletedAt is when a request with the part last completed; zero if never.
	CompletedAt time.Time
}

// NewParts returns an empty list.
func NewParts(clock clockwork.Clock) *Parts {
	return &Parts{
		OnChange:  func(PartKey, bool) {},
		tracker:   newTracker[PartKey, *suspectPart](clock),
		completed: newRecent[PartKey, time.Time](maxCompletedParts),
		kept:      map[PartKey]int{},
		trials:    map[PartKey]partTrial{},
	}
}

// counted returns the terminations that no completion speaks against.
func (s *suspectPart) counted() []Termination {
	if s.completedAt.IsZero() {
		return s.ended
	}
	limit := s.completedAt.Add(clearedBy)
	i, _ := slices.BinarySearchFunc(s.ended, limit, func(e Termination, at time.Time) int { return e.At.Compare(at) })
	return s.ended[i:]
}

func (s *suspectPart) quarantined() bool { return len(s.counted()) >= partThreshold }

// lastTermination returns when the last endpoint terminated.
func (s *suspectPart) lastTermination() time.Time { return s.ended[len(s.ended)-1].At }

func (s *suspectPart) terminations() int { return len(s.ended) }

func (s *suspectPart) expiresAt() time.Time {
	return s.lastTermination().Add(retention(len(s.ended)))
}

// hash leaves out the times, which each daemon knows from ages.
func (s *suspectPart) hash(key uint64) uint64 {
	h := stat.Mix(key) + uint64(len(s.counted()))
	for _, e := range s.ended {
		h += stat.Mix(uint64(e.Endpoint))
	}
	return stat.Mix(h)
}

// Quarantined returns the first of some parts that keeps a request back. If the trial of
// all quarantined ones is due and mayTry, called with whether it is early, reports true,
// there is none, and the request is their trial. The function mayTry must not call the list.
func (p *Parts) Quarantined(keys []PartKey, mayTry func(early bool) bool) (blocking PartKey, found, trial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var quarantined, suspect []PartKey
	for _, k := range keys {
		switch s := p.suspects[k]; {
		case s == nil:
		case s.quarantined():
			quarantined = append(quarantined, k)
		case len(s.counted()) > 0:
			suspect = append(suspect, k)
		}
	}
	if len(quarantined) == 0 {
		return 0, false, false
	}
	if due, early := p.trialDue(quarantined, suspect); !due || !mayTry(early) {
		p.countKept(quarantined)
		p.countKept(suspect)
		return quarantined[0], true, false
	}
	for _, k := range quarantined {
		p.trials[k] = p.trials[k].next(p.clock.Now())
		delete(p.kept, k)
	}
	return 0, false, true
}

// QuarantinedCount returns the number of quarantined parts.
func (p *Parts) QuarantinedCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.suspects {
		if s.quarantined() {
			n++
		}
	}
	return n
}

// RecordTermination records that an endpoint terminated while it ran a request with some
// parts.
func (p *Parts) RecordTermination(keys []PartKey, endpoint table.EndpointName) {
	now := p.clock.Now()
	ended := []Termination{{EndpointIDOf(endpoint), now}}
	for _, k := range keys {
		if !p.clearedAt(k, now) {
			p.Apply(PartUpdate{Key: k, Ended: ended})
		}
	}
}

// IsExplained reports whether the termination of an endpoint within the last moments is
// explained by a quarantined part that a request does not have, so that it does not speak
// against the response to that request.
func (p *Parts) IsExplained(keys []PartKey, endpoint table.EndpointName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := Termination{EndpointIDOf(endpoint), p.clock.Now()}
	for k, s := range p.suspects {
		if s.quarantined() && !slices.Contains(keys, k) && slices.ContainsFunc(s.counted(), ended.isSame) {
			return true
		}
	}
	return false
}

// clearedAt reports whether a completion that this daemon has seen speaks against a
// termination, so that others need not hear of it.
func (p *Parts) clearedAt(k PartKey, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	completed, ok := p.completed.values[k]
	return ok && at.Before(completed.Add(clearedBy))
}

// RecordCompletion records that an endpoint has completed a request with some parts.
func (p *Parts) RecordCompletion(keys []PartKey) {
	now := p.clock.Now()
	for _, k := range keys {
		p.mu.Lock()
		p.completed.put(k, now)
		tracked := p.suspects[k] != nil
		p.mu.Unlock()
		if tracked {
			p.Apply(PartUpdate{Key: k, CompletedAt: now})
		}
	}
}

// Apply merges an update. Updates may be applied in any order and repeatedly without
// losing what is already known.
func (p *Parts) Apply(n PartUpdate) {
	p.mu.Lock()
	now := p.clock.Now()
	if known := p.completed.values[n.Key]; known.After(n.CompletedAt) {
		n.CompletedAt = known
	} else if n.CompletedAt.After(known) && now.Sub(n.CompletedAt) < clearedBy {
		p.completed.put(n.Key, n.CompletedAt)
	}
	s := p.suspects[n.Key]
	if s == nil {
		if len(n.Ended) == 0 || now.Sub(n.Ended[len(n.Ended)-1].At) >= retention(len(n.Ended)) {
			p.mu.Unlock()
			return
		}
		s = &suspectPart{}
		p.suspects[n.Key] = s
	}
	before := s.quarantined()
	if s.merge(n) {
		p.changed(n.Key, s)
	}
	after := s.quarantined()
	if before && !after {
		delete(p.kept, n.Key)
		delete(p.trials, n.Key)
	}
	p.mu.Unlock()
	if after != before {
		p.OnChange(n.Key, after)
	}
}

// merge adds what is not known yet. It reports whether others may lack it: a later
// completion alone matters only if it speaks against a termination that counted.
func (s *suspectPart) merge(n PartUpdate) (changed bool) {
	counted := len(s.counted())
	for _, e := range n.Ended {
		changed = s.add(e) || changed
	}
	if n.CompletedAt.After(s.completedAt) {
		s.completedAt = n.CompletedAt
		changed = changed || len(s.counted()) < counted
	}
	return changed
}

// add adds a termination unless it is known, and reports whether it was added.
func (s *suspectPart) add(e Termination) bool {
	known := slices.ContainsFunc(s.ended, e.isSame)
	if known || len(s.ended) == maxTerminations && e.At.Before(s.ended[0].At) {
		return false
	}
	s.ended = append(s.ended, e)
	slices.SortFunc(s.ended, func(a, b Termination) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	s.ended = s.ended[max(0, len(s.ended)-maxTerminations):]
	return true
}

// TakeUpdates returns up to n updates to send in one message.
func (p *Parts) TakeUpdates(n int) []PartUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.updates(p.take(n))
}

// All returns an update about every tracked part, and about the parts that have completed
// last: a daemon that has started would suspect them, and nobody might know better once all
// have started.
func (p *Parts) All() []PartUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	keys := make([]PartKey, 0, len(p.suspects))
	for k := range p.suspects {
		keys = append(keys, k)
	}
	return append(p.updates(keys), p.lastCompleted(maxCompletedTold)...)
}

// lastCompleted returns updates about the n parts without terminations that have completed
// last.
func (p *Parts) lastCompleted(n int) (last []PartUpdate) {
	now := p.clock.Now()
	for k, at := range p.completed.values {
		if p.suspects[k] == nil && now.Sub(at) < clearedBy {
			last = append(last, PartUpdate{Key: k, CompletedAt: at})
		}
	}
	slices.SortFunc(last, func(a, b PartUpdate) int {
		return cmp.Or(b.CompletedAt.Compare(a.CompletedAt), cmp.Compare(a.Key, b.Key))
	})
	return last[:min(n, len(last))]
}

func (p *Parts) updates(keys []PartKey) []PartUpdate {
	all := make([]PartUpdate, 0, len(keys))
	for _, k := range keys {
		s := p.suspects[k]
		all = append(all, PartUpdate{Key: k, Ended: slices.Clone(s.ended), CompletedAt: s.completedAt})
	}
	return all
}

// Digest returns a hash of all tracked parts, or zero if there are none.
func (p *Parts) Digest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.digestOfAll()
}
