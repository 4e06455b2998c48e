package endpoint

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnansweredProbes is the number of probes that may be unanswered: an answer on
// loopback may precede the count of its probe, and one probe may be lost.
const maxUnansweredProbes = 1

// acknowledgement returns whether what was sent last is unanswered, and the time since
// the last acknowledgement. A peer whose receive window is full answers probes, and data
// that it discards; both are sent again at growing intervals.
func acknowledgement(c syscall.RawConn) (awaited bool, since time.Duration, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return false, 0, err
	}
	unanswered := info.Unacked > 0 && info.Last_data_sent < info.Last_ack_recv
	return unanswered || info.Probes > maxUnansweredProbes, time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}

// isDelivered reports whether all data that was written to a connection is acknowledged.
func isDelivered(c syscall.RawConn) bool {
	info, err := tcpInfo(c)
	return err == nil && info.Unacked == 0 && info.Notsent_bytes == 0
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
