package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// Timeouts of connections to endpoints.
const (
	// dialTimeout bounds opening a connection. Endpoints are a few milliseconds
	// away; if one does not answer within this time, the request can go to
	// another endpoint while the caller's latency target can still be met.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout closes a connection whose sent data is not acknowledged,
	// because the endpoint's machine has failed or is unreachable. It leaves
	// time for two or three retransmissions of lost packets.
	tcpUserTimeout = 1200 * time.Millisecond
)

// Dial opens a connection to an endpoint.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return endpoint.SetUserTimeout(c, tcpUserTimeout)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
