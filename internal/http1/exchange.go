package http1

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// Request is a request to an endpoint.
type Request struct {
	// ID is the id by which responses name the request.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection.
	NewConnection bool
	// Unused requires a connection that has carried no request, so that any response on
	// it answers this one.
	Unused bool
	// MayBeOwn reports whether a response that names no request may answer this one, if no
	// other request was sent on its connection. If nil, any may.
	MayBeOwn func(status int, h http.Header) bool
	// AwaitOwn is how long the response that names the request is awaited after one that
	// names none and may answer an earlier request. Zero means not at all.
	AwaitOwn time.Duration
	// Probe, if not nil, is sent first on the connection that will carry the request.
	Probe *Probe
	// BeforeWrite is called right before the request is written, after the
	// connection was opened. If it returns an error, the request is not sent.
	// BeforeWrite may be nil.
	BeforeWrite func() error
	// NamedID returns the id of the request that a response with these headers names;
	// empty if it names none. If nil, every response answers this one.
	NamedID func(http.Header) string
}

const (
	// maxInlineBody is the maximum size in bytes of a body that is written
	// before the response is read. A larger body is written concurrently, since
	// endpoints may respond before they have read all of it.
	maxInlineBody = 8 << 10
	// maxForeignResponses bounds the responses to other requests that are
	// skipped on one connection.
	maxForeignResponses = 3
	// maxHead bounds the heads that are read until that of the response, in bytes: its
	// own and those of informational responses and of other requests' responses. Endpoints
	// repeat what requests name: maxRepeated is how often.
	maxHead     = 64 << 10
	maxRepeated = 2
	// maxSkipped bounds the body of a response that is skipped, in bytes, and
	// skipTimeout the time for it if nothing else does.
	maxSkipped  = 1 << 20
	skipTimeout = 250 * time.Millisecond
	// followWait bounds the time for the rest of a response of which a part has come.
	followWait = 20 * time.Millisecond
)

// ErrTooLong is returned if an endpoint sends more than a response may have at its place.
var ErrTooLong = errors.New("too many bytes that are no response")

// IsEndlessChunkLine reports whether reading a body has failed since the lines between its
// chunks are too long.
func IsEndlessChunkLine(err error) bool {
	// net/http has no value for the second error.
	return errors.Is(err, http.ErrLineTooLong) || err != nil && strings.Contains(err.Error(), "too much non-data")
}

// ErrForeignResponse is returned if only responses to other requests were
// received.
var ErrForeignResponse = errors.New("answers of other requests")

// Exchange is a request on its connection. Only Abort may be called
// concurrently with other methods.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	request *Request
	// maxHead bounds the heads until that of the response, in bytes.
	maxHead int64
	resp    *http.Response
	// bodyWritten is closed when the body has been written; nil if it was
	// written before the response is read.
	bodyWritten chan struct{}
	// stopWatch ends the watch for the loss of the endpoint; nil if the kernel detects
	// it.
	stopWatch func()
	// noReuse is set if the connection must not carry another exchange.
	noReuse  bool
	finished atomic.Bool
	// attribution is that of the response, skipped the number of responses to other
	// requests before it.
	attribution Attribution
	skipped     int
	// heads describes the responses that were received.
	heads []Head
	// state is that of the connection, and writtenAt the time, when the request was about
	// to be written.
	state     ConnState
	writtenAt time.Time
	// written and read are the bytes of the exchange, once it has finished.
	written, read int64
}

// Send writes a request to an address. It tries another connection only as long
// as no byte of the request was written. An error other than BeforeWrite's and that of
// Probe.Accept is ErrNotSent: once a byte was written, Send succeeds and failures are
// reported by the Exchange.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	head := writeHead(r)
	fresh := r.NewConnection
	for {
		c, err := p.connection(ctx, address, fresh, r.Unused)
		if err != nil {
			return nil, err
		}
		if err := r.check(ctx, c); err != nil {
			_ = c.Close()
			if errors.Is(err, errProbe) && c.reused {
				// Only a new connection tells a silent endpoint from a silent connection.
				fresh = fresh || errors.Is(err, ErrSilent)
				continue
			}
			return nil, err
		}
		x := &Exchange{
			pool: p, address: address, conn: c, request: r, maxHead: maxHead + maxRepeated*int64(len(head)),
			state: p.state(c), writtenAt: p.clock.Now(),
		}
		if x.write(ctx, head) {
			return x, nil
		}
		_ = c.Close()
		if !c.reused {
			return nil, errors.Wrap(ErrNotSent, "the connection ended before the request")
		}
	}
}

