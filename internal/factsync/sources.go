package factsync

import (
	"maps"
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/facts"
)

// refetchDelay is the time before another request to a daemon whose response
// did not bring what was missing.
const refetchDelay = 150 * time.Millisecond

// versions states how far the facts of a daemon reach.
type versions struct {
	config  catalog.Version
	changed facts.Position
}

// newerThan reports whether a daemon with these versions knows something that
// one with the given facts lacks.
func (n versions) newerThan(s facts.Summary) bool {
	return n.config > s.Config || n.changed > s.Position
}

// pace limits the requests.
type pace struct {
	// configOnly puts requests for endpoints off.
	configOnly bool
	// concurrent is the maximum number of requests in flight.
	concurrent int
}

// source is a daemon that knows something newer.
type source struct {
	versions versions
	// notBefore is the local time before which no other request is sent to it.
	notBefore time.Duration
}

// sources decides to which daemons requests for facts are sent. A daemon that
// reports something newer during a request to another is remembered, since the
// other may not respond or know less.
type sources struct {
	known map[string]source
	// inFlight holds the addresses with a request in flight.
	inFlight map[string]bool
}

func newSources() sources {
	return sources{known: map[string]source{}, inFlight: map[string]bool{}}
}

// add records that the daemon at an address knows something newer.
func (q *sources) add(address string, n versions) {
	known := q.known[address]
	known.versions.config = max(known.versions.config, n.config)
	known.versions.changed = max(known.versions.changed, n.changed)
	q.known[address] = known
}

// fetchTarget is the daemon to which a request for facts is sent.
type fetchTarget struct {
	address string
	// withConfig is set if the response is expected to contain a configuration.
	withConfig bool
	// reported is set if the daemon has reported something newer.
	reported bool
}

// next marks a request as in flight and returns its target; false if none is
// to be sent. Daemons that no longer have anything newer are forgotten.
func (q *sources) next(s facts.Summary, now time.Duration, p pace, pick func(n int) int) (fetchTarget, bool) {
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(q.known)) {
		one := q.known[address]
		switch {
		case !one.versions.newerThan(s):
			delete(q.known, address)
		case p.configOnly && one.versions.config <= s.Config:
		case now >= one.notBefore && !q.inFlight[address]:
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 || len(q.inFlight) >= p.concurrent {
		return fetchTarget{}, false
	}
	address := candidates[pick(len(candidates))]
	q.inFlight[address] = true
	return fetchTarget{address: address, withConfig: q.known[address].versions.config > s.Config, reported: true}, true
}

// begin marks an unprompted request to a daemon as in flight; false if there
// is already one.
func (q *sources) begin(address string) bool {
	if q.inFlight[address] {
		return false
	}
	q.inFlight[address] = true
	return true
}

// end records that a request is finished. A daemon that did not respond
// receives another one only when it reports something newer again.
func (q *sources) end(address string, now time.Duration, answered bool) {
	delete(q.inFlight, address)
	one, ok := q.known[address]
	if !ok {
		return
	}
	if !answered {
		delete(q.known, address)
		return
	}
	one.notBefore = now + refetchDelay
	q.known[address] = one
}
