package forward

import (
	"bufio"
	"bytes"
	"context"
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