// check returns an error if the request must not be written to the connection.
func (r *Request) check(ctx context.Context, c *conn) error {
	if r.Probe != nil {
		if err := r.Probe.play(c); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if r.BeforeWrite == nil {
		return nil
	}
	return r.BeforeWrite()
}

func (p *Pool) connection(ctx context.Context, address string, fresh, unused bool) (*conn, error) {
	if !fresh {
		if c := p.take(address, unused); c != nil {
			return c, nil
		}
	}
	p.makeRoom(address)
	return p.dialConn(ctx, address)
}

// write sends the request. It returns false if no byte of it was written.
func (x *Exchange) write(ctx context.Context, head []byte) bool {
	body := x.request.Body
	x.conn.requests++
	if len(head) > maxInlineBody {
		// The endpoint's buffer may not take so much.
		stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
		defer stop()
	}
	if len(body) <= maxInlineBody {
		n, err := x.conn.Write(append(head, body...))
		if err != nil {
			x.noReuse = true
		}
		return n > 0
	}
	n, err := x.conn.Write(head)
	if err != nil {
		x.noReuse = true
		return n > 0
	}
	// An endpoint that is stopped does not take all of a long body.
	x.stopWatch = WatchLoss(x.conn.Conn)
	x.bodyWritten = make(chan struct{})
	go func() {
		defer close(x.bodyWritten)
		_, _ = x.conn.Write(body)
	}()
	return true
}

func writeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Abort ends the exchange immediately; it may be called from any goroutine. The
// endpoint sees the connection closed and stops processing the request.
func (x *Exchange) Abort() {
	if x.finished.CompareAndSwap(false, true) {
		_ = x.conn.Close()
	}
}

// Conn returns the state of the connection when the request was about to be written.
func (x *Exchange) Conn() ConnState { return x.state }

// Transferred returns the numbers of bytes that have been written to the connection and
// read from it for the exchange.
func (x *Exchange) Transferred() (written, read int64) {
	if x.written > 0 {
		return x.written, x.read
	}
	return x.conn.written.Load() - x.state.Written, x.conn.read.Load() - x.state.Read
}

// Heads describes the responses that were received, including those to other requests.
func (x *Exchange) Heads() []Head { return x.heads }

// Attribution returns the attribution of the response; empty before Response has returned
// one.
func (x *Exchange) Attribution() Attribution { return x.attribution }

// Skipped returns the number of responses to other requests that were skipped.
func (x *Exchange) Skipped() int { return x.skipped }

// Via returns the address of the daemon that carries the connection; "" if it is
// a direct one.
func (x *Exchange) Via() string { return x.conn.via() }

// Skip ends the exchange without its body. The connection is kept if the body is short and
// comes at once.
func (x *Exchange) Skip() {
	x.conn.allowance = maxSkipped
	_ = x.conn.SetReadDeadline(time.Now().Add(skipTimeout))
	if _, err := io.Copy(io.Discard, x.resp.Body); err != nil {
		x.Abort()
		return
	}
	_ = x.conn.SetReadDeadline(time.Time{})
	x.conn.allowance = -1
	x.Finish()
}

// Buffered returns the number of bytes that can be read without waiting.
func (x *Exchange) Buffered() int { return x.conn.reader.Buffered() }

// Finish ends an exchange whose response was read completely. The connection is
// returned to the pool if it can carry another exchange.
func (x *Exchange) Finish() {
	if !x.finished.CompareAndSwap(false, true) {
		return
	}
	if x.stopWatch != nil {
		x.stopWatch()
		restoreUserTimeout(x.conn.Conn)
	}
	x.written, x.read = x.Transferred()
	if x.isReusable() {
		x.pool.put(x.address, x.conn, idleTimeout(x.resp.Header))
		return
	}
	_ = x.conn.Close()
}

func (x *Exchange) isReusable() bool {
	return !x.noReuse && x.resp != nil && !x.resp.Close && x.isWritten() && x.conn.reader.Buffered() == 0
}

// isWritten reports whether the whole request was written and has reached the
// endpoint's machine. An endpoint that responds early still expects the rest of the body
// and would read the next request as part of it, or never get to it.
func (x *Exchange) isWritten() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case <-x.bodyWritten:
		return endpoint.IsDelivered(x.conn.Conn)
	default:
		return false
	}
}

// idleTimeout returns how long a connection may stay idle according to the
// endpoint's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			seconds, err := strconv.Atoi(v)
			if err != nil {
				return 0
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
