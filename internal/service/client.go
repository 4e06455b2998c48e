// Package service forwards calls to plain services: method, path, query,
// headers and body unchanged, and the response back to the caller.
package service

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/responseroom"
	"github.com/beechhead/beechhead/pkg/table"
)

// Errors that tell how far a call got. After any of them but ErrNotSent, the
// service may have executed the request.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = endpoint.ErrNotSent
	// ErrNoResponse means that no response was received.
	ErrNoResponse = errors.New("no answer from the service")
	// ErrTruncated means that the response ended before its stated length, or
	// that it has no length by which to detect truncation.
	ErrTruncated = errors.New("the service's answer is cut off")
	// ErrWrongResponse means that the response belongs to another request.
	ErrWrongResponse = errors.New("the service answered another request")
	// ErrTooLarge means that the response exceeds the size limit.
	ErrTooLarge = errors.New("the service's answer is too large")
)

const headerRequestID = "X-Request-Id"

// maxResponseBody bounds the body of a response, in bytes.
const maxResponseBody = 64 << 20

// Request is a call of a service.
type Request struct {
	ID     string
	Method string
	// Path is the path and query after the service's name, as received.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent calls may be sent twice: they are repeated on a new connection
	// if a reused one is lost before the response.
	Idempotent bool
	// MayRepeat is called before a repeat and reports whether it is allowed;
	// nil always allows it.
	MayRepeat func() bool
	// NewConnection keeps the request from using a connection that may have
	// stalled.
	NewConnection bool
	// OnBegun is called, if set, when the header of the response was received.
	OnBegun func()
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Replayed marks the stored response to an earlier call.
	Replayed bool `json:"-"`
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	sender *endpoint.Sender
	// maxBody bounds the body of a response, in bytes.
	maxBody int
	// Room bounds what responses hold until they are complete; nil means no bound. It must
	// be set before use.
	Room *responseroom.Room
}

// NewClient returns a client.
func NewClient(sender *endpoint.Sender) *Client {
	return &Client{sender: sender, maxBody: maxResponseBody}
}

// Do sends a request, at most once unless it is idempotent. A response with any
// status counts as an execution.
func (c *Client) Do(ctx context.Context, e *table.Endpoint, r Request) (resp *Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	response, err := c.sender.Send(ctx, endpoint.Request{
		Method: r.Method, URL: e.URL + r.Path, Header: requestHeader(r), Body: r.Body,
		Pooled: r.Idempotent && !r.NewConnection, Repeatable: r.Idempotent, MayRepeat: r.MayRepeat,
	})
	if err != nil {
		return nil, sendError(err)
	}
	if r.OnBegun != nil {
		r.OnBegun()
	}
	holding := c.Room.Open(cancel)
	defer holding.Close()
	return c.readResponse(e, r.ID, response, holding)
}

// CloseIdle closes the idle connections to a service, so that the next requests
// open new ones.
func (c *Client) CloseIdle(e *table.Endpoint) { c.sender.CloseIdle(e.URL) }

func requestHeader(r Request) http.Header {
	h := EndToEnd(r.Header)
	h.Set(headerRequestID, r.ID)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	return h
}

func sendError(err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return errors.Wrap(ErrNoResponse, err.Error())
}

// readResponse validates the response and reads its body.
func (c *Client) readResponse(e *table.Endpoint, id string, response *endpoint.Response, holding *responseroom.Holding) (*Response, error) {
	if e.EchoesID && response.Header.Get(headerRequestID) != id {
		response.Discard()
		return nil, ErrWrongResponse
	}
	if !hasVerifiableLength(response.Response) {
		response.Discard()
		return nil, errors.Wrap(ErrTruncated, "neither Content-Length nor chunks")
	}
	body, err := holding.ReadAll(response.Body, c.maxBody+1)
	if err == nil && len(body) <= c.maxBody {
		response.Close()
		return &Response{Status: response.StatusCode, Header: EndToEnd(response.Header), Body: body}, nil
	}
	response.Discard()
	switch {
	case err == nil:
		return nil, ErrTooLarge
	case errors.Is(err, responseroom.ErrNoRoom), holding.HasGivenWay():
		return nil, errors.Wrap(ErrTooLarge, responseroom.ErrNoRoom.Error())
	}
	return nil, errors.Wrap(ErrTruncated, err.Error())
}

// hasVerifiableLength reports whether truncation of the body can be detected.
// If the end of the body is only marked by the end of the connection, a
// truncated body looks complete.
func hasVerifiableLength(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
