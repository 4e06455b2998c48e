// Package engine is a client for model engines: OpenAI-compatible streaming
// over HTTP, cancelling and resuming of requests, load reports, and orders to
// load a model. See docs/PROTOCOLS.md.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/responseroom"
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
	endMarker = "[DONE]"
	// maxReportSize bounds the response to a load or state request, in bytes.
	maxReportSize = 1 << 20
	// drainTimeout bounds the wait for the end of a stream after its end
	// marker.
	drainTimeout = time.Second
)

// Errors that tell how a chat request ended.
var (
	// ErrNotSent means that no byte of the request was written to the engine.
	ErrNotSent = endpoint.ErrNotSent
	// ErrRefused means that the engine refused the request without processing
	// it.
	ErrRefused = errors.New("the engine refused the request")
	// ErrUnattributed means that a refusal was received that names no request and may
	// answer an earlier one on its connection.
	ErrUnattributed = errors.New("a refusal that may answer another request")
	// ErrTruncated means that the stream ended without its end marker.
	ErrTruncated = errors.New("the engine's answer is cut off")
	// ErrWrongResponse means that the response belongs to another request.
	ErrWrongResponse = errors.New("the engine answered another request")
	// ErrNoLoad means that the engine responded but does not report its load.
	ErrNoLoad = errors.New("the engine reports no load")
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	sender *endpoint.Sender
	// Room bounds what events hold until they are complete; nil means no bound. It must be
	// set before use.
	Room *responseroom.Room
}

// NewClient returns a client.
func NewClient(sender *endpoint.Sender) *Client {
	return &Client{sender: sender}
}

// Request is a chat request as sent to an engine.
type Request struct {
	ID   string
	Body []byte
	// Idempotent chats may be sent twice: they are repeated on a new connection
	// if a reused one is lost before the response.
	Idempotent bool
	// MayRepeat is called before a repeat and reports whether it is allowed;
	// nil always allows it.
	MayRepeat func() bool
	// NewConnection keeps the request from using a connection that may have
	// stalled.
	NewConnection bool
}

// Stream is an engine's streamed response. It must be closed.
type Stream struct {
	response *endpoint.Response
	events   *eventReader
	// cancel ends the stream.
	cancel context.CancelFunc
	// holding accounts for the largest event.
	holding *responseroom.Holding

	// endMarkerSeen is set once the end marker was read.
	endMarkerSeen bool
}

// Chat sends a request, at most once unless it is idempotent, and returns its
// streamed response. Silence ends neither the call nor the stream; ctx does.
func (c *Client) Chat(ctx context.Context, e *table.Endpoint, r Request) (_ *Stream, err error) {
	s := &Stream{}
	ctx, s.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			s.cancel()
		}
	}()
	s.response, err = c.sender.Send(ctx, endpoint.Request{
		Method: http.MethodPost,
		URL:    e.URL + PathChat,
		Header: http.Header{
			"Content-Type":  {"application/json"},
			"Accept":        {"text/event-stream"},
			HeaderRequestID: {r.ID},
		},
		Body:       r.Body,
		Pooled:     !r.NewConnection,
		Repeatable: r.Idempotent,
		MayRepeat:  r.MayRepeat,
	})
	if errors.Is(err, ErrNotSent) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Wrap(err, "send to engine")
	}
	if err := checkResponse(e, r.ID, s.response); err != nil {
		s.response.Discard()
		return nil, err
	}
	s.holding = c.Room.Open(s.cancel)
	s.events = newEventReader(s.response.Body)
	s.events.hasRoom = s.holding.Resize
	return s, nil
}

// CloseIdle closes the idle connections to an engine, so that the next requests
// open new ones.
func (c *Client) CloseIdle(e *table.Endpoint) { c.sender.CloseIdle(e.URL) }

func checkResponse(e *table.Endpoint, id string, resp *endpoint.Response) error {
	named := resp.Header.Get(HeaderRequestID)
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	switch {
	case refused && named != "" && named != id:
		return ErrWrongResponse
	case refused && named == "" && resp.Reused:
		return errors.Wrapf(ErrUnattributed, "status %d", resp.StatusCode)
	case refused:
		return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("engine status %d", resp.StatusCode)
	case e.EchoesID && named != id:
		return ErrWrongResponse
	}
	return nil
}

// Next returns the data of the next event, which is valid until the next call.
// After the end marker it returns io.EOF; if the stream ends in any other way,
// it returns another error.
func (s *Stream) Next() ([]byte, error) {
	data, err := s.events.next()
	switch {
	case errors.Is(err, ErrMalformed):
		return nil, err
	case err != nil:
		return nil, errors.Wrap(ErrTruncated, err.Error())
	case string(data) == endMarker:
		s.endMarkerSeen = true
		return nil, io.EOF
	}
	return data, nil
}

// Close ends the stream. If the end marker was not read yet, it closes the
// connection, which cancels the request at the engine.
func (s *Stream) Close() {
	s.holding.Close()
	if s.endMarkerSeen {
		go s.drain()
		return
	}
	s.cancel()
	s.response.Discard()
}

// drain reads the rest of the response after the end marker, so that the
// connection can be reused. If anything but blank lines follows, it does not
// belong to this response, and the connection is closed so that no other
// request can read it.
func (s *Stream) drain() {
	defer s.cancel()
	stop := time.AfterFunc(drainTimeout, s.cancel)
	defer stop.Stop()
	if _, err := s.events.next(); !errors.Is(err, io.EOF) {
		s.response.Discard()
		return
	}
	s.response.Close()
}

// Load is an engine's load report, which lags behind its actual load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUse is the used fraction of the KV cache, 0 to 1.
	KVUse float64 `json:"kvUse"`
}

// Load requests an engine's load report.
func (c *Client) Load(ctx context.Context, e *table.Endpoint) (load Load, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "read load of %s", e.Name)
		}
	}()
	response, err := c.sender.Send(ctx, endpoint.Request{Method: http.MethodGet, URL: e.URL + PathLoad, Header: http.Header{}, Pooled: true, Repeatable: true})
	if err != nil {
		return load, err
	}
	defer response.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Wrapf(ErrNoLoad, "status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportSize)).Decode(&load); err != nil {
		return load, errors.Wrap(ErrNoLoad, err.Error())
	}
	return load, nil
}
