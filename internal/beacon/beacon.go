// Package beacon sends small datagrams between daemons. Each states what its
// sender knows and how recent that is. Losing one does no harm, since the next
// follows within a second, and a datagram costs a fraction of a call.
package beacon

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// maxSize is the maximum size of a datagram in bytes; beacons have about a
// hundred.
const maxSize = 1200

// Conn sends and receives beacons. It is safe for concurrent use.
type Conn struct {
	conn *net.UDPConn
	port uint16
}

// Listen opens a UDP socket at an IP address and port.
func Listen(ip string, port int) (c *Conn, err error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, errors.Wrap(err, "parse beacon address")
	}
	at := netip.AddrPortFrom(addr, uint16(port))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "listen for beacons")
	}
	return &Conn{conn: conn, port: uint16(port)}, nil
}

// Send sends a beacon to the hosts of the given peer addresses. Failures to
// send are ignored, since datagrams may be lost anyway.
func (c *Conn) Send(addresses []string, b *peerv1.Beacon) error {
	data, err := proto.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode beacon")
	}
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		_, _ = c.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to.Addr(), c.port))
	}
	return nil
}

// Receive calls handle with each beacon received until ctx is cancelled.
func (c *Conn) Receive(ctx context.Context, handle func(*peerv1.Beacon)) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buf := make([]byte, maxSize)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		b := &peerv1.Beacon{}
		if proto.Unmarshal(buf[:n], b) == nil {
			handle(b)
		}
	}
}
