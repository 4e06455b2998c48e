package endpoint

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/httpresponse"
)

// ErrNotSent means that no byte of the request was written to the endpoint.
var ErrNotSent = errors.New("not sent")

// maxConnAttempts limits how many connections are tried for one request if they
// turn out to be lost.
const maxConnAttempts = 4

// Request is an HTTP request to an endpoint.
type Request struct {
	Method string
	URL    string
	// Header is sent as it is and not modified.
	Header http.Header
	Body   []byte
	// Pooled allows the request to use an idle connection. Otherwise a new one
	// is opened: if an endpoint closes an idle connection just when a request
	// is written to it, it is unknown whether the request was executed.
	Pooled bool
	// Repeatable allows the request to be sent twice: once more over a new
	// connection if a reused one is lost before the response.
	Repeatable bool
	// MayRepeat is called before such a repeat, so that a budget can limit
	// repeats. If nil, a repeat is always allowed.
	MayRepeat func() bool
}

// Response is the response of an endpoint. Its body must be closed or
// discarded.
type Response struct {
	*http.Response
	// Reused reports whether the connection has carried another request before.
	Reused bool

	conn *conn
	// cancel ends the remainder of the exchange.
	cancel context.CancelFunc
}

// Close closes the response. Its connection is reused if the body was read
// completely.
func (a *Response) Close() {
	_ = a.Body.Close()
	a.cancel()
}

// Discard closes the response and its connection. It is for connections that
// must not be reused, for example because they carried the response to another
// request.
func (a *Response) Discard() {
	a.Close()
	if a.conn != nil {
		a.conn.blockWrites()
		_ = a.conn.Close()
	}
}

// Sender sends requests, each at most once unless it is repeatable. It is safe
// for concurrent use.
//
// The transport of net/http repeats a request on its own when a reused
// connection is lost, if the body can be rewound and either the method is
// idempotent or the request carries an Idempotency-Key. The sender therefore
// gives each request a body that can't be rewound, even if it is empty. Where
// an empty body would change the request on the wire, it uses a new connection,
// on which net/http never retries.
type Sender struct {
	pooled *http.Transport
	// singleUse opens a new connection for each request.
	singleUse *http.Transport

	mu sync.Mutex
	// conns holds the connections in use or idle by remote address.
	conns map[string]map[*conn]struct{}
}

// NewSender returns a sender.
func NewSender(transport *http.Transport) *Sender {
	singleUse := transport.Clone()
	singleUse.DisableKeepAlives = true
	return &Sender{pooled: transport, singleUse: singleUse, conns: map[string]map[*conn]struct{}{}}
}

// Send sends a request. It tries another connection only if certainly no byte
// was written, or if the request is repeatable. After an error other than
// ErrNotSent the endpoint may have received the request.
func (s *Sender) Send(ctx context.Context, r Request) (a *Response, err error) {
	transport := s.singleUse
	if r.Pooled && (len(r.Body) > 0 || usuallyLacksBody(r.Method)) {
		transport = s.pooled
	}
	for range maxConnAttempts {
		var t *connTracker
		a, t, err = s.try(ctx, r, transport)
		switch {
		case err == nil || ctx.Err() != nil:
			return a, err
		case errors.Is(err, errUnusedConn):
		case r.Repeatable && t.reused && !errors.Is(err, ErrNotSent) && r.mayRepeat():
			// Rule out a faulty connection before blaming the endpoint.
			r.Repeatable = false
			transport = s.singleUse
		default:
			return nil, err
		}
	}
	return nil, err
}

func (r *Request) mayRepeat() bool { return r.MayRepeat == nil || r.MayRepeat() }

// errUnusedConn is the ErrNotSent of a connection that was lost before the
// request was written.
var errUnusedConn = errors.Wrap(ErrNotSent, "the connection died before the request")

