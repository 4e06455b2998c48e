package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/http1"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/placement"
)

const (
	// readSize is the size in bytes of the buffer for reading a stream.
	readSize = 2 << 10
	// maxEvent is the maximum size of an event in bytes.
	maxEvent = 1 << 20
)

var (
	errPartialEvent = errors.New("the stream ends within an event")
	errNoEvent      = errors.New("the stream ends with its connection before any event")
)

// forwardStream forwards a stream of events, each as soon as it is complete. A
// truncated event is never forwarded, so that the stream can be continued with
// this event at another endpoint.
func (r *run) forwardStream(ctx context.Context, x *http1.Exchange, resp *http.Response, grant *placement.Grant) attemptResult {
	var pending []byte
	received := false
	chunk := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		whole := completeEvents(pending)
		if whole > 0 {
			received = true
			if err := r.forwardEvents(pending[:whole], resp, grant); err != nil {
				return attemptResult{err: err, reason: outcome.ReasonCallerGone, mayHaveRun: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
			}
			pending = append(pending[:0], pending[whole:]...)
			x.SetReadTimeout(r.silenceTimeout(gapsUntilSilent * r.req.GapTarget))
		}
		switch {
		case errors.Is(err, io.EOF) && !received && !isFramed(resp):
			return failedResult(outcome.ReasonTruncated, errNoEvent)
		case errors.Is(err, io.EOF):
			return r.endStream(ctx, x, resp, pending, grant)
		case err != nil:
			return failedResult(readFailureReason(ctx, err), err)
		case len(pending) > maxEvent:
			return failedResult(outcome.ReasonWrongAnswer, errors.New("an event is too long"))
		}
	}
}

// endStream handles the end of the stream; pending is the data after the last
// complete event.
func (r *run) endStream(ctx context.Context, x *http1.Exchange, resp *http.Response, pending []byte, grant *placement.Grant) attemptResult {
	if len(pending) > 0 {
		return failedResult(outcome.ReasonTruncated, errPartialEvent)
	}
	if r.endedWithEndpoint(ctx, resp, &grant.Endpoint) {
		return failedResult(outcome.ReasonTruncated, errEndpointTerminated)
	}
	r.sendHead(resp)
	x.Finish()
	return forwardedResult(resp)
}

// sendHead forwards the head of the first response. The events of later ones
// continue that response.
func (r *run) sendHead(resp *http.Response) {
	if r.headSent {
		return
	}
	r.headSent = true
	r.sink.Head(resp.StatusCode, resp.Header, -1)
}

// forwardEvents forwards complete events, except those that the caller has
// already received.
func (r *run) forwardEvents(events []byte, resp *http.Response, grant *placement.Grant) error {
	r.markBegun()
	r.sendHead(resp)
	var out []byte
	for len(events) > 0 {
		n := completeEvent(events)
		event := events[:n]
		events = events[n:]
		id, ok := eventID(event)
		if ok && !r.isNext(id) {
			r.f.Metrics.Inc("events.repeated")
			continue
		}
		if ok {
			r.lastEvent = id
		}
		if r.events++; r.events == 1 {
			r.recordFirstEvent(grant)
		}
		grant.RecordToken()
		out = append(out, event...)
	}
	if len(out) == 0 {
		return nil
	}
	return r.sink.Body(out)
}

// isNext reports whether an event comes after the last one that the caller has
// received.
func (r *run) isNext(id string) bool {
	last, err := strconv.ParseInt(r.lastEvent, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err != nil || n > last
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
