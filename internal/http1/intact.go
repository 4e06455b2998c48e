package http1

import (
	"net"
	"syscall"
)

// idle is the state of an idle connection.
type idle int

const (
	idleIntact idle = iota
	// idleHasData means that the endpoint has sent something that answers no request.
	idleHasData
	idleEnded
)

// idleState returns whether an idle connection is open and has no unexpected data to
// read.
//
// An endpoint may have closed an idle connection or sent a second response on
// it; a request sent on it would be lost or would get the response to another
// request. Both can be detected by peeking at the receive buffer. Whatever
// arrives later is handled by the exchange.
func idleState(c net.Conn) idle {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return idleIntact
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleEnded
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = idleIntact
		case err == nil && n > 0:
			state = idleHasData
		}
		return true
	})
	if err != nil {
		return idleEnded
	}
	return state
}