// try sends a request over one connection.
func (s *Sender) try(ctx context.Context, r Request, transport *http.Transport) (*Response, *connTracker, error) {
	t := &connTracker{sender: s, longBody: len(r.Body) > longBody}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := s.roundTrip(ctx, r, transport, t) //nolint:bodyclose // the caller closes the response
	t.endWatch()
	if err != nil {
		err = t.classifyError(err)
		cancel()
		return nil, t, err
	}
	return &Response{Response: resp, Reused: t.reused, conn: t.conn, cancel: cancel}, t, nil
}

func (s *Sender) roundTrip(ctx context.Context, r Request, transport *http.Transport, t *connTracker) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: t.putIdle})
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, err
	}
	preserveTarget(req.URL, r.URL)
	req.Header = r.Header.Clone()
	setBody(req, r.Body)
	return httpresponse.Transport{Next: transport}.RoundTrip(req)
}

// setBody sets a body that the transport can't rewind. For methods that usually
// have no body, the transport reads ahead and sends none if the body is empty.
// For other methods it would send an empty body in chunked encoding, so they
// get no body, and for that reason never a reused connection.
func setBody(req *http.Request, body []byte) {
	if len(body) == 0 && !usuallyLacksBody(req.Method) {
		return
	}
	req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
	req.ContentLength = int64(len(body))
}

// usuallyLacksBody reports whether the transport reads ahead in a body of
// unknown length for this method and, if it is empty, sends the request without
// a body. For other methods it would send an empty body in chunked encoding.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// CloseIdle closes the idle connections to the address of a URL. When the
// network drops one connection, others to the same address are often affected.
// New connections show whether the endpoint itself is down. Requests in progress
// go on.
func (s *Sender) CloseIdle(rawURL string) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return
	}
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns[u.Host]))
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

func (s *Sender) add(c *conn) {
	address := c.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] == nil {
		s.conns[address] = map[*conn]struct{}{}
	}
	s.conns[address][c] = struct{}{}
}

func (s *Sender) remove(c *conn) {
	address := c.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns[address], c)
	if len(s.conns[address]) == 0 {
		delete(s.conns, address)
	}
}

// longBody is the size in bytes above which a body may not fit into the buffers of an
// endpoint that is stopped.
const longBody = 8 << 10

// connTracker records which connection a request uses.
type connTracker struct {
	sender *Sender
	// longBody reports whether the request has a long body. The loss of the endpoint is
	// then watched for until the response begins.
	longBody bool
	// stopWatch ends the watch; nil if there is none.
	stopWatch func()

	hasConn bool
	reused  bool
	conn    *conn
	// use is the sequence number of the request on its connection.
	use int
	// writesBefore counts the writes on the connection before the request.
	writesBefore int
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.hasConn = true
	t.reused = info.Reused
	c := unwrapConn(info.Conn)
	if c == nil {
		return
	}
	t.conn = c
	t.use, t.writesBefore = c.acquire(func() { t.sender.remove(c) })
	t.sender.add(c)
	if t.longBody {
		t.stopWatch = WatchLoss(c.Conn, c.userTimeout)
	}
}

// endWatch lets the kernel detect the loss of the endpoint again.
func (t *connTracker) endWatch() {
	if t.stopWatch == nil {
		return
	}
	t.stopWatch()
	if raw, ok := rawConn(t.conn.Conn); ok {
		_ = SetUserTimeout(raw, t.conn.userTimeout)
	}
}

func (t *connTracker) putIdle(err error) {
	if err == nil && t.conn != nil {
		t.conn.release(t.use)
	}
}

// unwrapConn returns the conn below a connection of the transport, or nil if
// there is none. A TLS connection wraps it.
func unwrapConn(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	counting, _ := c.(*conn)
	return counting
}

// classifyError returns an ErrNotSent for a failed request of which nothing was
// written. That is certain if there was no connection. If the connection does
// not count its writes, something may have been written.
func (t *connTracker) classifyError(err error) error {
	if !t.hasConn {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if t.conn == nil {
		return err
	}
	writes := t.conn.blockWrites()
	_ = t.conn.Close()
	if writes == t.writesBefore {
		return errors.Wrap(errUnusedConn, err.Error())
	}
	return err
}
