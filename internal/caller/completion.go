package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/dispatch"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/outcome"
)

// completion is a complete response in OpenAI's format, assembled from the
// chunks of a stream. Members that the router does not know are kept as the
// engine sent them.
type completion struct {
	// top holds the members other than the choices, as in the last chunk that had
	// them.
	top map[string]json.RawMessage
	// choice holds the members of the only choice, without its message.
	choice  map[string]any
	message map[string]any
}

func newCompletion() *completion {
	return &completion{
		top:     map[string]json.RawMessage{},
		choice:  map[string]any{"index": 0, "finish_reason": nil},
		message: map[string]any{"role": "assistant", "content": ""},
	}
}

// addChunk adds one chunk.
func (g *completion) addChunk(data []byte) error {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(data, &top); err != nil {
		return errors.Wrap(engine.ErrMalformed, err.Error())
	}
	var choices []map[string]any
	if raw, ok := top["choices"]; ok {
		if err := json.Unmarshal(raw, &choices); err != nil {
			return errors.Wrap(engine.ErrMalformed, err.Error())
		}
	}
	delete(top, "choices")
	setNonNull(g.top, top)
	if len(choices) == 0 {
		return nil
	}
	delta, _ := choices[0]["delta"].(map[string]any)
	delete(choices[0], "delta")
	// The text is concatenated separately, so that a long response is not
	// copied for every chunk.
	delete(delta, "content")
	merge(g.choice, choices[0])
	merge(g.message, delta)
	return nil
}

// setNonNull copies the members that are not null.
func setNonNull(into, from map[string]json.RawMessage) {
	for name, raw := range from {
		if string(raw) != "null" {
			into[name] = raw
		}
	}
}

// concatenated are the members of a delta that are fragments of a text; other
// strings are complete and replace the previous value.
var concatenated = map[string]bool{"content": true, "refusal": true, "reasoning": true, "reasoning_content": true, "arguments": true}

// merge applies a delta: it concatenates text fragments, merges objects, and
// merges the items of lists by their index, as tool calls require.
func merge(into, delta map[string]any) {
	for name, v := range delta {
		switch v := v.(type) {
		case nil:
		case string:
			old, _ := into[name].(string)
			if concatenated[name] {
				v = old + v
			}
			into[name] = v
		case map[string]any:
			old, ok := into[name].(map[string]any)
			if !ok {
				old = map[string]any{}
			}
			merge(old, v)
			into[name] = old
		case []any:
			old, _ := into[name].([]any)
			into[name] = mergeList(old, v)
		default:
			into[name] = v
		}
	}
}

func mergeList(into, delta []any) []any {
	for _, item := range delta {
		object, ok := item.(map[string]any)
		index, numbered := object["index"].(float64)
		if !ok || !numbered {
			into = append(into, item)
			continue
		}
		into = mergeItem(into, index, object)
	}
	return into
}

func mergeItem(into []any, index float64, object map[string]any) []any {
	for _, old := range into {
		if o, ok := old.(map[string]any); ok && o["index"] == index {
			merge(o, object)
			return into
		}
	}
	added := map[string]any{}
	merge(added, object)
	return append(into, added)
}

// encode returns the complete response as JSON.
func (g *completion) encode() (data []byte, err error) {
	if calls, ok := g.message["tool_calls"].([]any); ok {
		withoutIndex(calls)
		if g.message["content"] == "" {
			g.message["content"] = nil
		}
	}
	g.choice["message"] = g.message
	choices, err := json.Marshal([]map[string]any{g.choice})
	if err != nil {
		return nil, err
	}
	g.top["choices"] = choices
	g.top["object"] = json.RawMessage(`"chat.completion"`)
	return json.Marshal(g.top)
}

// withoutIndex removes the indexes that only streamed chunks have.
func withoutIndex(calls []any) {
	for _, call := range calls {
		if o, ok := call.(map[string]any); ok {
			delete(o, "index")
		}
	}
}

// completeChat assembles the events into one response.
func (s *Server) completeChat(c *echo.Context, chat *dispatch.Chat, record *attainment.Request) error {
	g := newCompletion()
	var text strings.Builder
	err := s.Dispatcher.Chat(c.Request().Context(), chat, func(data []byte, chunk *engine.Chunk) error {
		if piece := chunk.Text(); piece != "" {
			record.RecordToken()
			text.WriteString(piece)
		}
		return g.addChunk(data)
	})
	if err != nil {
		return err
	}
	g.message["content"] = text.String()
	data, err := g.encode()
	if err != nil {
		return err
	}
	c.Response().Header().Set(HeaderOutcome, string(outcome.Done))
	s.setWriteDeadline(c)
	return c.JSONBlob(http.StatusOK, data)
}
