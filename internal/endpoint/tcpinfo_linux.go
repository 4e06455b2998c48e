package endpoint

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acknowledgement returns whether sent data or probes are unacknowledged, and the time
// since the last acknowledgement of anything.
func acknowledgement(c syscall.RawConn) (awaited bool, since time.Duration, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return false, 0, err
	}
	return info.Unacked > 0 || info.Probes > 0, time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}

// isClosed reports whether a connection is closed in both directions. One that only the
// peer has closed is not.
func isClosed(c syscall.RawConn) bool {
	info, err := tcpInfo(c)
	return err == nil && info.State == unix.BPF_TCP_CLOSE
}

func tcpInfo(c syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := c.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
