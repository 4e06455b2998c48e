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
	// DialTimeout bounds opening a connection. Endpoints are a few milliseconds
	// away; if one does not answer within this time, the request can go to
	// another endpoint while the caller's latency target can still be met.
	DialTimeout = 300 * time.Millisecond
	// keepAliveTime is the time after which an idle connection is probed, and the
	// interval between probes.
	keepAliveTime = time.Second
	// tcpUserTimeout closes a connection whose data or probes are not
	// acknowledged, because the endpoint's machine has failed or is unreachable.
	// An idle connection outlives the loss of one probe, and one with data in
	// transit a machine that stands still for a second.
	tcpUserTimeout = 2500 * time.Millisecond
	// maxProbes is the number of probes within tcpUserTimeout. It decides while the
	// kernel's user timeout is off.
	maxProbes = int(tcpUserTimeout / keepAliveTime)
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: maxProbes}

// Dial opens a connection to an endpoint.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   DialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return endpoint.SetUserTimeout(c, tcpUserTimeout)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// probed is a connection whose keep-alive probes can be switched.
type probed interface {
	SetKeepAlive(enabled bool) error
	SetKeepAliveConfig(config net.KeepAliveConfig) error
}

// startProbes makes the loss of an idle connection be noticed. A connection in use
// is not probed: its response may still come after the path was interrupted for
// longer than tcpUserTimeout.
func (c *conn) startProbes() {
	p, ok := c.Conn.(probed)
	switch {
	case !ok:
	case c.probesConfigured:
		_ = p.SetKeepAlive(true)
	default:
		c.probesConfigured = p.SetKeepAliveConfig(keepAlive) == nil
	}
}

func (c *conn) stopProbes() {
	if p, ok := c.Conn.(probed); ok {
		_ = p.SetKeepAlive(false)
	}
}

// WatchLoss detects the loss of a connection's peer in place of the kernel until stop is
// called; see endpoint.WatchLoss.
func WatchLoss(c net.Conn) (stop func()) { return endpoint.WatchLoss(c, tcpUserTimeout) }

// restoreUserTimeout lets the kernel detect the loss of a connection's peer again.
func restoreUserTimeout(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = endpoint.SetUserTimeout(raw, tcpUserTimeout)
	}
}

// DetectLoss makes a connection that was accepted detect the loss of its peer.
func DetectLoss(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return endpoint.SetUserTimeout(raw, tcpUserTimeout)
}
