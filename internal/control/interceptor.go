package control

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/peer/peerv1/peerv1connect"
)

var flowOfProcedure = map[string]Flow{
	peerv1connect.PeerServiceHeartbeatProcedure:     Heartbeat,
	peerv1connect.PeerServicePushTableProcedure:     TablePush,
	peerv1connect.PeerServiceFetchTableProcedure:    TableFetch,
	peerv1connect.PeerServiceReservationsProcedure:  Reservations,
	peerv1connect.PeerServiceAcquireSlicesProcedure: Slices,
	peerv1connect.PeerServiceStatusProcedure:        Status,
}

// Interceptor counts the messages of connect calls, on either side.
func (m *Meter) Interceptor() connect.Interceptor { return interceptor{m} }

type interceptor struct{ meter *Meter }

// WrapUnary counts a request and its answer.
func (i interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		c := i.counters(req.Spec())
		out, in := c.countSent, c.countReceived
		if !req.Spec().IsClient {
			out, in = in, out
		}
		out(req.Any())
		resp, err := next(ctx, req)
		if err == nil {
			in(resp.Any())
		}
		return resp, err
	}
}

// WrapStreamingClient counts the messages of a stream at its opener.
func (i interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return &clientStream{StreamingClientConn: next(ctx, spec), counters: i.counters(spec)}
	}
}

// WrapStreamingHandler counts the messages of a stream at its server.
func (i interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		return next(ctx, &handlerStream{StreamingHandlerConn: c, counters: i.counters(c.Spec())})
	}
}

func (i interceptor) counters(spec connect.Spec) *counters {
	return i.meter.counters[flowOfProcedure[spec.Procedure]]
}

func (c *counters) countSent(message any) {
	c.messages.Inc(1)
	c.sent.Inc(size(message))
}

func (c *counters) countReceived(message any) {
	c.messages.Inc(1)
	c.received.Inc(size(message))
}

func size(message any) int64 {
	m, ok := message.(proto.Message)
	if !ok {
		return 0
	}
	return int64(proto.Size(m))
}

type clientStream struct {
	connect.StreamingClientConn
	counters *counters
}

// Send counts the message.
func (s *clientStream) Send(message any) error {
	s.counters.countSent(message)
	return s.StreamingClientConn.Send(message)
}

// Receive counts the message.
func (s *clientStream) Receive(message any) error {
	if err := s.StreamingClientConn.Receive(message); err != nil {
		return err
	}
	s.counters.countReceived(message)
	return nil
}

type handlerStream struct {
	connect.StreamingHandlerConn
	counters *counters
}

// Send counts the message.
func (s *handlerStream) Send(message any) error {
	s.counters.countSent(message)
	return s.StreamingHandlerConn.Send(message)
}

// Receive counts the message.
func (s *handlerStream) Receive(message any) error {
	if err := s.StreamingHandlerConn.Receive(message); err != nil {
		return err
	}
	s.counters.countReceived(message)
	return nil
}
