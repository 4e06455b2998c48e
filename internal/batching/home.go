package batching

import (
	"time"

	"github.com/beechhead/beechhead/internal/stat"
)

// Each chain of shared parts belongs to one engine, its home, which follows from
// the parts and the engines alone. A coordinator that takes a cell over does not
// know what the engines keep; it finds most of it where the one before it had
// the parts read, and two coordinators at once have them read at one engine.

// findHome notes where the parts of a prompt belong that no engine is known to
// keep. The last part is left out: it is mostly the request's own.
func (p *Pool) findHome(c *Candidate, now time.Duration) {
	if len(c.Parts) < 2 || p.off(Home) {
		return
	}
	tokens, chain := 0, uint64(0)
	for _, part := range c.Parts[:len(c.Parts)-1] {
		tokens += part.Tokens
		chain = stat.Mix(chain ^ part.ID)
	}
	if tokens <= c.kept {
		return
	}
	c.homeless = tokens - c.kept
	best := uint64(0)
	for _, e := range p.engines {
		if e.Memory == 0 || e.Closed || e.Paced(now) || e.Ejected(now) {
			continue
		}
		if score := stat.Mix(chain ^ e.hash); c.home == nil || score > best {
			c.home, best = e, score
		}
	}
}
