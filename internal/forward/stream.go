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
	// readSize is how much of a stream is read at once, in bytes.
	readSize = 2 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var errPartialEvent = errors.New("the stream ends within an event")

// stream passes on a stream of events, each as soon as it is whole. An event
// that is cut off never reaches the caller, so that the stream can go on with
// it elsewhere.
func (r *run) stream(ctx context.Context, x *http1.Exchange, resp *http.Response, grant *placement.Grant) end {
	var pending []byte
	chunk := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		whole := wholeEvents(pending)
		if whole > 0 {
			if err := r.passEvents(pending[:whole], resp, grant); err != nil {
				return end{err: err, reason: outcome.ReasonCallerGone, ran: true, report: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CALLER_GONE}
			}
			pending = append(pending[:0], pending[whole:]...)
			x.Patience(r.patience(silentPauses * r.r.Pause))
		}
		switch {
		case errors.Is(err, io.EOF):
			return r.endStream(x, resp, pending)
		case err != nil:
			return failure(readReason(ctx, err), err)
		case len(pending) > maxEvent:
			return failure(outcome.ReasonWrongAnswer, errors.New("an event is too long"))
		}
	}
}

func (r *run) endStream(x *http1.Exchange, resp *http.Response, pending []byte) end {
	if len(pending) > 0 {
		return failure(outcome.ReasonTruncated, errPartialEvent)
	}
	r.head(resp)
	x.Finish()
	return done(resp)
}

// head passes on the head of the first answer; later ones go on under it.
func (r *run) head(resp *http.Response) {
	if r.begun {
		return
	}
	r.begun = true
	r.sink.Head(resp.StatusCode, resp.Header, -1)
}

// passEvents passes on whole events but for those that the caller has.
func (r *run) passEvents(events []byte, resp *http.Response, grant *placement.Grant) error {
	r.head(resp)
	var out []byte
	for len(events) > 0 {
		n := wholeEvent(events)
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
			r.first = r.f.Clock.Since(r.began)
		}
		grant.Token()
		out = append(out, event...)
	}
	if len(out) == 0 {
		return nil
	}
	return r.sink.Body(out)
}

// isNext tells whether an event comes after the last one that the caller has.
func (r *run) isNext(id string) bool {
	last, err := strconv.ParseInt(r.lastEvent, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err != nil || n > last
}

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	whole := 0
	for {
		n := wholeEvent(data[whole:])
		if n == 0 {
			return whole
		}
		whole += n
	}
}

// wholeEvent returns the length of the event at the start of data, its empty
// line included; zero if it is not whole.
func wholeEvent(data []byte) int {
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
