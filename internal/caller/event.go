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
	// stall bounds the time in which the caller must take what is written.
	stall time.Duration
	// bounded is when the connection's deadline was set last.
	bounded time.Time
	// begun is set once the status was sent.
	begun bool
	// buf is reused by each event.
	buf []byte
}

func newEventWriter(w http.ResponseWriter, stall time.Duration) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), stall: stall}
}

// event writes one event and sends it at once.
func (e *eventWriter) event(data []byte) error {
	e.begin()
	e.bound()
	e.buf = append(e.buf[:0], "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.rc.Flush()
}

// bound moves the connection's write deadline on. A caller whose connection
// has gone silent takes nothing and sends no end; without a deadline the write
// would block, and the request would keep its place on the engine. Setting the
// deadline costs more than reading the time, so a quarter of it may pass.
func (e *eventWriter) bound() {
	now := time.Now()
	if now.Sub(e.bounded) < e.stall/4 {
		return
	}
	e.bounded = now
	_ = e.rc.SetWriteDeadline(now.Add(e.stall))
}

func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome)
	e.w.WriteHeader(http.StatusOK)
}

// end writes the end marker, which tells the caller that the answer is whole.
func (e *eventWriter) end() error {
	e.begin()
	e.w.Header().Set(HeaderOutcome, string(outcome.Done))
	if err := e.event([]byte(endMarker)); err != nil {
		return outcome.UnknownError(outcome.ReasonCallerGone, err.Error())
	}
	return nil
}

// breakOff ends a stream that can't be completed with an error event and
// without the end marker, so that no caller takes it for a whole answer.
func (e *eventWriter) breakOff(err error) error {
	refusal := *outcome.FromError(err)
	refusal.Outcome = outcome.Unknown
	data, encodeErr := json.Marshal(detail(&refusal))
	if encodeErr != nil {
		return encodeErr
	}
	e.w.Header().Set(HeaderOutcome, string(refusal.Outcome))
	// A caller that is gone needs no error event.
	_ = e.event(data)
	return &refusal
}
