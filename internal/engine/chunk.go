package engine

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Chunk holds the fields of a streamed event that the router uses.
type Chunk struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Created int64    `json:"created"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Error is set by engines that fail while they stream a response.
	Error json.RawMessage `json:"error,omitempty"`
}

// Choice is one of a chunk's alternative completions.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the addition of a chunk to a choice.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
	// Calls, Reasoning and Refusal are parts other than the text.
	Calls     json.RawMessage `json:"tool_calls,omitempty"`
	Reasoning *string         `json:"reasoning_content,omitempty"`
	Refusal   *string         `json:"refusal,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ErrFailed means that the engine reported a failure in the stream.
var ErrFailed = errors.New("the engine failed")

// ParseChunk parses the data of an event.
func ParseChunk(data []byte) (c Chunk, err error) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return c, ErrFailed
	}
	if c.Choices == nil && c.Usage == nil {
		return c, errors.Wrap(ErrMalformed, "neither choices nor usage")
	}
	return c, nil
}

// Text returns the text that the chunk adds to the response.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// HasNonTextParts reports whether the chunk has parts other than the text of a single
// choice.
func (c *Chunk) HasNonTextParts() bool {
	for i := range c.Choices {
		d := &c.Choices[i].Delta
		calls := len(d.Calls) > 0 && string(d.Calls) != "null"
		if c.Choices[i].Index > 0 || calls || d.Reasoning != nil || d.Refusal != nil {
			return true
		}
	}
	return false
}

// HasFinishReason reports whether the chunk has a finish reason.
func (c *Chunk) HasFinishReason() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil && *c.Choices[0].FinishReason != ""
}
