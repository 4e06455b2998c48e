package endpoint

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acknowledgement returns whether sent data or probes are unacknowledged, and the time
// since the last acknowledgement of anything.
func acknowledgement(c syscall.RawConn) (awaited bool, since time.Duration, err error) {
	var info *unix.TCPInfo
	controlErr := c.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case controlErr != nil:
		return false, 0, controlErr
	case err != nil:
		return false, 0, err
	}
	return info.Unacked > 0 || info.Probes > 0, time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}
