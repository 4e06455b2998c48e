package soak

import (
	"fmt"

	"github.com/beechhead/beechhead/platform/standin"
)

const (
	// smallMemory is the memory of the engines that run streams if it is small, in
	// tokens: that of three prompts with their responses.
	smallMemory = 4200
	// raisedTier is the tier of the account that has one of its own, and that of the
	// resumable streams' route; raisedRouteTier is that of the other streams' route.
	raisedTier      = 1
	raisedRouteTier = 2
)

// rankAccounts gives the second account a tier of its own, to which it raises the streams
// that are not resumable.
func rankAccounts(d *standin.Document) {
	for _, r := range d.Routes {
		if r["name"] == raisedRoute {
			r["priority"] = raisedRouteTier
		}
	}
	d.Tenants[1]["priority"] = raisedTier
}

// raisedRoute is the route of the streams that are not resumable.
const raisedRoute = "draft"

// urgency orders the streams of the document of rankAccounts; 0 is the most urgent.
func urgency(c *Call) int {
	switch {
	case c.Route != raisedRoute:
		return 0
	case c.Key == standin.OtherSampleKey:
		return 1
	}
	return 2
}

// preemptedForOthers looks for streams that engines preempted while less urgent ones ran
// on.
func preemptedForOthers(rec *Record) (found []string) {
	calls := map[string]*Call{}
	for i := range rec.Calls {
		calls[rec.Calls[i].ID] = &rec.Calls[i]
	}
	for _, p := range rec.Preemptions {
		victim := calls[p.ID]
		if victim == nil {
			continue
		}
		for _, id := range p.Others {
			if other := calls[id]; other != nil && urgency(other) > urgency(victim) {
				found = append(found, fmt.Sprintf("%s of %s was preempted while %s of %s ran on", p.ID, victim.Route, id, other.Route))
				break
			}
		}
	}
	return found
}
