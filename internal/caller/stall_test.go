package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// A caller's connection stalls in the middle of a stream: it receives nothing
// and is not closed. The write must time out, so that the request releases its
// slot on the engine.
func TestStalledCallerEndsTheStream(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := newEventWriter(w, r, 100*time.Millisecond)
		data := make([]byte, 64<<10)
		for {
			if err := e.writeEvent(data); err != nil {
				ended <- err
				return
			}
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the write still blocks")
	}
}

// Guards against a stream whose engine is silent for longer than a caller may receive
// nothing: the deadline is for writes, and HTTP/2 also applies it when there are none.
func TestSilentEngineDoesNotEndTheStream(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e := newEventWriter(w, r, 100*time.Millisecond)
			_ = e.writeEvent([]byte("one"))
			time.Sleep(300 * time.Millisecond)
			_ = e.writeEvent([]byte("two"))
		}))
		server.EnableHTTP2 = http2
		server.StartTLS()
		resp, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if want := "data: one\n\ndata: two\n\n"; err != nil || string(body) != want {
			t.Errorf("%s: %q, %v; want %q", resp.Proto, body, err, want)
		}
		server.Close()
	}
}
