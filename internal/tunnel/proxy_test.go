package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/http1"
)

// Guards against connections through a proxy that differ from direct ones, and against
// a proxy's answer that is taken for another one.
func TestDialProxy(t *testing.T) {
	status := http.StatusOK
	var asked string
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.Host
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.Copy(c, c)
	}))
	defer proxy.Close()
	address := strings.TrimPrefix(proxy.URL, "http://")
	dial := func() (net.Conn, error) { return DialProxy(t.Context(), http1.Dial, address, "10.0.0.1:80") }

	c, err := dial()
	if err != nil || asked != "CONNECT 10.0.0.1:80" {
		t.Fatalf("asked for %q, %v", asked, err)
	}
	_, _ = io.WriteString(c, "ping")
	b := make([]byte, 4)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "ping" {
		t.Errorf("read %q, %v", b, err)
	}
	_ = c.Close()

	status = http.StatusBadGateway
	if _, err := dial(); !endpoint.IsConnectionRefused(err) {
		t.Errorf("status 502: %v, want a refused connection", err)
	}
	status = http.StatusGatewayTimeout
	if _, err := dial(); !errors.Is(err, errNotReached) || endpoint.IsConnectionRefused(err) {
		t.Errorf("status 504: %v, want %v", err, errNotReached)
	}
}

// Guards against a proxy that does not answer and holds the daemon up beyond its limit.
func TestDialProxyEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if c, err := DialProxy(ctx, http1.Dial, l.Addr().String(), "10.0.0.1:80"); err == nil {
		_ = c.Close()
		t.Error("a proxy that does not answer has opened a connection")
	}
}
