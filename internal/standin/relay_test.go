package standin

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// echoRelay returns a connection through a relay to a server that echoes.
func echoRelay(t *testing.T) (*Relay, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	r, err := NewRelay(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// Times to wait for an echo: long bounds a test that fails, brief is for one
// that must not come.
const (
	long  = 20 * time.Second
	brief = 200 * time.Millisecond
)

// echoes reports whether what is sent comes back in time.
func echoes(c net.Conn, within time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestRelayFaults(t *testing.T) {
	r, dial := echoRelay(t)
	server := httptest.NewServer(relayControl(map[string]*Relay{"a": r}, nil))
	t.Cleanup(server.Close)
	post := func(path, body string) int {
		resp, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if err := echoes(dial(), long); err != nil {
		t.Fatalf("a sound relay: %v", err)
	}
	for _, fault := range []string{`{"cutTo":true}`, `{"cutFrom":true}`} {
		c := dial()
		if err := echoes(c, long); err != nil {
			t.Fatal(err)
		}
		post("/a/faults", fault)
		if err := echoes(c, brief); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v", fault, err)
		}
		post("/a/faults", `{}`)
		if err := echoes(c, brief); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("after %s the connection that lost bytes works: %v", fault, err)
		}
		if err := echoes(dial(), long); err != nil {
			t.Errorf("after %s a new connection: %v", fault, err)
		}
	}
	c := dial()
	if err := echoes(c, long); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if status := post("/a/listen", ""); status != http.StatusOK {
			t.Errorf("listen while it listens: status %d", status)
		}
	}
	post("/a/end", "")
	post("/a/listen", "")
	c = dial()
	if err := echoes(c, long); err != nil {
		t.Errorf("after it listens again: %v", err)
	}
	post("/a/reset", "")
	if err := echoes(c, long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a reset connection: %v", err)
	}
	if status := post("/b/reset", ""); status != http.StatusNotFound {
		t.Errorf("an unknown relay: status %d", status)
	}
}

// Guards against a relay that turns the reset of a connection into its orderly end, so
// that a response which ends with its connection looks complete.
func TestRelayPassesResetsOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 1)
		_, _ = c.Read(buf)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	r, err := NewRelay(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want a reset", err)
	}
}

// Guards against a planted error that plants nothing: connections must end whose target
// says nothing more.
func TestRelayEndsSilentConnections(t *testing.T) {
	r, dial := echoRelay(t)
	r.SetFaults(RelayFaults{EndSilentMs: 50})
	c := dial()
	if err := echoes(c, long); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(long))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want a reset", err)
	}
}
