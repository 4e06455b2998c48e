package peer_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/beechhead/beechhead/internal/peer"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/standin"
)

// startRelayed serves the protocol behind a relay. The channel closed receives a
// value for each session that ends.
func startRelayed(t *testing.T) (r *standin.Relay, s *peer.Server, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{}, 10)
	s = &peer.Server{
		Welcome:     func() *peerv1.Welcome { return &peerv1.Welcome{Host: "b", Incarnation: 2} },
		OnHeartbeat: func(*peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse { return &peerv1.HeartbeatResponse{Digest: 7} },
		Attach: func(_ *peerv1.Hello, send func(*peerv1.ReservationsResponse)) peer.Session {
			return peer.Session{
				Handle: func(req *peerv1.ReservationsRequest) {
					for _, c := range req.GetCancels() {
						send(&peerv1.ReservationsResponse{Preempts: []uint64{c}})
					}
				},
				Close: func() { closed <- struct{}{} },
			}
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewHTTPServer(s.Handler(), nil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	r, err = standin.NewRelay(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, s, closed
}

func newPool(t *testing.T) *peer.Pool {
	p := peer.NewPool(nil, func(*http.Transport) {})
	t.Cleanup(p.Close)
	return p
}

// openStream opens a stream and waits for the first response on it.
func openStream(t *testing.T, p *peer.Pool, address string) *peer.Stream {
	t.Helper()
	responses := make(chan struct{}, 10)
	handle := func(resp *peerv1.ReservationsResponse) {
		if len(resp.GetPreempts()) > 0 {
			responses <- struct{}{}
		}
	}
	stream := p.Client(address).Reservations(context.Background(), &peerv1.Hello{Host: "a", Incarnation: 1}, handle)
	stream.Send(&peerv1.ReservationsRequest{Cancels: []uint64{1}})
	<-responses
	return stream
}

// Guards against idle reservations streams that hang for ever on a connection
// that delivers nothing any more. Neither side gets an error: the entry daemon
// would wait for grants, and the coordinator would keep an unused session. The
// pings of both sides must detect it.
func TestIdleStreamOnSilentConnectionEnds(t *testing.T) {
	r, _, closed := startRelayed(t)
	p := newPool(t)
	stream := openStream(t, p, r.Address())
	if r.Silence() != 1 {
		t.Error("the stream does not use the only connection")
	}
	<-stream.Done()
	<-closed
	openStream(t, p, r.Address()).Close()
}

// After a heartbeat has timed out on a connection that delivers nothing,
// CloseConnections must end the streams on it at once, and the next heartbeat
// must use a new connection.
func TestClosedConnectionsAreReopened(t *testing.T) {
	r, _, _ := startRelayed(t)
	p := newPool(t)
	stream := openStream(t, p, r.Address())
	r.Silence()
	p.CloseConnections(r.Address())
	<-stream.Done()
	resp, err := p.Client(r.Address()).Heartbeat(context.Background(), &peerv1.HeartbeatRequest{})
	if err != nil || resp.GetDigest() != 7 {
		t.Errorf("got response %v and error %v, want digest 7", resp, err)
	}
}

// When a host counts as gone although it is running, its streams must end, so that
// it opens new ones and reports what the coordinator has dropped.
func TestStreamsOfGoneHostEnd(t *testing.T) {
	r, s, closed := startRelayed(t)
	stream := openStream(t, newPool(t), r.Address())
	s.DropStreams("a", 99)
	select {
	case <-closed:
		t.Fatal("the stream of another incarnation ended")
	default:
	}
	s.DropStreams("a", 1)
	<-closed
	<-stream.Done()
}
