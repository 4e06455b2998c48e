package factsync

import (
	"maps"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
)

// askAgain is the time before a daemon is asked again that did not help.
const askAgain = 150 * time.Millisecond

// told is how far the facts of a daemon reach.
type told struct {
	config  catalog.Version
	changed facts.Position
}

// newer tells whether a daemon that has told so knows something that one with
// these facts lacks.
func (n told) newer(s facts.Summary) bool { return n.config > s.Config || n.changed > s.Position }

// source is a daemon that knows something newer.
type source struct {
	told told
	// notBefore is the local time before which it is not asked again.
	notBefore time.Duration
}

// sources decides which daemons are asked for facts. A daemon that tells of
// news while another is asked is remembered, since the other may be silent or
// know less.
type sources struct {
	known map[string]source
	// asking has the addresses with a question under way.
	asking map[string]bool
}

func newSources() sources {
	return sources{known: map[string]source{}, asking: map[string]bool{}}
}

// add notes that the daemon at an address knows something newer.
func (q *sources) add(address string, n told) {
	known := q.known[address]
	known.told.config = max(known.told.config, n.config)
	known.told.changed = max(known.told.changed, n.changed)
	q.known[address] = known
}

// question is one question for facts.
type question struct {
	address string
	// document says that the answer is expected to have a configuration.
	document bool
}

// next begins a question; false if none is to be asked. Daemons that have
// nothing new any more are forgotten.
func (q *sources) next(s facts.Summary, now time.Duration, pick func(n int) int) (question, bool) {
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(q.known)) {
		one := q.known[address]
		switch {
		case !one.told.newer(s):
			delete(q.known, address)
		case now >= one.notBefore && !q.asking[address]:
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 || len(q.asking) >= questionsAtOnce {
		return question{}, false
	}
	address := candidates[pick(len(candidates))]
	q.asking[address] = true
	return question{address: address, document: q.known[address].told.config > s.Config}, true
}

// begin notes that a daemon is asked without a cause; false if it is being
// asked already.
func (q *sources) begin(address string) bool {
	if q.asking[address] {
		return false
	}
	q.asking[address] = true
	return true
}

// end notes that a question is over. A daemon that did not answer is asked
// again only when it tells of news once more.
func (q *sources) end(address string, now time.Duration, answered bool) {
	delete(q.asking, address)
	one, ok := q.known[address]
	if !ok {
		return
	}
	if !answered {
		delete(q.known, address)
		return
	}
	one.notBefore = now + askAgain
	q.known[address] = one
}
