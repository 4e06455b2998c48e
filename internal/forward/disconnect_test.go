package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/outcome"
)

// An endpoint terminates right after the caller has disconnected. This must be
// detected and counted against the request, so that the request is quarantined
// after several endpoints have terminated.
func TestEndpointTerminationAfterCallerDisconnects(t *testing.T) {
	const endpoints = 3
	s := &site{}
	var listeners []net.Listener
	for range endpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		s.urls = append(s.urls, "http://"+l.Addr().String())
	}
	boot := boottime.System{}
	f := newTestForwarder(s)
	for _, l := range listeners {
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			leave()
			_, _ = io.Copy(io.Discard, c)
			_ = l.Close()
		}()
		now := boot.Now()
		_ = f.Do(ctx, &Request{
			ID: "r", Fingerprint: 1, Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p", Attempts: 1,
			ReceivedAt: now, Deadline: now + 20*time.Second, MaySend: func() *outcome.Refusal { return nil },
		}, Sink{})
	}
	for end := time.Now().Add(20 * time.Second); !f.Quarantine.IsQuarantined(1); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request was not quarantined after its endpoints terminated")
		}
	}
}
