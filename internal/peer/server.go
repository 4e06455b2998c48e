package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/peer/peerv1/peerv1connect"
)

// Session handles the batches of one reservations stream.
type Session struct {
	Handle func(*peerv1.ReservationsRequest)
	Close  func()
}

// Server answers other daemons. A call whose function is nil is refused.
type Server struct {
	// Welcome returns the name of this daemon.
	Welcome func() *peerv1.Welcome
	// Attach opens a session; its argument send does not block.
	Attach       func(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) Session
	OnHeartbeat  func(*peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse
	OnPushTable  func(context.Context, *peerv1.PushTableRequest) *peerv1.PushTableResponse
	OnFetchTable func(*peerv1.FetchTableRequest) *peerv1.FetchTableResponse
	OnAcquire    func(*peerv1.AcquireSlicesRequest) *peerv1.AcquireSlicesResponse
	OnFacts      func(*peerv1.FactsRequest) *peerv1.FactsResponse
	OnStatus     func(context.Context) *peerv1.StatusResponse

	streams streams
}

// errNotOffered refuses a call that the daemon has no use for.
var errNotOffered = connect.NewError(connect.CodeUnimplemented, errors.New("not offered by this daemon"))

// Handler returns the HTTP handler of the protocol.
func (s *Server) Handler(options ...connect.HandlerOption) http.Handler {
	options = append(options, connect.WithCompressMinBytes(compressFrom))
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(s, options...))
	return mux
}

// Reservations serves one stream until the other daemon ends it.
func (s *Server) Reservations(ctx context.Context, stream *connect.BidiStream[peerv1.ReservationsRequest, peerv1.ReservationsResponse]) error {
	first, err := stream.Receive()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	if first.GetHello() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first batch has no hello"))
	}
	if err := stream.Send(&peerv1.ReservationsResponse{Welcome: s.Welcome()}); err != nil {
		return errors.Wrap(err, "send welcome")
	}
	ctx, end := s.streams.open(ctx, first.GetHello())
	defer end()
	box := newOutbox[*peerv1.ReservationsResponse]()
	session := s.Attach(first.GetHello(), box.put)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = box.drain(ctx, mergeResponses, stream.Send)
	}()
	defer func() {
		session.Close()
		box.close()
		<-sent
	}()
	session.Handle(first)
	received := make(chan struct{})
	go func() {
		defer close(received)
		receiveAll(ctx, stream, session)
	}()
	// A handler's return makes a receive under way fail, but not before; so
	// the end of the context must end this function by itself.
	select {
	case <-received:
	case <-ctx.Done():
	}
	return nil
}

// receiveAll handles batches until the stream ends, for whatever reason.
func receiveAll(ctx context.Context, stream *connect.BidiStream[peerv1.ReservationsRequest, peerv1.ReservationsResponse], session Session) {
	for {
		req, err := stream.Receive()
		if err != nil || ctx.Err() != nil {
			return
		}
		session.Handle(req)
	}
}

// DropStreams ends the streams of an incarnation that counts as gone. If it
// is there after all, it opens new ones and reports again what it holds, which
// the coordinator has forgotten.
func (s *Server) DropStreams(host string, incarnation uint64) {
	s.streams.drop(streamKey{host, incarnation})
}

// Heartbeat exchanges views.
func (s *Server) Heartbeat(_ context.Context, req *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(s.OnHeartbeat(req.Msg)), nil
}

// PushTable takes in a table.
func (s *Server) PushTable(ctx context.Context, req *connect.Request[peerv1.PushTableRequest]) (*connect.Response[peerv1.PushTableResponse], error) {
	if s.OnPushTable == nil {
		return nil, errNotOffered
	}
	return connect.NewResponse(s.OnPushTable(ctx, req.Msg)), nil
}

// FetchTable returns the table in force.
func (s *Server) FetchTable(_ context.Context, req *connect.Request[peerv1.FetchTableRequest]) (*connect.Response[peerv1.FetchTableResponse], error) {
	if s.OnFetchTable == nil {
		return nil, errNotOffered
	}
	return connect.NewResponse(s.OnFetchTable(req.Msg)), nil
}

// AcquireSlices hands out shares of limits.
func (s *Server) AcquireSlices(_ context.Context, req *connect.Request[peerv1.AcquireSlicesRequest]) (*connect.Response[peerv1.AcquireSlicesResponse], error) {
	if s.OnAcquire == nil {
		return nil, errNotOffered
	}
	return connect.NewResponse(s.OnAcquire(req.Msg)), nil
}

// Facts returns what the daemon knows from the platform's store.
func (s *Server) Facts(_ context.Context, req *connect.Request[peerv1.FactsRequest]) (*connect.Response[peerv1.FactsResponse], error) {
	if s.OnFacts == nil {
		return nil, errNotOffered
	}
	return connect.NewResponse(s.OnFacts(req.Msg)), nil
}

// Status returns the daemon's figures.
func (s *Server) Status(ctx context.Context, _ *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	if s.OnStatus == nil {
		return nil, errNotOffered
	}
	return connect.NewResponse(s.OnStatus(ctx)), nil
}
