package batching

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechhead/beechhead/internal/stat"
)

// A sequence of shared prompt parts has affinity for one engine, which is chosen
// by rendezvous hashing over the parts and the engines alone. A coordinator that
// takes over a cell does not know what the engines have cached, but sends the
// parts to the same engines as its predecessor, where most of them still are. Two
// coordinators that are active at once send them to the same engine as well.
//
// Parts that are requested again and again in one availability zone have affinity
// for an engine there, chosen in the same way among the engines of the zone: the
// bytes that stay in the zone are worth the memory of a second copy. Parts that are
// requested rarely keep the one engine for all zones.

// zonedChain is a sequence of shared parts as requested by the hosts of one zone.
type zonedChain uint64

// sharedChain returns a hash of the parts of a prompt that other prompts may have, and
// their size. The last part is ignored, because it is rarely shared.
func sharedChain(parts []Part) (chain uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	for _, part := range parts[:len(parts)-1] {
		tokens += part.Tokens
		chain = stat.Mix(chain ^ part.ID)
	}
	return chain, tokens
}

// inZone returns the chain as requested in a zone.
func inZone(chain uint64, zone string) zonedChain {
	return zonedChain(stat.Mix(chain ^ xxhash.Sum64String(zone)))
}

// findAffinity sets the engine for the parts of a prompt that no engine is known
// to have cached.
func (p *Pool) findAffinity(c *Candidate, now time.Duration) {
	chain, tokens := sharedChain(c.Parts)
	if tokens <= c.cached || p.isDisabled(Home) {
		return
	}
	c.affinityTokens = tokens - c.cached
	if p.isFrequent(chain, c.Zone, now) {
		c.affinityEngine = p.rendezvous(chain, c.Zone, now)
	}
	if c.affinityEngine == nil {
		c.affinityEngine = p.rendezvous(chain, "", now)
	}
}

// rendezvous returns the engine with the highest score for a chain among those of a
// zone, or of all zones if zone is empty.
func (p *Pool) rendezvous(chain uint64, zone string, now time.Duration) (best *Engine) {
	highest := uint64(0)
	for _, e := range p.engines {
		if e.Memory == 0 || e.Closed || zone != "" && e.Zone != zone || e.RateLimited(now) || e.Ejected(now) {
			continue
		}
		if score := stat.Mix(chain ^ e.hash); best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// isFrequent reports whether a chain was requested in a zone so recently that engines
// still have the copy that was made then.
func (p *Pool) isFrequent(chain uint64, zone string, now time.Duration) bool {
	if !p.zoned || zone == "" || p.isDisabled(ZoneHome) {
		return false
	}
	used, ok := p.lastZoneUse[inZone(chain, zone)]
	return ok && now-used < recentUse
}

// recordZoneUse records that a chain was requested in a zone.
func (p *Pool) recordZoneUse(r *Prompt, now time.Duration) {
	if !p.zoned || r.Zone == "" {
		return
	}
	if chain, tokens := sharedChain(r.Parts); tokens > 0 {
		remember(p.lastZoneUse, inZone(chain, r.Zone), now)
	}
}
