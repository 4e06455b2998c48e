package batching

import "time"

// A stream on an engine with continuous prefill is slow, because each of its
// decode steps also processes a chunk of a prompt. Its first token is in time, but
// a gap between two events exceeds the promised one, and the whole response is
// late. So streams with short promised gaps are separated from prompts with a
// long prefill: each adds to the cost of an engine for the other.

const (
	// insensitiveGap is the promised gap from which on prefill does not
	// matter to a class, sensitiveGap the one up to which it matters fully.
	insensitiveGap = 400 * time.Millisecond
	sensitiveGap   = 200 * time.Millisecond
	// longResponse is the length in tokens from which on a stream is fully
	// sensitive. A shorter stream ends before much prefill runs beside it.
	longResponse = 150
	// interferencePenalty is the additional backlog that a fully sensitive
	// stream accepts to avoid an engine with continuous prefill.
	interferencePenalty = 400 * time.Millisecond
	// referencePrompt is the prompt length, in tokens, at which interference is
	// proportional to prefill time with factor 1. The chunks of a longer prompt
	// take longer, since attention grows with the tokens before them, and cause
	// too long gaps; a short prefill ends within one event.
	// maxInterferenceFactor limits the factor.
	referencePrompt       = 10_000
	maxInterferenceFactor = 3
	// interferenceWeight is the relative increase of a prefill's cost for each
	// fully sensitive stream on the engine.
	interferenceWeight = 0.1
)

// sensitivity returns how strongly prefill on the same engine delays a request's
// stream, from 0 to 1.
func (q *Class) sensitivity(r *Prompt) float64 {
	if q.Pause == 0 || q.Pause >= insensitiveGap {
		return 0
	}
	gapFactor := min(1, float64(insensitiveGap-q.Pause)/float64(insensitiveGap-sensitiveGap))
	return gapFactor * min(1, float64(r.ResponseTokens)/longResponse)
}

// interferenceFactor returns how strongly the prefill of a prompt delays the
// streams on its engine, relative to its prefill time.
func interferenceFactor(promptTokens int) float64 {
	return min(maxInterferenceFactor, float64(promptTokens)/referencePrompt)
}
