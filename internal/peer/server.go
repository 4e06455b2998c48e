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

// Server handles the calls of other daemons. PushTable, FetchTable, AcquireSlices,
// Facts and Status are refused if their function is nil.
type Server struct {
	// Welcome returns the host and the incarnation of this daemon.
	Welcome func() *peerv1.Welcome
	// Attach opens a session for a stream. Its argument send, which sends a
	// batch to the other daemon, does not block.
	Attach          func(hello *peerv1.Hello, send func(*peerv1.ReservationsResponse)) Session
	OnHeartbeat     func(*peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse
	OnPushTable     func(context.Context, *peerv1.PushTableRequest) *peerv1.PushTableResponse
	OnFetchTable    func(*peerv1.FetchTableRequest) *peerv1.FetchTableResponse
	OnAcquireSlices func(*peerv1.AcquireSlicesRequest) *peerv1.AcquireSlicesResponse
	OnFacts         func(*peerv1.FactsRequest) *peerv1.FactsResponse
	OnStatus        func(context.Context) *peerv1.StatusResponse

	streams streams
}

// errUnimplemented refuses a call that this daemon does not implement.
var errUnimplemented = connect.NewError(connect.CodeUnimplemented, errors.New("not offered by this daemon"))

// Handler returns the HTTP handler of the protocol.
func (s *Server) Handler(options ...connect.HandlerOption) http.Handler {
	options = append(options,
		connect.WithCompression(compression, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(s, options...))
	return mux
}

// Reservations serves one stream until the other daemon closes it, its connection
// is lost or DropStreams ends it.
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
	// A receive in progress fails only when the handler returns, so the handler
	// must also return when the context is done.
	select {
	case <-received:
	case <-ctx.Done():
	}
	return nil
}

// receiveAll handles batches until the stream has ended or failed, or its context
// is done.
func receiveAll(ctx context.Context, stream *connect.BidiStream[peerv1.ReservationsRequest, peerv1.ReservationsResponse], session Session) {
	for {
		req, err := stream.Receive()
		if err != nil || ctx.Err() != nil {
			return
		}
		session.Handle(req)
	}
}

// DropStreams ends the streams of an incarnation that counts as gone. If it is
// still running, it opens new streams and reports its grants and waiting
// reservations again, which the coordinator has dropped.
func (s *Server) DropStreams(host string, incarnation uint64) {
	s.streams.drop(streamKey{host, incarnation})
}

// Heartbeat exchanges the daemons' views of the hosts.
func (s *Server) Heartbeat(_ context.Context, req *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(s.OnHeartbeat(req.Msg)), nil
}

// PushTable handles the announcement of a version of the table.
func (s *Server) PushTable(ctx context.Context, req *connect.Request[peerv1.PushTableRequest]) (*connect.Response[peerv1.PushTableResponse], error) {
	if s.OnPushTable == nil {
		return nil, errUnimplemented
	}
	return connect.NewResponse(s.OnPushTable(ctx, req.Msg)), nil
}

// FetchTable returns the table in force.
func (s *Server) FetchTable(_ context.Context, req *connect.Request[peerv1.FetchTableRequest]) (*connect.Response[peerv1.FetchTableResponse], error) {
	if s.OnFetchTable == nil {
		return nil, errUnimplemented
	}
	return connect.NewResponse(s.OnFetchTable(req.Msg)), nil
}

// AcquireSlices grants slices of limits that this daemon owns.
func (s *Server) AcquireSlices(_ context.Context, req *connect.Request[peerv1.AcquireSlicesRequest]) (*connect.Response[peerv1.AcquireSlicesResponse], error) {
	if s.OnAcquireSlices == nil {
		return nil, errUnimplemented
	}
	return connect.NewResponse(s.OnAcquireSlices(req.Msg)), nil
}

// Facts returns the facts that the daemon has from the platform's store.
func (s *Server) Facts(_ context.Context, req *connect.Request[peerv1.FactsRequest]) (*connect.Response[peerv1.FactsResponse], error) {
	if s.OnFacts == nil {
		return nil, errUnimplemented
	}
	return connect.NewResponse(s.OnFacts(req.Msg)), nil
}

// Status returns the daemon's status.
func (s *Server) Status(ctx context.Context, _ *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	if s.OnStatus == nil {
		return nil, errUnimplemented
	}
	return connect.NewResponse(s.OnStatus(ctx)), nil
}
