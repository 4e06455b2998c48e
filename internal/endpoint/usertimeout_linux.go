package endpoint

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout limits how long sent bytes may remain unacknowledged
// (TCP_USER_TIMEOUT, RFC 5482).
func SetUserTimeout(c syscall.RawConn, d time.Duration) (err error) {
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
