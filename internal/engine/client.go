// Package engine speaks to model engines: OpenAI-compatible streaming over
// HTTP, cancel, resume, load reports and orders. See docs/PROTOCOLS.md.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/pkg/table"
)

// Headers of the protocol.
const (
	HeaderRequestID = "X-Request-Id"
)

// Paths of the protocol.
const (
	PathChat = "/v1/chat/completions"
	PathLoad = "/v1/load"
)

const (
	doneMarker = "[DONE]"
	// maxReport bounds a report's or an order's answer, in bytes.
	maxReport = 1 << 20
	// drainTimeout bounds the wait for the stream's end after its end marker.
	drainTimeout = time.Second
)

// Errors that tell how a chat ended.
var (
	// ErrNotSent says that no byte of the request reached the engine.
	ErrNotSent = endpoint.ErrNotSent
	// ErrRefused says that the engine refused the request unprocessed.
	ErrRefused = errors.New("the engine refused the request")
	// ErrTruncated says that the stream ended without its end marker.
	ErrTruncated = errors.New("the engine's answer is cut off")
	// ErrWrongAnswer says that the answer belongs to another request.
	ErrWrongAnswer = errors.New("the engine answered another request")
	// ErrSilent says that nothing came within the progress deadline.
	ErrSilent = endpoint.ErrSilent
	// ErrNoLoad says that the engine answered but reports no load.
	ErrNoLoad = errors.New("the engine reports no load")
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	sender *endpoint.Sender
}

// NewClient returns a client.
func NewClient(sender *endpoint.Sender) *Client {
	return &Client{sender: sender}
}

// Request is one chat request as sent to an engine.
type Request struct {
	ID   string
	Body []byte
	// Idempotent chats may be sent twice: again over a new connection when a
	// reused one dies before the answer.
	Idempotent bool
	// MayRepeat is asked before that; nil always allows it.
	MayRepeat func() bool
	// FirstToken bounds the time until the answer begins, and from there until
	// its first event; BetweenTokens bounds the time between events.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Stream is the engine's answer as it comes. It must be closed.
type Stream struct {
	answer *endpoint.Response
	events *eventReader
	// ctx is the stream's lifetime; its cause tells silence from a caller gone.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// timer is the progress deadline.
	timer   *time.Timer
	between time.Duration
	// marked is set once the end marker was seen.
	marked bool
}

// Chat sends a request, at most once unless it is idempotent, and returns the stream of its answer.
func (c *Client) Chat(ctx context.Context, e *table.Endpoint, r Request) (_ *Stream, err error) {
	s := &Stream{between: r.BetweenTokens}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	defer func() {
		if err != nil {
			s.cancel(nil)
		}
	}()
	s.answer, err = c.sender.Send(s.ctx, endpoint.Request{
		Method: http.MethodPost,
		URL:    e.URL + PathChat,
		Header: http.Header{
			"Content-Type":  {"application/json"},
			"Accept":        {"text/event-stream"},
			HeaderRequestID: {r.ID},
		},
		Body:       r.Body,
		Pooled:     true,
		Repeatable: r.Idempotent,
		MayRepeat:  r.MayRepeat,
		FirstByte:  r.FirstToken,
	})
	if err != nil {
		return nil, s.sendError(err)
	}
	if err := checkResponse(e, r.ID, s.answer.Response); err != nil {
		s.answer.Discard()
		return nil, err
	}
	s.timer = time.AfterFunc(r.FirstToken, func() { s.cancel(ErrSilent) })
	s.events = newEventReader(s.answer.Body)
	return s, nil
}

func (s *Stream) sendError(err error) error {
	switch {
	case errors.Is(err, ErrNotSent):
		return err
	case errors.Is(err, ErrSilent):
		return ErrSilent
	}
	return errors.Wrap(err, "send to engine")
}

func checkResponse(e *table.Endpoint, id string, resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("engine status %d", resp.StatusCode)
	case e.EchoesID && resp.Header.Get(HeaderRequestID) != id:
		return ErrWrongAnswer
	}
	return nil
}

func (s *Stream) isSilent() bool { return errors.Is(context.Cause(s.ctx), ErrSilent) }

// Next returns the data of the next event, valid until the next call. After
// the end marker it returns io.EOF; any other end is an error.
func (s *Stream) Next() ([]byte, error) {
	data, err := s.events.next()
	switch {
	case err != nil && s.isSilent():
		s.answer.DiscardStalled()
		return nil, ErrSilent
	case errors.Is(err, ErrGarbage):
		return nil, err
	case err != nil:
		return nil, errors.Wrap(ErrTruncated, err.Error())
	case string(data) == doneMarker:
		s.timer.Stop()
		s.marked = true
		return nil, io.EOF
	}
	s.timer.Reset(s.between)
	return data, nil
}

// Close ends the stream. Closing it before its end marker cancels the request
// at the engine, which sees its connection go.
func (s *Stream) Close() {
	s.timer.Stop()
	if s.marked {
		go s.drain()
		return
	}
	s.cancel(nil)
	s.answer.Discard()
}

// drain reads what follows the end marker, so that the connection can be used
// again. Anything but blank lines there is not part of this answer: the
// connection is then closed, so that no other request can read it.
func (s *Stream) drain() {
	defer s.cancel(nil)
	stop := time.AfterFunc(drainTimeout, func() { s.cancel(nil) })
	defer stop.Stop()
	if _, err := s.events.next(); !errors.Is(err, io.EOF) {
		s.answer.Discard()
		return
	}
	s.answer.Close()
}

// Load is an engine's report of its load, which lags.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUse is the used share of the cache, 0 to 1.
	KVUse float64 `json:"kvUse"`
}

// Load asks an engine for its load.
func (c *Client) Load(ctx context.Context, e *table.Endpoint) (load Load, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "load of %s", e.Name)
		}
	}()
	answer, err := c.sender.Send(ctx, endpoint.Request{Method: http.MethodGet, URL: e.URL + PathLoad, Header: http.Header{}, Pooled: true, Repeatable: true})
	if err != nil {
		return load, err
	}
	defer answer.Close()
	if answer.StatusCode != http.StatusOK {
		return load, errors.Wrapf(ErrNoLoad, "status %d", answer.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReport)).Decode(&load); err != nil {
		return load, errors.Wrap(ErrNoLoad, err.Error())
	}
	return load, nil
}
