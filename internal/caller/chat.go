package caller

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/dispatch"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/quarantine"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// bytesPerToken is an approximate length of a prompt's token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's beginning that determines
	// prefix affinity.
	prefixBytes = 1024
)

// chatBody holds the fields of a chat request that the router uses.
type chatBody struct {
	Model         table.Pool      `json:"model"`
	Stream        bool            `json:"stream"`
	StreamOptions streamOptions   `json:"stream_options"`
	N             *int            `json:"n"`
	Messages      json.RawMessage `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chat handles a chat request.
func (s *Server) chat(c *echo.Context) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	chat, b, err := parseChat(c, body)
	if err != nil {
		return err
	}
	record := s.Attainment.Begin(chat.Class)
	if b.Stream {
		err = s.streamChat(c, chat, record, b.StreamOptions.IncludeUsage)
	} else {
		err = s.completeChat(c, chat, record)
	}
	record.End(err)
	return err
}

func parseChat(c *echo.Context, body []byte) (*dispatch.Chat, *chatBody, error) {
	var b chatBody
	fields := map[string]json.RawMessage{}
	if err := errors.Join(json.Unmarshal(body, &b), json.Unmarshal(body, &fields)); err != nil {
		return nil, nil, outcome.NotRunError(outcome.ReasonBadRequest, "the body is not a chat request: "+err.Error())
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return nil, nil, outcome.NotRunError(outcome.ReasonBadRequest, "messages must be a list with at least one message")
	}
	if b.N != nil && *b.N != 1 {
		return nil, nil, outcome.NotRunError(outcome.ReasonBadRequest, "n must be 1, since an answer with several choices can't be resumed")
	}
	cl, err := class(c)
	if err != nil {
		return nil, nil, err
	}
	if !slices.Contains(cl.Pools, b.Model) || tableInForce(c).Table.PoolKind(b.Model) != table.KindEngine {
		return nil, nil, outcome.NotRunError(outcome.ReasonUnknownModel, "class "+string(cl.Name)+" has no model "+string(b.Model))
	}
	r := c.Request()
	return &dispatch.Chat{
		ID:           requestID(c),
		Fingerprint:  quarantine.FingerprintOf(account(c).Name, r.Method, "", r.URL.RequestURI(), body),
		Account:      account(c).Name,
		Class:        cl,
		Pool:         b.Model,
		Fields:       fields,
		PromptTokens: len(b.Messages) / bytesPerToken,
		Prefix:       xxhash.Sum64(b.Messages[:min(len(b.Messages), prefixBytes)]),
	}, &b, nil
}

// streamChat forwards events as they arrive. Nothing is written before the
// first event, so that a refusal can still have its own status.
func (s *Server) streamChat(c *echo.Context, chat *dispatch.Chat, record *attainment.Request, usage bool) error {
	w := newEventWriter(c.Response(), c.Request(), s.StallTimeout)
	err := s.Dispatcher.Chat(c.Request().Context(), chat, func(data []byte, chunk *engine.Chunk) error {
		if isUsage(chunk) && !usage {
			return nil
		}
		if chunk.Text() != "" {
			record.RecordToken()
		}
		return w.writeEvent(data)
	})
	switch {
	case err == nil:
		return w.writeEndMarker()
	case w.started:
		return w.writeError(err)
	}
	return err
}

// isUsage reports whether a chunk only has token counts. Engines are always
// asked for such a chunk; callers that did not ask for it may not expect a
// chunk without choices.
func isUsage(chunk *engine.Chunk) bool { return chunk.Usage != nil && len(chunk.Choices) == 0 }
