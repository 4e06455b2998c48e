package http1

import (
	"net"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Guards against idle connections whose loss is noticed only by a request, and
// against responses that are lost because probes went unanswered for a while.
func TestOnlyIdleConnectionsAreProbed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := NewPool(clockwork.NewFakeClock(), Dial)
	address := l.Addr().String()
	c, err := p.dialConn(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	check := func(when string, want bool) {
		t.Helper()
		if got := option(t, c.Conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0; got != want {
			t.Errorf("%s: probes are on: %v", when, got)
		}
	}
	check("new", false)
	p.put(address, c, defaultIdleTimeout)
	check("idle", true)
	checkTimes(t, c.Conn)
	if p.take(address, false) != c {
		t.Fatal("the connection was not kept")
	}
	check("in use again", false)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if err := DetectLoss(accepted); err != nil {
		t.Fatal(err)
	}
	checkTimes(t, accepted)
}

// checkTimes checks that the user timeout, which decides when probes give up, is
// above two intervals and below three.
func checkTimes(t *testing.T, c net.Conn) {
	t.Helper()
	idle, interval := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	if timeout := option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); timeout <= 1000*(idle+interval) || timeout > 1000*(idle+2*interval) {
		t.Errorf("user timeout of %d ms with probes after %d s and each %d s", timeout, idle, interval)
	}
}

func option(t *testing.T, c net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}
