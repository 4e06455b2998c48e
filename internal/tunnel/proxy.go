package tunnel

import (
	"context"
	"net"

	"github.com/go-faster/errors"
)

// DialProxy opens a connection to an address through an HTTP proxy with CONNECT; dial
// opens the connection to the proxy. As in tunnels between daemons, status 502 means
// that the address refused the connection, 504 that it did not answer.
func DialProxy(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), proxy, address string) (_ net.Conn, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "dial %s through proxy %s", address, proxy)
		}
	}()
	conn, err := dial(ctx, proxy)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := connect(conn, address); err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	return conn, nil
}
