package http1

import (
	"net"
	"syscall"
)

// isIntact reports whether an idle connection is open and has no unexpected
// data to read.
//
// An endpoint may have closed an idle connection or sent a second response on
// it; a request sent on it would be lost or would get the response to another
// request. Both can be detected by peeking at the receive buffer. Whatever
// arrives later is handled by the exchange.
func isIntact(c net.Conn) bool {
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
