package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// Heads of responses whose bodies would have a length, chunks, or neither.
const (
	headWithLength = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: 16\r\n\r\n"
	headWithChunks = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	headWithNone   = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\n"
	headWithLF     = "HTTP/1.1 200 OK\nId: r\nSigned: 1\n\n"
)

// received holds the response of a caller.
type received struct {
	status int
	body   strings.Builder
}

func (r *received) sink() Sink {
	return Sink{
		Head: func(status int, _ http.Header, _ int64) { r.status = status },
		Body: func(p []byte) error { r.body.Write(p); return nil },
	}
}

// Guards against a response whose endpoint stops in its head, or right after it, and closes
// the connection, being forwarded as a whole one.
func TestHeadsThatStop(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before string
		kind   catalog.Kind
		change func(f *Forwarder, r *Request)
	}{
		{name: "unsafe", kind: catalog.Unsafe},
		{name: "safe", kind: catalog.Safe},
		{name: "stream", kind: catalog.Stream},
		{name: "after an informational response", before: "HTTP/1.1 102 Processing\r\n\r\n", kind: catalog.Unsafe},
		{name: "stream after an informational response", before: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", kind: catalog.Stream},
		{name: "after a response to another request", before: "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 4\r\n\r\nelse", kind: catalog.Unsafe},
		{name: "stream that is taken up", kind: catalog.Stream, change: func(f *Forwarder, r *Request) {
			r.Resumable, r.LastEvent = true, "3"
			f.LookupVersion = func(context.Context, *Request) (table.SoftwareVersion, *outcome.Refusal) { return "v1", nil }
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for _, head := range []string{headWithLength, headWithChunks, headWithNone, headWithLF} {
				for n := range len(head) + 1 {
					testHeadThatStops(t, tt.before+head[:n], tt.kind, tt.change)
				}
			}
		})
	}
}

func testHeadThatStops(t *testing.T, answer string, kind catalog.Kind, change func(f *Forwarder, r *Request)) {
	t.Helper()
	if answer == "" {
		// The endpoint must close in order.
		answer = "\r\n"
	}
	s := &site{}
	s.listen(t, answer)
	f := newTestForwarder(s)
	f.Protocol.NamedID = namedByID
	r := unsafeRequest("r")
	r.Kind = kind
	if change != nil {
		change(f, r)
	}
	var got received
	if err := f.Do(t.Context(), r, got.sink()); err == nil {
		t.Errorf("%q: the caller received status %d with the body %q", answer, got.status, got.body.String())
	}
}

// Guards against the same on a connection that has carried a request before.
func TestHeadsThatStopOnUsedConnections(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Stream} {
		first := keptSuccess
		if kind == catalog.Stream {
			first = keptStream
		}
		for n := range len(headWithNone) + 1 {
			s := &site{}
			e := s.listenKept(t, first, headWithNone[:n])
			e.closes = true
			f := newTestForwarder(s)
			f.Protocol.NamedID = namedByID
			sendKept(t, f, "q", kind)
			s.mu.Lock()
			s.next = 0
			s.mu.Unlock()
			if got := sendKept(t, f, "r", kind); got != "unknown" {
				t.Errorf("%q: the caller received %q", headWithNone[:n], got)
			}
		}
	}
}

// Guards against the same in a second attempt, made while the first endpoint is silent.
func TestHeadsThatStopInHedges(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Stream} {
		for _, n := range []int{len(headWithNone) / 2, len(headWithNone) - 1, len(headWithNone)} {
			t.Run(fmt.Sprint(kind, n), func(t *testing.T) {
				t.Parallel()
				s := &site{}
				silent := s.listenKept(t, "")
				s.listen(t, headWithNone[:n])
				f := newTestForwarder(s)
				f.Protocol.NamedID = namedByID
				f.Budget = budgetOf(1)
				r := unsafeRequest("r")
				r.Kind, r.Resumable, r.Attempts = kind, kind == catalog.Stream, 2
				r.StartTarget, r.GapTarget = time.Millisecond, time.Millisecond
				r.Deadline = r.ReceivedAt + 2*time.Second
				var got received
				if err := f.Do(t.Context(), r, got.sink()); err == nil {
					t.Errorf("the caller received status %d with the body %q", got.status, got.body.String())
				}
				if s.sent == 0 || !silent.hasReceived("r") {
					t.Error("there was no second attempt")
				}
			})
		}
	}
}
