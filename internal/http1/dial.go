package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// Timings of connections to endpoints.
const (
	// dialTimeout bounds the opening. Endpoints are a few milliseconds away;
	// one that does not answer within it is passed over while the caller's
	// target can still be met.
	dialTimeout = 300 * time.Millisecond
	// userTimeout ends a connection whose sent bytes nobody acknowledges: the
	// endpoint's machine is gone or cut off. Packets that are lost are sent
	// again two or three times within it.
	userTimeout = 1200 * time.Millisecond
)

// Dial opens a connection to an endpoint.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return endpoint.SetUserTimeout(c, userTimeout)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
