package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
)

// listenEndless starts an endpoint that answers with start and then repeats part until the
// peer closes the connection. The channel is closed then.
func (s *site) listenEndless(t *testing.T, start, part string) (closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.urls = append(s.urls, "http://"+l.Addr().String())
	end := make(chan struct{})
	go func() {
		defer close(end)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		more := strings.Repeat(part, 1+4096/len(part))
		for _, err = io.WriteString(c, start); err == nil; {
			_, err = io.WriteString(c, more)
		}
	}()
	return end
}

// Guards against endpoints that send bytes without end which are no response or no event. The
// attempt ends before the deadline, its outcome is unknown unless the endpoint said otherwise,
// and it counts against the endpoint.
func TestEndlessResponsesEndTheAttempt(t *testing.T) {
	const success = "HTTP/1.1 200 OK\r\nSigned: 1\r\n"
	for name, tt := range map[string]struct {
		start, part, kind string
		want              outcome.Outcome
	}{
		"head":           {success + "A: ", "x", "unsafe", outcome.Unknown},
		"error body":     {"HTTP/1.1 500 Error\r\n\r\n", "x", "unsafe", outcome.Unknown},
		"error chunks":   {"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", "unsafe", outcome.Unknown},
		"refusal":        {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n", "x", "unsafe", outcome.NotRun},
		"unsigned":       {"HTTP/1.1 200 OK\r\n\r\n", "x", "unsafe", outcome.Unknown},
		"event":          {success + "\r\ndata: ", "x", "stream", outcome.Unknown},
		"lines":          {success + "\r\n", "data: x\n", "stream", outcome.Unknown},
		"comments":       {success + "\r\n", ": x\n\n", "stream", ""},
		"comment lines":  {success + "\r\n", ": x\n", "stream", outcome.Unknown},
		"repeated event": {success + "\r\n", "id: 1\ndata: x\n\n", "stream", ""},
		"empty lines":    {success + "\r\n", "\n", "stream", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &site{}
			closed := s.listenEndless(t, tt.start, tt.part)
			f := newTestForwarder(s)
			var body bytes.Buffer
			now := boottime.System{}.Now()
			err := f.Do(context.Background(), &Request{
				ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
				Kind: testKinds[tt.kind], Attempts: 1, ReceivedAt: now, Deadline: now + time.Minute,
				MaySend: func() *outcome.Refusal { return nil },
			}, Sink{
				Head: func(int, http.Header, int64) {},
				Body: func(p []byte) error { body.Write(p); return nil },
			})
			<-closed
			switch {
			case tt.want == "":
				if !errors.Is(err, ErrTruncated) || body.Len() > 2*maxEvent {
					t.Errorf("error %v after %d bytes", err, body.Len())
				}
			case err == nil || outcome.FromError(err).Outcome != tt.want || body.Len() > 0:
				t.Errorf("error %v after %d bytes, want %s", err, body.Len(), tt.want)
			}
			if got := f.Metrics.Count("attempts." + string(outcome.ReasonDeadline)); got > 0 {
				t.Error("the attempt went on until the deadline")
			}
		})
	}
}

// Guards against an endpoint that is blamed for cutting off a response which this daemon did
// not read, since its caller was slow.
func TestCutForSlownessIsNotTheEndpointsFailure(t *testing.T) {
	for _, tt := range []struct {
		heldUp time.Duration
		reason outcome.Reason
		want   bool
	}{
		{minCutAfter, outcome.ReasonConnectionLost, true},
		{minCutAfter, outcome.ReasonTruncated, true},
		{minCutAfter, outcome.ReasonWrongAnswer, false},
		{minCutAfter / 2, outcome.ReasonConnectionLost, false},
	} {
		c := &call{longestHoldUp: tt.heldUp}
		if got := c.isCutForSlowness(attemptResult{reason: tt.reason}); got != tt.want {
			t.Errorf("held up for %v, %s: %v, want %v", tt.heldUp, tt.reason, got, tt.want)
		}
	}
}

// Guards against the same in the report to the coordinator.
func TestCutForSlownessIsReportedAsTheCallers(t *testing.T) {
	s := &site{}
	s.listen(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 100\r\n\r\ndata: x\n\n")
	f := newTestForwarder(s)
	reserve := f.Reserve
	var grant *placement.Grant
	f.Reserve = func(ctx context.Context, r placement.Request) (*placement.Grant, error) {
		var err error
		grant, err = reserve(ctx, r)
		return grant, err
	}
	now := boottime.System{}.Now()
	r := &run{f: f, sink: Sink{
		Head: func(int, http.Header, int64) {},
		Body: func([]byte) error { time.Sleep(minCutAfter); return nil },
	}, budget: f.Budget("p"), ended: make(chan *call, 1), began: f.Clock.Now(), req: &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
		Kind: testKinds["stream"], Attempts: 1, ReceivedAt: now, Deadline: now + time.Minute,
		MaySend: func() *outcome.Refusal { return nil },
	}}
	c := &call{run: r}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	r.calls = append(r.calls, c)
	c.do()
	if c.result.err == nil || c.result.report != peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE {
		t.Errorf("result %+v", c.result)
	}
	if pause, _ := grant.LongestPause(); pause >= minCutAfter {
		t.Errorf("a gap of %v counts as the endpoint's", pause)
	}
}

