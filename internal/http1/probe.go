package http1

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/httpresponse"
)

const (
	// probeTimeout bounds the time to the end of the response to a Probe.
	probeTimeout = DialTimeout
	// maxProbeResponse is the maximum size in bytes of that response.
	maxProbeResponse = 1 << 20
)

// Probe is a GET request that shows which process a connection leads to.
type Probe struct {
	Target, Host string
	// Accept returns an error if a request must not be sent to the process that has sent
	// this response.
	Accept func(status int, h http.Header, body []byte) error
}

var (
	// errProbe is an ErrNotSent: the connection has not carried the probe and its response.
	errProbe = errors.Wrap(ErrNotSent, "probe")
	// ErrSilent is an ErrNotSent: the endpoint has accepted a connection and not answered
	// the probe in time. It may only be paused.
	ErrSilent = errors.Wrap(errProbe, "no response in time")
)

// probeError returns the error of a probe that could not be sent or has no response.
func probeError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrSilent
	}
	return errProbe
}

// play sends the probe and reads its response.
func (p *Probe) play(c *conn) error {
	_ = c.SetDeadline(time.Now().Add(probeTimeout))
	c.allowance = maxHead + maxProbeResponse
	request := &Request{Method: http.MethodGet, Target: p.Target, Host: p.Host}
	c.requests++
	if _, err := c.Write(writeHead(request)); err != nil {
		return probeError(err)
	}
	resp, err := httpresponse.Read(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return probeError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeResponse))
	if err != nil {
		return probeError(err)
	}
	if len(body) == maxProbeResponse || resp.Close || c.reader.Buffered() > 0 {
		return errProbe
	}
	_ = c.SetDeadline(time.Time{})
	c.allowance = -1
	return p.Accept(resp.StatusCode, resp.Header, body)
}

// Ask sends a probe on a connection to an address that has carried no request, so that its
// response answers no other one, and keeps the connection for the next request. It returns the error of Accept, or one that is an ErrNotSent if there is no
// response.
func (p *Pool) Ask(ctx context.Context, address string, probe *Probe) error {
	c, err := p.connection(ctx, address, false, true)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := probe.play(c); err != nil {
		_ = c.Close()
		return err
	}
	p.put(address, c, defaultIdleTimeout)
	return nil
}

// Alive reports whether there is an intact idle connection to an address, which
// shows that the address has a listener.
func (p *Pool) Alive(address string) bool {
	c := p.take(address, false)
	if c == nil {
		return false
	}
	if !p.addIdle(address, c) {
		_ = c.Close()
	}
	return true
}

// IsListening reports whether the address has a listener: there is an intact idle
// connection to it, or one can be opened, which is kept for the next request.
func (p *Pool) IsListening(ctx context.Context, address string) bool {
	if p.Alive(address) {
		return true
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	p.put(address, p.newConn(c), defaultIdleTimeout)
	return true
}

// HasTerminated reports whether the address has no listener any more, that is, whether
// its machine refuses connections. If a connection can be opened, it is kept
// for the next request.
func (p *Pool) HasTerminated(ctx context.Context, address string) bool {
	return endpoint.IsConnectionRefused(p.open(ctx, address))
}

// MayHaveTerminated reports whether connections to the address are refused, also if that
// may be the path, and whether it is certainly the endpoint's machine.
func (p *Pool) MayHaveTerminated(ctx context.Context, address string) (refused, isCertain bool) {
	err := p.open(ctx, address)
	isCertain = endpoint.IsConnectionRefused(err)
	return isCertain || errors.Is(err, ErrMaybeRefused), isCertain
}

// open opens a connection to an address and keeps it for the next request.
func (p *Pool) open(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(address, p.newConn(c), defaultIdleTimeout)
	return nil
}
