package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// A sequence of shared prompt parts has affinity for one engine, which is chosen
// by rendezvous hashing over the parts and the engines alone. A coordinator that
// takes over a cell does not know what the engines have cached, but sends the
// parts to the same engines as its predecessor, where most of them still are. Two
// coordinators that are active at once send them to the same engine as well.

// findAffinity sets the engine for the parts of a prompt that no engine is known
// to have cached. The last part is ignored, because it is rarely shared.
func (p *Pool) findAffinity(c *Candidate, now time.Duration) {
	if len(c.Parts) < 2 || p.isDisabled(Home) {
		return
	}
	tokens, chain := 0, uint64(0)
	for _, part := range c.Parts[:len(c.Parts)-1] {
		tokens += part.Tokens
		chain = stat.Mix(chain ^ part.ID)
	}
	if tokens <= c.cached {
		return
	}
	c.affinityTokens = tokens - c.cached
	best := uint64(0)
	for _, e := range p.engines {
		if e.Memory == 0 || e.Closed || e.RateLimited(now) || e.Ejected(now) {
			continue
		}
		if score := stat.Mix(chain ^ e.hash); c.affinityEngine == nil || score > best {
			c.affinityEngine, best = e, score
		}
	}
}
