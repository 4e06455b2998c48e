package batching

import (
	"slices"
	"time"
)

// A request whose engine is in another availability zone than its host sends the
// body there and the response back. That takes little time, but bytes between
// zones are metered on most platforms. A body grows with its prompt, so the cost of
// a transfer follows from the bytes, and is bounded by what the caller can wait: a
// request leaves its zone when it would wait longer there than a share of its target.

const (
	// transferTime is what a round trip to another zone adds to a response.
	transferTime = 2 * time.Millisecond
	// transferWeight is the cost of each byte that is sent to another zone. A token
	// of a prompt takes several bytes as text and, compressed or as a number, one or
	// two. With this weight a transfer of a prompt costs about half of its prefill.
	transferWeight = 0.5
	// responseTokenBytes is the expected size of a token of a response, with the
	// framing of its event.
	responseTokenBytes = 8
	// maxTransferShare is the largest part of the target that a request may wait
	// longer to avoid the transfer.
	maxTransferShare = 0.05
)

// hasZones reports whether engines of more than one zone accept requests.
func hasZones(engines []*Engine) bool {
	zone := ""
	return slices.ContainsFunc(engines, func(e *Engine) bool {
		if e.Zone == "" || e.Memory == 0 || e.Closed {
			return false
		}
		if zone == "" {
			zone = e.Zone
		}
		return e.Zone != zone
	})
}

// crossesZone reports whether a request from a host in one zone to an engine in another
// one is sent between zones. A zone that is not known counts as the same one.
func (p *Pool) crossesZone(from, to string) bool {
	return p.zoned && from != "" && to != "" && from != to
}

// transferCost returns the cost of sending a request to an engine and its response
// back, in prefill tokens.
func (p *Pool) transferCost(e *Engine, c *Candidate) float64 {
	switch {
	case e.Zone == c.Zone || p.isDisabled(ZoneWeight):
		return 0
	case !p.zoned || p.isDisabled(TransferCost):
		return crossZoneWeight
	case !p.crossesZone(c.Zone, e.Zone):
		return 0
	}
	bytes := transferWeight * float64(c.BodyBytes+c.ResponseTokens*responseTokenBytes)
	return transferTime.Seconds()*p.prefillRate + min(bytes, c.transferWait.Seconds()*p.prefillRate)
}

// transferWait returns how much longer a request of the class may wait to avoid a
// transfer.
func (q *Class) transferWait() time.Duration {
	if q.Target == 0 {
		return maxBacklog
	}
	return time.Duration(maxTransferShare * float64(q.Target))
}

// CrossingReason tells why a request was sent to another availability zone.
type CrossingReason string

// The reasons. Engines of the own zone that accept requests can still be full.
const (
	// CrossedForHome means that the engine had cached parts of the prompt, or that
	// the parts have affinity for it.
	CrossedForHome CrossingReason = "home"
	// CrossedCrowded means that the engines of the own zone were more loaded.
	CrossedCrowded CrossingReason = "crowded"
	// CrossedNoEngine means that no engine of the own zone accepted requests.
	CrossedNoEngine CrossingReason = "noEngine"
)

// CrossingReasons returns all reasons.
func CrossingReasons() []CrossingReason {
	return []CrossingReason{CrossedForHome, CrossedCrowded, CrossedNoEngine}
}

// Crossings counts what was sent to another availability zone.
type Crossings struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"`
}

// Crossings returns what was sent to other zones, by reason.
func (p *Pool) Crossings() map[CrossingReason]Crossings { return p.crossings }

// CountCrossing counts a request that is about to be granted an engine, if the two are
// in different zones.
func (p *Pool) CountCrossing(e *Engine, r *Prompt, now time.Duration) {
	if !p.crossesZone(r.Zone, e.Zone) {
		return
	}
	why := p.crossingReason(e, r, now)
	n := p.crossings[why]
	n.Requests++
	n.Bytes += int64(r.BodyBytes)
	p.crossings[why] = n
}

func (p *Pool) crossingReason(e *Engine, r *Prompt, now time.Duration) CrossingReason {
	accepting, cached := false, 0
	for _, o := range p.engines {
		if o.Zone == r.Zone && o.canDecode(now) {
			accepting, cached = true, max(cached, o.parts.Cached(r.Parts))
		}
	}
	chain, _ := sharedChain(r.Parts)
	switch {
	case !accepting:
		return CrossedNoEngine
	case e.parts.Cached(r.Parts) > cached || chain != 0 && p.rendezvous(chain, "", now) == e:
		return CrossedForHome
	}
	return CrossedCrowded
}