// newTestCall returns the only call of a request for a stream.
func newTestCall(t *testing.T, f *Forwarder, body func([]byte) error) *call {
	now := boottime.System{}.Now()
	r := &run{f: f, sink: Sink{
		Head: func(int, http.Header, int64) {}, Body: body,
	}, budget: f.Budget("p"), ended: make(chan *call, 1), began: f.Clock.Now(), req: &Request{
		ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
		Kind: testKinds["stream"], Attempts: 1, ReceivedAt: now, Deadline: now + time.Minute,
		MaySend: func() *outcome.Refusal { return nil },
	}}
	c := &call{run: r}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	r.calls = append(r.calls, c)
	return c
}

// Guards against a hold-up that excuses whatever its endpoint does later: the endpoint has
// gone on after it, and then loses the connection. Events that were written before the end of
// the hold-up show nothing.
func TestHoldUpExcusesNothingAfterNewData(t *testing.T) {
	for name, tt := range map[string]struct {
		pause time.Duration
		want  peerv1.ReleaseOutcome
	}{
		"written before the end of the hold-up": {0, peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE},
		"written after it":                      {minCutAfter + 2*drainedAfter, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 100000\r\n\r\ndata: x\n\n")
				time.Sleep(tt.pause)
				_, _ = io.WriteString(conn, strings.Repeat("data: x\n\n", 1000))
			}()
			f := newTestForwarder(&site{urls: []string{"http://" + l.Addr().String()}})
			heldUp := false
			c := newTestCall(t, f, func([]byte) error {
				if !heldUp {
					heldUp = true
					time.Sleep(minCutAfter)
				}
				return nil
			})
			c.do()
			if c.result.err == nil || c.result.report != tt.want {
				t.Errorf("result %+v, want %v", c.result, tt.want)
			}
		})
	}
}

// Guards against endpoints that send lines of chunks without end and count as lost
// connections, which a hold-up excuses.
func TestEndlessChunkLinesAreWrongAnswers(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tt := range map[string]struct{ start, part string }{
		"size":       {start, "0"},
		"extension":  {start + "1;", "x"},
		"extensions": {start, "1;abcdefghijklmnopqrstuvwxyz=abcdefghijklmnopqrstuvwxyz\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &site{}
			closed := s.listenEndless(t, tt.start, tt.part)
			c := newTestCall(t, newTestForwarder(s), func([]byte) error { return nil })
			c.longestHoldUp = minCutAfter
			c.do()
			<-closed
			if c.result.reason != outcome.ReasonWrongAnswer || c.result.report != peerv1.ReleaseOutcome_RELEASE_OUTCOME_ENDPOINT_FAILED {
				t.Errorf("result %+v", c.result)
			}
		})
	}
}

// Guards against an error response of just the size up to which responses are buffered that
// counts as one without end, since its end was not read.
func TestLongestErrorResponseIsForwarded(t *testing.T) {
	for name, tt := range map[string]struct {
		size  int
		whole bool
	}{
		"longest":  {maxBuffered, true},
		"too long": {maxBuffered + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &site{}
			s.listen(t, fmt.Sprintf("HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", tt.size, strings.Repeat("x", tt.size)))
			received := 0
			c := newTestCall(t, newTestForwarder(s), func(p []byte) error { received += len(p); return nil })
			c.run.req.Kind = testKinds["unsafe"]
			c.do()
			if tt.whole && (c.result.err != nil || received != tt.size) || !tt.whole && !errors.Is(c.result.err, errNoEnd) {
				t.Errorf("%d bytes, result %+v", received, c.result)
			}
		})
	}
}

// Guards against a long failure being forwarded with a status by which its caller concludes
// that the request, which has run, was not run.
func TestLongFailureIsNotForwardedAsNotRun(t *testing.T) {
	s := &site{}
	s.listenEndless(t, fmt.Sprintf("HTTP/1.1 503 Failed\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n", 2*maxBuffered), "x")
	f := newTestForwarder(s)
	status := 0
	err := f.Do(t.Context(), unsafeRequest("r"), Sink{
		Head: func(code int, _ http.Header, _ int64) { status = code },
		Body: func([]byte) error { return nil },
	})
	if err == nil || outcome.FromError(err).Outcome != outcome.Unknown || status != 0 {
		t.Errorf("status %d, error %v, want an unknown outcome", status, err)
	}
}
