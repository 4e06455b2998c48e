package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/beechhead/beechhead/internal/outcome"
)

const endMarker = "[DONE]"

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// stallTimeout bounds the time in which the caller must receive what is
	// written.
	stallTimeout time.Duration
	// http2 reports whether the connection speaks HTTP/2, where a write deadline that
	// expires ends the stream even if nothing is being written.
	http2 bool
	// deadlineSetAt is when the connection's write deadline was last set.
	deadlineSetAt time.Time
	// started is set once the response headers were sent.
	started bool
	// buf is reused for each event.
	buf []byte
}

func newEventWriter(w http.ResponseWriter, r *http.Request, stall time.Duration) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), stallTimeout: stall, http2: r.ProtoMajor > 1}
}

// writeEvent writes an event and flushes it.
func (e *eventWriter) writeEvent(data []byte) error {
	e.writeHeader()
	e.extendDeadline()
	e.buf = append(e.buf[:0], "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	err := e.rc.Flush()
	if e.http2 {
		_ = e.rc.SetWriteDeadline(time.Time{})
	}
	return err
}

// extendDeadline extends the connection's write deadline. If the caller's
// connection stalls without being closed, a write without a deadline would
// block and the request would keep its slot on the engine. Setting the deadline
// costs more than reading the time, so it is extended only after a quarter of
// the timeout, unless writeEvent removes it each time.
func (e *eventWriter) extendDeadline() {
	now := time.Now()
	if !e.http2 && now.Sub(e.deadlineSetAt) < e.stallTimeout/4 {
		return
	}
	e.deadlineSetAt = now
	_ = e.rc.SetWriteDeadline(now.Add(e.stallTimeout))
}

func (e *eventWriter) writeHeader() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome)
	e.w.WriteHeader(http.StatusOK)
}

// writeEndMarker writes the end marker, which tells the caller that the
// response is complete.
func (e *eventWriter) writeEndMarker() error {
	e.writeHeader()
	e.w.Header().Set(HeaderOutcome, string(outcome.Done))
	if err := e.writeEvent([]byte(endMarker)); err != nil {
		return outcome.UnknownError(outcome.ReasonCallerGone, err.Error())
	}
	return nil
}

// writeError ends a stream that can't be completed with an error event and
// without the end marker, so that no caller treats it as complete.
func (e *eventWriter) writeError(err error) error {
	refusal := *outcome.FromError(err)
	refusal.Outcome = outcome.Unknown
	data, encodeErr := json.Marshal(newErrorBody(&refusal))
	if encodeErr != nil {
		return encodeErr
	}
	e.w.Header().Set(HeaderOutcome, string(refusal.Outcome))
	// A caller that has disconnected needs no error event, so a failure is
	// ignored.
	_ = e.writeEvent(data)
	return &refusal
}
