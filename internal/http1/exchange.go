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
)

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
	// Check is asked right before the request is written, after a connection
	// was opened; an error sends nothing. It is nil where nothing can change.
	Check func() error
	// Mine tells whether an answer with these headers belongs to the request.
	Mine func(http.Header) bool
}

const (
	// inlineBody is the size in bytes up to which a request is written before
	// its answer is read. A longer one is written meanwhile, since endpoints
	// may answer before they have read it.
	inlineBody = 8 << 10
	// maxForeign bounds the answers to other requests that are passed over on
	// one connection.
	maxForeign = 3
)

// ErrForeign says that the answers that came belong to other requests.
var ErrForeign = errors.New("answers of other requests")

// Exchange is one request on its connection. It is not safe for concurrent
// use, but for Abort.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	request *Request
	resp    *http.Response
	// writing is closed when the request has been written; nil if it was
	// written before.
	writing chan struct{}
	// spoiled connections are not used again.
	spoiled bool
	ended   atomic.Bool
}

// Send writes a request to an address. It goes over another connection only
// while no byte was written. Any error is ErrNotSent: once something was
// written, the exchange itself tells how it goes.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	head := writeHead(r)
	for {
		c, err := p.connection(ctx, address, r.Fresh)
		if err != nil {
			return nil, err
		}
		if err := r.check(); err != nil {
			_ = c.Close()
			return nil, err
		}
		x := &Exchange{pool: p, address: address, conn: c, request: r}
		if x.write(head) {
			return x, nil
		}
		_ = c.Close()
		if !c.reused {
			return nil, errors.Wrap(ErrNotSent, "the connection ended before the request")
		}
	}
}

func (r *Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

func (p *Pool) connection(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			return c, nil
		}
	}
	return p.open(ctx, address)
}

// write sends the request; false means that no byte was taken.
func (x *Exchange) write(head []byte) bool {
	body := x.request.Body
	if len(body) <= inlineBody {
		n, err := x.conn.Write(append(head, body...))
		if err != nil {
			x.spoiled = true
		}
		return n > 0
	}
	n, err := x.conn.Write(head)
	if err != nil {
		x.spoiled = true
		return n > 0
	}
	x.writing = make(chan struct{})
	go func() {
		defer close(x.writing)
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

// Abort ends the exchange at once, from any goroutine. The endpoint sees its
// connection close and stops its work.
func (x *Exchange) Abort() {
	if x.ended.CompareAndSwap(false, true) {
		_ = x.conn.Close()
	}
}

// Reused tells whether the connection has carried another exchange before.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Patience bounds the time until the next bytes; zero is unbounded.
func (x *Exchange) Patience(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = x.conn.SetReadDeadline(at)
}

// Response waits for the head of the answer. Informational answers, and those
// that belong to other requests, are passed over.
func (x *Exchange) Response() (*http.Response, error) {
	asked := &http.Request{Method: x.request.Method}
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(x.conn.reader, asked)
		if err != nil {
			x.spoiled = true
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if x.request.Mine == nil || x.request.Mine(resp.Header) {
			x.resp = resp
			return resp, nil
		}
		// A late answer to an earlier request. What follows is this one's,
		// but the connection is not to be trusted any longer.
		x.spoiled = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "pass over an answer")
		}
	}
	return nil, ErrForeign
}

// Buffered returns the bytes of the answer that can be read without waiting.
func (x *Exchange) Buffered() int { return x.conn.reader.Buffered() }

// Finish ends an exchange whose answer was read whole. The connection is kept
// if it can carry another one.
func (x *Exchange) Finish() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	_ = x.conn.SetReadDeadline(time.Time{})
	if x.reusable() {
		x.pool.put(x.address, x.conn, keepFor(x.resp.Header))
		return
	}
	_ = x.conn.Close()
}

func (x *Exchange) reusable() bool {
	return !x.spoiled && x.resp != nil && !x.resp.Close && x.written() && x.conn.reader.Buffered() == 0
}

// written tells whether the whole request is out. An endpoint that answered
// before expects the rest of the body next; another request in its place would
// be taken for that.
func (x *Exchange) written() bool {
	if x.writing == nil {
		return true
	}
	select {
	case <-x.writing:
		return true
	default:
		return false
	}
}

// keepFor returns how long a connection may be kept by the endpoint's word.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			seconds, err := strconv.Atoi(v)
			if err != nil {
				return 0
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
