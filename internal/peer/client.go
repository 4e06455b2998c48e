package peer

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/peer/peerv1/peerv1connect"
)

// Client calls one other daemon.
type Client struct {
	rpc peerv1connect.PeerServiceClient
}

// NewClient returns a client of the daemon at a peer address such as
// "10.0.0.1:7401".
func NewClient(transport http.RoundTripper, scheme, address string, options ...connect.ClientOption) *Client {
	options = append(options,
		connect.WithAcceptCompression(compression, newDecompressor, newCompressor),
		connect.WithSendCompression(compression),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	return &Client{rpc: peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, scheme+"://"+address, options...)}
}

// Heartbeat exchanges the daemons' views of the hosts.
func (c *Client) Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return unary(ctx, req, c.rpc.Heartbeat)
}

// PushTable announces a version of the table.
func (c *Client) PushTable(ctx context.Context, req *peerv1.PushTableRequest) (*peerv1.PushTableResponse, error) {
	return unary(ctx, req, c.rpc.PushTable)
}

// FetchTable fetches the table in force.
func (c *Client) FetchTable(ctx context.Context, req *peerv1.FetchTableRequest) (*peerv1.FetchTableResponse, error) {
	return unary(ctx, req, c.rpc.FetchTable)
}

// AcquireSlices requests slices of limits from their owner.
func (c *Client) AcquireSlices(ctx context.Context, req *peerv1.AcquireSlicesRequest) (*peerv1.AcquireSlicesResponse, error) {
	return unary(ctx, req, c.rpc.AcquireSlices)
}

// Facts fetches the facts that the daemon has from the platform's store.
func (c *Client) Facts(ctx context.Context, req *peerv1.FactsRequest) (*peerv1.FactsResponse, error) {
	return unary(ctx, req, c.rpc.Facts)
}

// Status fetches the daemon's status.
func (c *Client) Status(ctx context.Context) (*peerv1.StatusResponse, error) {
	return unary(ctx, &peerv1.StatusRequest{}, c.rpc.Status)
}

func unary[Req, Resp any](ctx context.Context, req *Req, call func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	resp, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrap(err, "call peer")
	}
	return resp.Msg, nil
}

// Stream is the entry daemon's side of a reservations stream.
type Stream struct {
	rpc    *connect.BidiStreamForClient[peerv1.ReservationsRequest, peerv1.ReservationsResponse]
	box    *outbox[*peerv1.ReservationsRequest]
	cancel context.CancelFunc
	once   sync.Once
	done   chan struct{}
}

// Reservations opens a stream. Each received batch is passed to handle. Done is
// closed when the stream has ended.
func (c *Client) Reservations(ctx context.Context, hello *peerv1.Hello, handle func(*peerv1.ReservationsResponse)) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		rpc:    c.rpc.Reservations(ctx),
		box:    newOutbox[*peerv1.ReservationsRequest](),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	s.box.put(&peerv1.ReservationsRequest{Hello: hello})
	go s.sendAll(ctx)
	go s.receiveAll(handle)
	return s
}

// Send queues a batch without blocking.
func (s *Stream) Send(req *peerv1.ReservationsRequest) { s.box.put(req) }

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Close ends the stream.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.cancel()
		_ = s.rpc.CloseRequest()
	})
}

func (s *Stream) sendAll(ctx context.Context) {
	defer s.Close()
	_ = s.box.drain(ctx, mergeRequests, s.rpc.Send)
}

func (s *Stream) receiveAll(handle func(*peerv1.ReservationsResponse)) {
	defer close(s.done)
	defer s.Close()
	for {
		resp, err := s.rpc.Receive()
		if err != nil {
			return
		}
		handle(resp)
	}
}
