// Package requestid remembers the ids of requests that must not be repeated. A caller
// gives each of its attempts an id of its own, so that the same request with the same id is
// no further attempt: it has arrived twice.
package requestid

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/quarantine"
)

const (
	// memory is how long an id is remembered after its request has ended.
	memory = 30 * time.Second
	// maxEnded bounds the ids that are remembered after their requests have ended.
	maxEnded = 8192
)

// State is what became of a request.
type State string

// The states of a request.
const (
	// Unknown means that no such request is remembered.
	Unknown State = ""
	// InProgress means that it has not ended.
	InProgress State = "inProgress"
	// MayHaveRun means that an endpoint may have run it.
	MayHaveRun State = "mayHaveRun"
	// NotRun means that no endpoint has run it.
	NotRun State = "notRun"
)

// key names a request. Requests of other content are other ones, whatever their ids. An id
// may be as long as a head, so that only a hash is kept, with a seed that no caller knows.
type key struct {
	id          uint64
	fingerprint quarantine.Fingerprint
}

type ended struct {
	key key
	at  time.Time
}

// Recent remembers the requests in progress and those that have ended lately. It is safe
// for concurrent use.
type Recent struct {
	clock clockwork.Clock
	seed  maphash.Seed

	mu     sync.Mutex
	states map[key]State
	// ended lists the requests in the order in which they have ended.
	ended []ended
	// forgotten is the number of the first ones that are remembered no more.
	forgotten int
}

// NewRecent returns an empty memory.
func NewRecent(clock clockwork.Clock) *Recent {
	return &Recent{clock: clock, seed: maphash.MakeSeed(), states: map[key]State{}}
}

// Begin records the begin of a request, and returns what became of the same one before. If
// there was one, nothing is recorded, and end is nil. Otherwise end must be called when the
// request has ended, with MayHaveRun or NotRun.
func (r *Recent) Begin(id string, f quarantine.Fingerprint) (before State, end func(State)) {
	k := key{id: maphash.String(r.seed, id), fingerprint: f}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget()
	if before = r.states[k]; before != Unknown {
		return before, nil
	}
	r.states[k] = InProgress
	return Unknown, func(s State) { r.finish(k, s) }
}

func (r *Recent) finish(k key, s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[k] = s
	r.ended = append(r.ended, ended{key: k, at: r.clock.Now()})
}

// forget removes requests that have ended too long ago, and the oldest if there are too
// many. It requires mu.
func (r *Recent) forget() {
	now := r.clock.Now()
	for r.forgotten < len(r.ended) {
		oldest := r.ended[r.forgotten]
		if now.Sub(oldest.at) < memory && len(r.ended)-r.forgotten <= maxEnded {
			break
		}
		delete(r.states, oldest.key)
		r.forgotten++
	}
	if r.forgotten > len(r.ended)/2 {
		n := copy(r.ended, r.ended[r.forgotten:])
		r.ended, r.forgotten = r.ended[:n], 0
	}
}
