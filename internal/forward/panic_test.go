package forward

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/placement"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against a panic in the goroutine of an attempt ending the daemon. The request ends
// with what is true of it, and its slot and its connection are released.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	fail := func() { panic("planted") }
	const broken outcome.Outcome = ""
	for name, tt := range map[string]struct {
		plant func(*Forwarder, *Request, *Sink)
		want  outcome.Outcome
	}{
		"while a slot is reserved": {func(f *Forwarder, _ *Request, _ *Sink) {
			f.Reserve = func(context.Context, placement.Request) (*placement.Grant, error) { panic("planted") }
		}, outcome.NotRun},
		"while a slot is accepted": {func(f *Forwarder, _ *Request, _ *Sink) {
			f.Usable = func(*table.Endpoint) bool { panic("planted") }
		}, outcome.NotRun},
		"before the request is sent": {func(f *Forwarder, _ *Request, _ *Sink) {
			f.Protocol.Header = func(Attempt) http.Header { panic("planted") }
		}, outcome.NotRun},
		"when the head was received": {func(f *Forwarder, _ *Request, _ *Sink) {
			f.Protocol.ReadHead = func(int, http.Header) ResponseInfo { panic("planted") }
		}, outcome.Unknown},
		"when the endpoint has begun": {func(f *Forwarder, _ *Request, _ *Sink) {
			f.OnBegun = func(*Request) { fail() }
		}, outcome.Unknown},
		"when the head is forwarded": {func(_ *Forwarder, _ *Request, s *Sink) {
			s.Head = func(int, http.Header, int64) { fail() }
		}, outcome.Unknown},
		"when the body is forwarded": {func(_ *Forwarder, _ *Request, s *Sink) {
			s.Body = func([]byte) error { panic("planted") }
		}, broken},
	} {
		for kind, response := range map[string]string{
			"safe":   "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood",
			"stream": "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				s := &site{}
				s.listen(t, response)
				s.listen(t, response)
				f := newTestForwarder(s)
				f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
				reserve, held := f.Reserve, 0
				f.Reserve = func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
					grant, err := reserve(ctx, r)
					if err == nil {
						held++
						grant.OnRelease = func() { held-- }
					}
					return grant, err
				}
				now := boottime.System{}.Now()
				request := func() *Request {
					return &Request{
						ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
						Kind: testKinds[kind], Resumable: true, Attempts: 2, ReceivedAt: now, Deadline: now + time.Minute,
						MaySend: func() *outcome.Refusal { return nil },
					}
				}
				var body bytes.Buffer
				sound := Sink{
					Head: func(int, http.Header, int64) {},
					Body: func(p []byte) error { body.Write(p); return nil },
				}
				planted, r, sink := newTestForwarder(s), request(), sound
				planted.Reserve, planted.Budget, planted.Metrics = f.Reserve, f.Budget, f.Metrics
				tt.plant(planted, r, &sink)
				err := planted.Do(t.Context(), r, sink)
				switch {
				case tt.want == broken:
					if !errors.Is(err, ErrTruncated) {
						t.Errorf("error %v, want a truncated response", err)
					}
				case err == nil || outcome.FromError(err).Outcome != tt.want || outcome.FromError(err).Reason != outcome.ReasonInternal:
					t.Errorf("error %v, want an internal one, %s", err, tt.want)
				}
				if n := f.Metrics.Count("panics"); n != 1 {
					t.Errorf("%d panics were counted, want 1", n)
				}
				if held != 0 {
					t.Errorf("%d slots are held", held)
				}
				body.Reset()
				if err := f.Do(t.Context(), request(), sound); err != nil || body.Len() == 0 {
					t.Errorf("the next request: %d bytes, %v", body.Len(), err)
				}
			})
		}
	}
}
