package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/httpresponse"
	"github.com/beechhead/beechhead/internal/membership"
)

var (
	// errNoTunnel means that another daemon has not tried to reach the endpoint.
	errNoTunnel = errors.New("no tunnel")
	// errPathLost means that a daemon may have lost its own path.
	errPathLost = errors.New("no other endpoint reached")
	// errNotReached means that the endpoint did not answer the other daemon.
	errNotReached = errors.New("not reached")
)

// headSize is the size of the buffer for the head of the response to CONNECT.
const headSize = 256

// Through returns a function that opens tunnels; dial opens a connection to a
// daemon.
func Through(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, host membership.Host, address string) (net.Conn, error) {
	return func(ctx context.Context, host membership.Host, address string) (net.Conn, error) {
		c, err := open(ctx, dial, host.PeerAddress, address)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// open opens a connection to address through the daemon at via.
func open(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), via, address string) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "through %s", via)
		}
	}()
	conn, err := dial(ctx, via)
	if err != nil {
		return nil, errors.Wrap(errNoTunnel, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := connect(conn, address); err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	if !stop() {
		return nil, errors.Wrap(errNoTunnel, ctx.Err().Error())
	}
	return &Conn{Conn: conn, via: via}, nil
}

// connect sends the request for a tunnel and reads the response.
func connect(conn net.Conn, address string) error {
	if _, err := conn.Write([]byte("CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")); err != nil {
		return errors.Wrap(errNoTunnel, err.Error())
	}
	r := bufio.NewReaderSize(conn, headSize)
	resp, err := httpresponse.Read(r, &http.Request{Method: http.MethodConnect}) //nolint:bodyclose // a response to CONNECT has no body
	switch {
	case err != nil:
		return errors.Wrap(errNoTunnel, err.Error())
	case resp.StatusCode == http.StatusBadGateway:
		return syscall.ECONNREFUSED
	case resp.StatusCode == http.StatusGatewayTimeout:
		return errNotReached
	case resp.StatusCode != http.StatusOK:
		return errors.Wrapf(errNoTunnel, "status %d", resp.StatusCode)
	case r.Buffered() > 0:
		return errors.Wrap(errNoTunnel, "data before the request")
	}
	return nil
}
