// Package service speaks to plain services: it passes method, path, query,
// headers and body through unchanged, and the answer back.
package service

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/pkg/table"
)

// Errors that tell how far a call went. All but ErrNotSent leave open whether
// the service executed the request.
var (
	// ErrNotSent says that no byte of the request was written.
	ErrNotSent = endpoint.ErrNotSent
	// ErrUnknown says that no answer came.
	ErrUnknown = errors.New("no answer from the service")
	// ErrSilent says that the answer did not begin within its deadline.
	ErrSilent = endpoint.ErrSilent
	// ErrTruncated says that the answer ended before its length, or that it
	// gave no length to check it by.
	ErrTruncated = errors.New("the service's answer is cut off")
	// ErrWrongAnswer says that the answer belongs to another request.
	ErrWrongAnswer = errors.New("the service answered another request")
	// ErrTooLarge says that the answer exceeds what is passed on.
	ErrTooLarge = errors.New("the service's answer is too large")
)

const headerRequestID = "X-Request-Id"

// maxAnswer is in bytes.
const maxAnswer = 64 << 20

// Request is one call.
type Request struct {
	ID     string
	Method string
	// Path is the path and query after the service's name, as received.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent calls may be sent twice: again over a new connection when a
	// reused one dies before the answer.
	Idempotent bool
	// MayRepeat is asked before that; nil always allows it.
	MayRepeat func() bool
	// FirstByte bounds the time until the answer begins; zero leaves it to
	// Timeout.
	FirstByte time.Duration
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Response is the whole answer.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Replayed marks the stored answer of an earlier call.
	Replayed bool `json:"-"`
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	sender *endpoint.Sender
	// maxAnswer is in bytes.
	maxAnswer int64
}

// NewClient returns a client.
func NewClient(sender *endpoint.Sender) *Client {
	return &Client{sender: sender, maxAnswer: maxAnswer}
}

// Do sends a request, at most once unless it is idempotent. An answer of any status is an execution.
func (c *Client) Do(ctx context.Context, e *table.Endpoint, r Request) (resp *Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	answer, err := c.sender.Send(ctx, endpoint.Request{
		Method: r.Method, URL: e.URL + r.Path, Header: requestHeader(r), Body: r.Body,
		Pooled: r.Idempotent, Repeatable: r.Idempotent, MayRepeat: r.MayRepeat, FirstByte: r.FirstByte,
	})
	if err != nil {
		return nil, sendError(err)
	}
	return c.read(e, r.ID, answer)
}

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
	if errors.Is(err, ErrNotSent) || errors.Is(err, ErrSilent) {
		return err
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

// read checks the answer and reads it whole.
func (c *Client) read(e *table.Endpoint, id string, answer *endpoint.Response) (*Response, error) {
	if e.EchoesID && answer.Header.Get(headerRequestID) != id {
		answer.Discard()
		return nil, ErrWrongAnswer
	}
	if !lengthKnown(answer.Response) {
		answer.Discard()
		return nil, errors.Wrap(ErrTruncated, "neither Content-Length nor chunks")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, c.maxAnswer+1))
	if err != nil {
		answer.Discard()
		return nil, errors.Wrap(ErrTruncated, err.Error())
	}
	if int64(len(body)) > c.maxAnswer {
		answer.Discard()
		return nil, ErrTooLarge
	}
	answer.Close()
	return &Response{Status: answer.StatusCode, Header: EndToEnd(answer.Header), Body: body}, nil
}

// lengthKnown tells whether a truncated body would be noticed. A body that
// ends with its connection looks complete wherever it breaks off.
func lengthKnown(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
