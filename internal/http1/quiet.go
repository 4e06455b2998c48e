package http1

import (
	"net"
	"syscall"
)

// quiet tells whether an idle connection has neither ended nor received bytes
// that nobody asked for.
//
// Failure: an endpoint closes an idle connection, or sends a second answer on
// it; a request sent over it would be lost, or answered with what belongs to
// another one. Both lie ready to be read by then, so that a look without
// taking anything out shows them. What arrives later is left to the exchange.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
