package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
)

const (
	// readSize is the size in bytes of the buffer for reading a stream.
	readSize = 2 << 10
	// maxEvent is the maximum size of an event in bytes.
	maxEvent = 1 << 20
	// maxRepeated is the maximum size in bytes of events that an endpoint repeats until it
	// sends a new one.
	maxRepeated = 16 << 20
)

var (
	errPartialEvent = errors.New("the stream ends within an event")
	errNoEvent      = errors.New("the stream ends with its connection before any event")
	errNoRoom       = errors.New("no room for an event without end")
	errEventless    = errors.New("the stream goes on without a new event")
)

// forwardStream forwards a stream of events, each as soon as it is complete. A
// truncated event is never forwarded, so that the stream can be continued with
// this event at another endpoint.
func (c *call) forwardStream(x *http1.Exchange, resp *http.Response) attemptResult {
	holding := c.run.hold(c.run.f.Events, x.Abort)
	defer holding.Close()
	var pending []byte
	received := false
	chunk := make([]byte, readSize)
	for {
		n, err := c.read(resp.Body, chunk)
		before := len(pending)
		var hasRoom bool
		if pending, hasRoom = holding.Append(pending, chunk[:n]); !hasRoom || holding.HasGivenWay() {
			return failedResult(outcome.ReasonWrongAnswer, errNoRoom)
		}
		whole := 0
		if mayEndEvent(pending, before) {
			whole = completeEvents(pending)
		}
		if whole > 0 {
			received = true
			switch err := c.forwardEvents(pending[:whole], resp); {
			case errors.Is(err, errSuperseded):
				return failedResult(outcome.ReasonSuperseded, err)
			case errors.Is(err, errEventless):
				return failedResult(outcome.ReasonWrongAnswer, err)
			case err != nil:
				return callerGoneResult(err)
			}
			pending = holding.Discard(pending, whole)
		}
		switch {
		case errors.Is(err, io.EOF) && !received && !isFramed(resp):
			return failedResult(outcome.ReasonTruncated, errNoEvent)
		case errors.Is(err, io.EOF):
			return c.endStream(x, resp, pending)
		case err != nil:
			return failedResult(readFailureReason(c.ctx, err), err)
		case len(pending) > maxEvent:
			return failedResult(outcome.ReasonWrongAnswer, errors.New("an event is too long"))
		}
	}
}

// endStream handles the end of the stream; pending is the data after the last
// complete event.
func (c *call) endStream(x *http1.Exchange, resp *http.Response, pending []byte) attemptResult {
	if len(pending) > 0 {
		return failedResult(outcome.ReasonTruncated, errPartialEvent)
	}
	if err := c.checkEnd(resp); err != nil {
		return failedResult(outcome.ReasonTruncated, err)
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	if !c.takeLead() {
		return failedResult(outcome.ReasonSuperseded, errSuperseded)
	}
	c.progress()
	c.run.sendStreamHead(resp)
	x.Finish()
	return forwardedResult(resp)
}

// sendStreamHead forwards the head of the first response. The events of later ones
// continue that response.
func (r *run) sendStreamHead(resp *http.Response) {
	if !r.headSent {
		r.sendHead(resp.StatusCode, resp.Header, -1)
	}
}

// forwardEvents forwards complete events, except those that the caller has
// already received. The error is errSuperseded if another call has gone on, errEventless
// if the endpoint has sent nothing new for too long.
func (c *call) forwardEvents(events []byte, resp *http.Response) error {
	c.recordFirstEvent()
	c.markBegun()
	out, err := c.takeEvents(events, resp)
	if err != nil {
		return err
	}
	if !c.checkNews(events, out) {
		return errEventless
	}
	if len(out) == 0 {
		return nil
	}
	c.endHoldUp()
	return c.write(out)
}

// checkNews reports whether a stream may go on after events of which out are new.
func (c *call) checkNews(events, out []byte) bool {
	switch {
	case len(out) == 0:
		c.repeated += len(events)
	case !hasField(out):
		c.comments += len(out)
	default:
		c.repeated, c.comments = 0, 0
	}
	return c.repeated <= maxRepeated && c.comments <= maxEvent
}

// hasField reports whether events have a line other than comments.
func hasField(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && line[0] != '\r' && line[0] != '\n' {
			return true
		}
	}
	return false
}

// takeEvents returns the events that the caller has not received yet. The call leads then,
// and may write them to the caller.
func (c *call) takeEvents(events []byte, resp *http.Response) ([]byte, error) {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	c.progress()
	out, count, last := r.newEvents(events)
	if count == 0 {
		return nil, nil
	}
	if !c.takeLead() {
		return nil, errSuperseded
	}
	c.writing = true
	r.sendStreamHead(resp)
	r.lastEvent = last
	c.events += count
	if r.events += count; r.events == count {
		r.recordFirstEvent(c)
	}
	for range count {
		c.grant.RecordToken()
	}
	return out, nil
}

// write writes a part of the body to the caller. A caller that reads slowly is no silence
// of the endpoint, and keeps no superseded call from ending.
func (c *call) write(p []byte) error {
	err := c.deliver(p)
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.writing = false
	return err
}

// deliver writes a part of the body to the caller. While the caller reads slowly, nothing
// is read from the endpoint, which counts neither as a gap between its events nor, if it
// cuts off what is not read, as its failure.
func (c *call) deliver(p []byte) error {
	r := c.run
	began := r.f.Clock.Now()
	err := r.sink.Body(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.f.Clock.Now()
	heldUp := now.Sub(began)
	c.longestHoldUp = max(c.longestHoldUp, heldUp)
	if heldUp >= minCutAfter {
		c.awaited = 0
	}
	c.grant.RecordHoldUp(heldUp)
	c.lastSign = now
	return err
}

// newEvents returns those of the events that the caller has not received yet, their
// number, and the id of the last event that the caller has with them.
func (r *run) newEvents(events []byte) (out []byte, count int, last string) {
	last = r.lastEvent
	for len(events) > 0 {
		n := completeEvent(events)
		event := events[:n]
		events = events[n:]
		id, ok := eventID(event)
		if ok && !isNext(last, id) {
			r.f.Metrics.Inc("events.repeated")
			continue
		}
		if ok {
			last = id
		}
		count++
		out = append(out, event...)
	}
	return out, count, last
}

// isNext reports whether the event with an id comes after the last one.
func isNext(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err != nil || n > before
}

// mayEndEvent reports whether data may have a complete event although the first part of it
// has none, so that a long event is not searched again with each part.
func mayEndEvent(data []byte, before int) bool {
	const end = len("\n\r\n") - 1
	if before < end {
		return true
	}
	tail := data[before-end:]
	return bytes.Contains(tail, []byte("\n\n")) || bytes.Contains(tail, []byte("\n\r\n"))
}

// completeEvents returns the length of the complete events at the start of data.
func completeEvents(data []byte) int {
	whole := 0
	for {
		n := completeEvent(data[whole:])
		if n == 0 {
			return whole
		}
		whole += n
	}
}

// completeEvent returns the length of the event at the start of data, including
// the empty line that ends it, or 0 if the event is incomplete.
func completeEvent(data []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[at:at+i], []byte("\r"))
		at += i + 1
		if len(line) == 0 {
			return at
		}
	}
}

var idField = []byte("id:")

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
