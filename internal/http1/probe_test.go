package http1

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

var errOtherProcess = errors.New("another process")

// sendProbed sends a request after a probe, and returns what the endpoint has received.
func sendProbed(t *testing.T, conns [][]step) (received []string, err error) {
	t.Helper()
	e := newEndpoint(t, conns)
	x, err := newTestPool().Send(context.Background(), e.listener.Addr().String(), &Request{
		Method: http.MethodPost, Target: "/x", Host: "x.example",
		Probe: &Probe{Target: "/report", Host: "x.example", Accept: func(_ int, _ http.Header, body []byte) error {
			if string(body) != "same" {
				return errOtherProcess
			}
			return nil
		}},
	})
	if err == nil {
		_, err = x.Response() //nolint:bodyclose // the exchange ends with its connection
		x.Abort()
	}
	for len(e.requests) > 0 {
		received = append(received, <-e.requests)
	}
	return received, err
}

// Guards against a request being sent to a process that the probe has ruled out, or that
// has not answered it, and on another connection than the probe.
func TestProbe(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, tt := range map[string]struct {
		conn []step
		want []string
		err  error
	}{
		"accepted":   {[]step{{Read: true, Write: ok + "same"}, {Read: true, Write: ok + "done"}}, []string{"GET /report ", "POST /x "}, nil},
		"ruled out":  {[]step{{Read: true, Write: ok + "else"}, {Read: true, Write: ok + "done"}}, []string{"GET /report "}, errOtherProcess},
		"unanswered": {[]step{{Read: true, Close: true}}, []string{"GET /report "}, ErrNotSent},
		"closes":     {[]step{{Read: true, Write: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nsame"}}, []string{"GET /report "}, ErrNotSent},
	} {
		t.Run(name, func(t *testing.T) {
			received, err := sendProbed(t, [][]step{tt.conn})
			if !slices.Equal(received, tt.want) || !errors.Is(err, tt.err) {
				t.Errorf("the endpoint received %q, error %v; want %q, %v", received, err, tt.want, tt.err)
			}
		})
	}
}

// Guards against a probe that waits for a silent endpoint on one kept connection after the
// other, and against an endpoint that is only silent being taken for one that has failed.
func TestSilentEndpointIsProbedOnOneKeptConnection(t *testing.T) {
	const kept = 3
	e := newEndpoint(t, [][]step{{{Read: true}}, {{Read: true}}, {{Read: true}}, {{Read: true}}})
	address := e.listener.Addr().String()
	p := newTestPool()
	for range kept {
		c, err := p.dialConn(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		p.put(address, c, defaultIdleTimeout)
	}
	_, err := p.Send(t.Context(), address, &Request{
		Method: http.MethodPost, Target: "/x", Host: "x.example", Probe: &Probe{Target: "/report", Host: "x.example"},
	})
	if !errors.Is(err, ErrSilent) || !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want %v", err, ErrSilent)
	}
	if got := len(e.requests); got != 2 {
		t.Errorf("%d probes, want one on a kept connection and one on a new one", got)
	}
}

// Guards against a request that is sent after its caller has left while the endpoint was
// probed.
func TestRequestIsNotSentAfterItsCallerHasLeft(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	e := newEndpoint(t, [][]step{{{Read: true, Write: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, {Read: true}}})
	_, err := newTestPool().Send(ctx, e.listener.Addr().String(), &Request{
		Method: http.MethodPost, Target: "/x", Host: "x.example",
		Probe: &Probe{Target: "/report", Host: "x.example", Accept: func(int, http.Header, []byte) error { leave(); return nil }},
	})
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want %v", err, ErrNotSent)
	}
}

// Guards against treating an endpoint that can't be reached as terminated, and
// a terminated endpoint as reachable.
func TestEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := newTestPool()
	address := l.Addr().String()
	if p.HasTerminated(context.Background(), address) {
		t.Error("an endpoint that listens is reported as terminated")
	}
	if len(p.idle[address]) != 1 {
		t.Error("the connection was not kept")
	}
	if !p.Alive(address) || len(p.idle[address]) != 1 {
		t.Error("an endpoint with an idle connection is not reported as alive, or the connection was not kept")
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	_ = l.Close()
	for p.Alive(address) {
		time.Sleep(time.Millisecond)
	}
	if !p.HasTerminated(context.Background(), address) {
		t.Error("an endpoint that refuses connections is not reported as terminated")
	}
	p.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Nanosecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if p.HasTerminated(context.Background(), address) {
		t.Error("an endpoint that can't be reached is reported as terminated")
	}
}
