package standin

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// The ports of daemons lie below those that the system gives to outgoing
// connections and to listeners without a port of their own.
const (
	firstPort = 11000
	lastPort  = 31000
	// portStride spreads processes that start together.
	portStride = 97
)

// portReserver hands out TCP ports of loopback.
//
// Failure: sites of tests that run side by side took each other's ports
// between choosing and listening, so that a daemon could not start. The guard:
// a port is reserved by a UDP socket of the same number, which stays open
// until the process ends; nothing here uses UDP otherwise.
type portReserver struct {
	mu       sync.Mutex
	next     int
	reserved []net.PacketConn
}

var ports = &portReserver{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

// addresses returns n loopback addresses with ports of their own.
func (r *portReserver) addresses(n int) (addresses []string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range lastPort - firstPort {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", r.next)
		if r.next++; r.next == lastPort {
			r.next = firstPort
		}
		if r.reserve(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, errors.New("no free port is left")
}

func (r *portReserver) reserve(address string) bool {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		_ = conn.Close()
		return false
	}
	_ = l.Close()
	r.reserved = append(r.reserved, conn)
	return true
}
