package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
)

// Guards against usage that leaves out requests whose response was lost, and
// against usage that counts requests which no endpoint has begun to run.
func TestLostResponsesCountAsBegun(t *testing.T) {
	err := errors.New("failed")
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tt := range []struct {
		name string
		ctx  context.Context
		e    attemptResult
		want bool
	}{
		{"connection lost", context.Background(), failedResult(outcome.ReasonConnectionLost, err), true},
		{"truncated", context.Background(), failedResult(outcome.ReasonTruncated, err), true},
		{"silent until the timeout", context.Background(), failedResult(outcome.ReasonSilent, err), false},
		{"caller gone", left, failedResult(outcome.ReasonConnectionLost, err), false},
		{"refused by the endpoint", context.Background(), attemptResult{err: err, reason: outcome.ReasonEndpointRefused}, false},
		{"not connected", context.Background(), attemptResult{err: err, reason: outcome.ReasonConnect}, false},
	} {
		if got := tt.e.responseLost(tt.ctx); got != tt.want {
			t.Errorf("%s: begun is %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against usage that counts streams whose endpoint went down before it could
// have sent a first event, and against usage that leaves out others.
func TestStreamsLostTooSoonAreNotBegun(t *testing.T) {
	for _, tt := range []struct {
		name string
		kind catalog.Kind
		// firstEvent is the shortest time to a first event.
		firstEvent time.Duration
		sent       string
		want       int
	}{
		{"reset at once", catalog.Stream, time.Hour, "", 0},
		{"reset after others have sent events", catalog.Stream, 0, "", 1},
		{"reset within the first event", catalog.Stream, time.Hour, "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Length: 99\r\n\r\nda", 1},
		{"no stream", catalog.Unsafe, time.Hour, "", 1},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, tt.sent)
			_ = c.Close()
		}()
		f, begun, boot := newTestForwarder(&site{urls: []string{"http://" + l.Addr().String()}}), 0, boottime.System{}
		f.OnBegun = func(*Request) { begun++ }
		for range 10 {
			f.firstEvents.Observe("p", f.Clock.Now(), tt.firstEvent)
		}
		now := boot.Now()
		err = f.Do(context.Background(), &Request{
			ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p", Kind: tt.kind, Attempts: 1,
			ReceivedAt: now, Deadline: now + 20*time.Second, MaySend: func() *outcome.Refusal { return nil },
		}, Sink{Head: func(int, http.Header, int64) {}, Body: func([]byte) error { return nil }})
		_ = l.Close()
		if err == nil || begun != tt.want {
			t.Errorf("%s: begun %d times with error %v, want %d", tt.name, begun, err, tt.want)
		}
	}
}

// Guards against a shortest time to the first event that no stream sets.
func TestFirstEventsAreObserved(t *testing.T) {
	c := &call{run: &run{f: &Forwarder{Clock: clockwork.NewFakeClock()}, req: &Request{Pool: "p", Kind: catalog.Stream}}}
	f := c.run.f
	for range 10 {
		c.begun = false
		c.sentAt = f.Clock.Now().Add(-time.Minute)
		c.recordFirstEvent()
	}
	if !f.firstEvents.IsTooSoon("p", f.Clock.Now(), time.Second) {
		t.Error("first events after a minute leave a stream possible that is lost after a second")
	}
}
