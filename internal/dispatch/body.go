package dispatch

import (
	"encoding/json"
	"maps"

	"github.com/go-faster/errors"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// lengthFields are the request fields that limit the length of the response in
// tokens.
var lengthFields = []string{"max_tokens", "max_completion_tokens"}

// requestBody returns the body of the request to the next engine. After a
// failed attempt it contains the text that the caller has already received, as
// a partial response for the engine to continue.
func (r *chatRun) requestBody() ([]byte, error) {
	fields := maps.Clone(r.chat.Fields)
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	priority, err := json.Marshal(r.chat.Class.Tier)
	if err != nil {
		return nil, err
	}
	fields["priority"] = priority
	if err := r.limitLength(fields); err != nil {
		return nil, err
	}
	if len(r.response.text) > 0 {
		if err := continueFrom(fields, string(r.response.text)); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// limitLength applies the class's token limit to the response and subtracts
// what the caller has already received, because engines count only the tokens
// that they generate themselves.
func (r *chatRun) limitLength(fields map[string]json.RawMessage) error {
	limit := r.chat.Class.Limits.Tokens
	name := lengthFields[0]
	for _, f := range lengthFields {
		var n int
		if json.Unmarshal(fields[f], &n) == nil && n > 0 {
			name = f
			if limit == 0 || n < limit {
				limit = n
			}
		}
	}
	if limit == 0 {
		return nil
	}
	remaining, err := json.Marshal(max(limit-r.response.chunks, 1))
	fields[name] = remaining
	return err
}

// continueFrom makes the request ask for the rest of a response that begins
// with text. If the request already contains the beginning of a response
// written by the caller, text is appended to it.
func continueFrom(fields map[string]json.RawMessage, text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return errors.Wrap(err, "messages")
	}
	partial := message{Role: "assistant"}
	if n := len(messages); n > 0 && string(fields["continue_final_message"]) == "true" {
		if err := json.Unmarshal(messages[n-1], &partial); err != nil {
			return errors.Wrap(err, "the last message")
		}
		messages = messages[:n-1]
	}
	partial.Content += text
	last, err := json.Marshal(partial)
	if err != nil {
		return err
	}
	all, err := json.Marshal(append(messages, last))
	if err != nil {
		return err
	}
	fields["messages"] = all
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	return nil
}
