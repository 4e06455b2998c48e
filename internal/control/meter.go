// Package control counts the traffic that daemons cause among themselves and
// at the platform, by flow and apart from callers' traffic.
package control

import (
	"context"
	"net"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/beechhead/beechhead/internal/metric"
)

// Flow names one kind of control traffic.
type Flow string

// The flows. PeerWire, Platform and EngineLoad count the bytes of connections, with all
// framing; the others count the bytes of messages, which are part of PeerWire.
const (
	Heartbeat    Flow = "heartbeat"
	TablePush    Flow = "tablePush"
	TableFetch   Flow = "tableFetch"
	TablePoll    Flow = "tablePoll"
	Reservations Flow = "reservations"
	Slices       Flow = "slices"
	Status       Flow = "status"
	PeerWire     Flow = "peerWire"
	Platform     Flow = "platform"
	EngineLoad   Flow = "engineLoad"
)

var flows = []Flow{Heartbeat, TablePush, TableFetch, TablePoll, Reservations, Slices, Status, PeerWire, Platform, EngineLoad}

// Meter counts bytes and messages by flow, in the counters
// control.FLOW.bytesSent, control.FLOW.bytesReceived and
// control.FLOW.messages. It is safe for concurrent use.
type Meter struct {
	// counters has every flow and never changes.
	counters map[Flow]*counters
}

type counters struct {
	sent     gometrics.Counter
	received gometrics.Counter
	messages gometrics.Counter
}

// NewMeter returns a meter that counts in the registry.
func NewMeter(metrics *metric.Registry) *Meter {
	m := &Meter{counters: map[Flow]*counters{}}
	for _, f := range flows {
		prefix := "control." + string(f)
		m.counters[f] = &counters{
			sent:     metrics.Counter(prefix + ".bytesSent"),
			received: metrics.Counter(prefix + ".bytesReceived"),
			messages: metrics.Counter(prefix + ".messages"),
		}
	}
	return m
}

// Message counts a message of a flow.
func (m *Meter) Message(f Flow) { m.counters[f].messages.Inc(1) }

// DialFunc opens a connection, as in net/http's Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that counts the bytes of the connections that dial
// opens.
func (m *Meter) Dial(f Flow, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, counters: m.counters[f]}, nil
	}
}

// RoundTripper counts each request and its answer as messages.
func (m *Meter) RoundTripper(f Flow, next http.RoundTripper) http.RoundTripper {
	return roundTripper{next: next, messages: m.counters[f].messages}
}

type roundTripper struct {
	next     http.RoundTripper
	messages gometrics.Counter
}

// RoundTrip passes the request on.
func (t roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	t.messages.Inc(1)
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		t.messages.Inc(1)
	}
	return resp, err
}

// CloseIdleConnections lets http.Client reach the transport's own method.
func (t roundTripper) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Listener counts the bytes of the connections that l accepts.
func (m *Meter) Listener(f Flow, l net.Listener) net.Listener {
	return &listener{Listener: l, counters: m.counters[f]}
}

type listener struct {
	net.Listener
	counters *counters
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, counters: l.counters}, nil
}

// conn counts what passes through a connection.
type conn struct {
	net.Conn
	counters *counters
}

// Read counts the bytes received.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Inc(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Inc(int64(n))
	return n, err
}
