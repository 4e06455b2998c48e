package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/backlog"
	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/forward"
)

// forward forwards a request. If the memory of this host is known, what the caller has not
// read is held for it, and its endpoint is free as soon as it has sent the response.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, req *forward.Request, sink forward.Sink) (err error) {
	ctx, cancel := g.grace.With(r.Context(), req.Repeatable())
	defer cancel()
	if g.backlog == nil {
		return g.forwarder.Do(ctx, req, sink)
	}
	q := backlog.NewQueue(g.backlog)
	q.Deliver = sink.Body
	q.Interrupt = func() { interrupt(w, r) }
	q.OnBehind = func() { limitBuffer(r) }
	q.OnGiveWay = func(s backlog.Slowness) {
		cancel()
		g.logger.Warn("slow caller gave way", "request", req.ID, "class", req.Class, "account", req.Account,
			"heldBytes", int64(s.Held), "takenBytes", int64(s.Taken), "behindMs", s.Behind.Milliseconds())
	}
	sink.Body = func(p []byte) error { return q.Write(ctx.Done(), p) }
	returned := false
	// What uses the connection must have ended when this returns, also after a panic.
	defer func() {
		due := req.Deadline - g.boot.Now()
		if !returned || err != nil && due <= 0 {
			// What is held is no complete response, and no longer wanted.
			cancel()
		}
		if finishErr := q.Finish(ctx, due); finishErr != nil && !errors.Is(err, forward.ErrTruncated) {
			err = errors.Wrap(forward.ErrTruncated, finishErr.Error())
		}
	}()
	err = g.forwarder.Do(ctx, req, sink)
	returned = true
	return err
}

// callerBuffer is the size in bytes of the kernel's buffer for a caller for whom something
// is held. By itself it grows to some MB, which no budget covers, and takes more only in
// steps of a third of its size, which hide how fast the caller reads.
const callerBuffer = 256 << 10

// limitBuffer limits the kernel's buffer for a caller.
func limitBuffer(r *http.Request) {
	if c := callerConn(r); c != nil {
		_ = c.SetWriteBuffer(callerBuffer)
	}
}

// callerConn returns the connection of a request; nil if it is not TCP.
func callerConn(r *http.Request) *net.TCPConn {
	c := callerconn.FromContext(r.Context())
	if c == nil {
		return nil
	}
	tcp, _ := c.Conn.(*net.TCPConn)
	return tcp
}

// interrupt ends writes to a caller. Its connection will be reset, so that a truncated
// response does not look complete and the kernel drops the rest.
func interrupt(w http.ResponseWriter, r *http.Request) {
	if c := callerConn(r); c != nil {
		_ = c.SetLinger(0)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}

// setBacklogGauges sets the gauges of what is held for callers.
func (g *Gateway) setBacklogGauges() {
	if g.backlog == nil {
		return
	}
	f := g.backlog.Figures()
	g.metrics.Set("backlog.bytes", int64(f.Held))
	g.metrics.Set("backlog.responses", int64(f.Responses))
	g.metrics.Set("backlog.gaveWay", f.GaveWay)
	g.metrics.Set("backlog.behindMs", f.Behind.Milliseconds())
}
