package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/caller"
	"github.com/beechhead/beechhead/internal/outcome"
)

// Client sends requests as one caller. It is safe for concurrent use.
type Client struct {
	book *Book
	http *http.Client
}

// New returns a client that follows the addresses of its zone, beginning with
// those given.
func New(zone string, addresses []string) *Client {
	h := &http.Client{Transport: NewTransport()}
	return &Client{book: NewBook(h, zone, addresses), http: h}
}

// NewTransport returns a transport for many requests at once.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request of a caller.
type Request struct {
	// Path and Body go to the daemon as they are.
	Path  string
	Body  []byte
	Key   string
	Class string
	// IdempotencyKey is set for calls that must not run twice.
	IdempotencyKey string
}

// Refused is a refusal by a daemon.
type Refused struct {
	Status  int
	Reason  outcome.Reason
	Outcome outcome.Outcome
	// Addresses lists other hosts to turn to.
	Addresses []string
}

// Error returns the reason.
func (r *Refused) Error() string { return "refused: " + string(r.Reason) }

// elsewhere reports whether a caller turns to another host.
func (r *Refused) elsewhere() bool {
	reasons := []outcome.Reason{outcome.ReasonLeaving, outcome.ReasonNotReady, outcome.ReasonStaleTable}
	return r.Outcome == outcome.NotRun && slices.Contains(reasons, r.Reason)
}

// Do sends a request to the first address that takes it. It turns to the next
// one only if the request certainly did not run: the connection could not be
// made, or the host refuses all work. The response must be closed.
func (c *Client) Do(ctx context.Context, r Request) (resp *http.Response, err error) {
	addresses := c.book.Addresses(ctx)
	for _, address := range addresses {
		resp, err = c.Send(ctx, address, r)
		if err == nil {
			return resp, nil
		}
		refused, isRefused := errors.Into[*Refused](err)
		if isRefused && !refused.elsewhere() || !isRefused && !notConnected(err) {
			return nil, err
		}
		c.book.Distrust()
	}
	return nil, err
}

func notConnected(err error) bool {
	op, ok := errors.Into[*net.OpError](err)
	return ok && op.Op == "dial"
}

// Send sends a request to one address. An answer other than 200 is a refusal.
func (c *Client) Send(ctx context.Context, address string, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't repeat the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.Key)
	req.Header.Set(caller.HeaderClass, r.Class)
	if r.IdempotencyKey != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readRefusal(resp)
}

// refusalBody is the part of a refusal that the client reads.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Code      outcome.Reason  `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	Addresses []string        `json:"addresses"`
}

func readRefusal(resp *http.Response) error {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var body refusalBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Errorf("status %d without a refusal", resp.StatusCode)
	}
	return &Refused{Status: resp.StatusCode, Reason: body.Error.Code, Outcome: body.Error.Outcome, Addresses: body.Error.Addresses}
}
