package http1

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against idle connections whose loss is noticed only by a request: probes
// must be on, and the user timeout, which decides when they give up, must be above
// two of their intervals.
func TestConnectionsDetectLoss(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if err := DetectLoss(accepted); err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{c, accepted} {
		get := func(level, option int) (value int) {
			raw, err := conn.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			_ = raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, option) })
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
		if get(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
			t.Error("keep-alive probes are off")
		}
		idle, interval := get(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), get(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
		if timeout := get(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); timeout <= 1000*(idle+interval) || timeout > 1000*(idle+2*interval) {
			t.Errorf("user timeout of %d ms with probes after %d s and each %d s", timeout, idle, interval)
		}
	}
}
