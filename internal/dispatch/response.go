package dispatch

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
)

// response is the part of the response to a chat request that the caller has
// received.
type response struct {
	text []byte
	// id is the id of the first chunk. The caller sees the same id in all
	// chunks.
	id string
	// chunks counts the chunks with text.
	chunks int
	// opaque is set if the response contains anything other than the text of a
	// single choice, which no engine can continue.
	opaque bool
	// finished is set once a finish reason was received.
	finished bool
}

// add records a chunk and reports whether it contains text.
func (r *response) add(c *engine.Chunk) bool {
	if r.id == "" {
		r.id = c.ID
	}
	if c.HasNonTextParts() {
		r.opaque = true
	}
	if c.HasFinishReason() {
		r.finished = true
	}
	text := c.Text()
	if text == "" {
		return false
	}
	r.chunks++
	r.text = append(r.text, text...)
	return true
}

// hasID reports whether a chunk has the id that the caller has seen, if any.
func (r *response) hasID(c *engine.Chunk) bool { return r.id == "" || r.id == c.ID }

// resumable reports whether another engine can continue the response.
func (r *response) resumable() bool { return !r.opaque && !r.finished }

// checkEnd verifies that the response is complete when its end marker arrives.
func (r *response) checkEnd() error {
	if !r.finished {
		return errors.Wrap(engine.ErrTruncated, "an end marker without a reason for the end")
	}
	return nil
}

// rewrite makes a chunk of a resumed response consistent with the chunks before
// it: it replaces the id by that of the first chunk, and makes the usage cover
// the whole response.
func (r *response) rewrite(data []byte, c *engine.Chunk) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Wrap(engine.ErrMalformed, err.Error())
	}
	c.ID = r.id
	id, err := json.Marshal(c.ID)
	if err != nil {
		return nil, err
	}
	fields["id"] = id
	if c.Usage == nil {
		return json.Marshal(fields)
	}
	r.correctUsage(c.Usage)
	usage, err := json.Marshal(c.Usage)
	if err != nil {
		return nil, err
	}
	fields["usage"] = usage
	return json.Marshal(fields)
}

// correctUsage corrects the usage reported by an engine that resumed a
// response: the engine counted the text generated before as part of the prompt.
// Each chunk of the earlier engine counts as one token.
func (r *response) correctUsage(u *engine.Usage) {
	completion := max(r.chunks, u.CompletionTokens)
	u.PromptTokens = max(u.TotalTokens-completion, 0)
	u.CompletionTokens = completion
}
