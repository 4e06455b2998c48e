package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/outcome"
)

// listenEarly starts an endpoint that responds before it has read the whole body of a
// request, and resets the connection then.
func (s *site) listenEarly(t *testing.T, response string, pause time.Duration) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.urls = append(s.urls, "http://"+l.Addr().String())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1024))
			_, _ = io.WriteString(c, response)
			time.Sleep(pause)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
}

// Guards against a part of a response without length, or one without a status, that counts as
// a complete response, since the connection was reset while the body of the request was still
// being written.
func TestPartOfEarlyResponseIsNoResponse(t *testing.T) {
	const success = "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n"
	for name, tt := range map[string]struct{ kind, response string }{
		"safe":             {"safe", success + "part"},
		"unsafe":           {"unsafe", success + "part"},
		"longer than held": {"unsafe", success + strings.Repeat("x", maxBuffered+maxBuffered/2)},
		"stream":           {"stream", success + "id: 1\ndata: x\n\n"},
		"failure":          {"unsafe", "HTTP/1.1 500 Error\r\nSigned: 1\r\n\r\npart"},
		"status 000":       {"unsafe", "HTTP/1.1 000 \r\nSigned: 1\r\n\r\npart"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range 16 {
				s := &site{}
				s.listenEarly(t, tt.response, time.Duration(i)*time.Millisecond)
				f := newTestForwarder(s)
				now := boottime.System{}.Now()
				status, held := 0, 0
				err := f.Do(t.Context(), &Request{
					ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
					Body: bytes.Repeat([]byte("b"), 3<<20),
					Kind: testKinds[tt.kind], Attempts: 1, ReceivedAt: now, Deadline: now + time.Minute,
					MaySend: func() *outcome.Refusal { return nil },
				}, Sink{
					Head: func(code int, _ http.Header, _ int64) { status = code },
					// The goroutine that writes the request gets the error of the reset meanwhile.
					Body: func(p []byte) error { held += len(p); time.Sleep(5 * time.Millisecond); return nil },
				})
				if err == nil {
					t.Errorf("reset after %d ms: status %d and %d bytes count as a complete response", i, status, held)
				}
			}
		})
	}
}
