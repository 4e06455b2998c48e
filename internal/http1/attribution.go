package http1

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/httpresponse"
)

// Attribution is the request that a response states that it answers.
type Attribution string

// The attributions of a response.
const (
	// Own means that the response names the request that was sent last on its
	// connection.
	Own Attribution = "own"
	// Foreign means that it names another one.
	Foreign Attribution = "foreign"
	// Unstated means that it names none.
	Unstated Attribution = "unstated"
)

// Head describes the head of a response that was received.
type Head struct {
	Status int
	// Names is the id of the request that the response names; empty if it names none.
	Names string
	// At is the time from when the request was written.
	At time.Duration
}

// attribute returns the attribution of a response, and the id that it names.
func (r *Request) attribute(h http.Header) (Attribution, string) {
	if r.NamedID == nil {
		return Own, r.ID
	}
	switch id := r.NamedID(h); id {
	case "":
		return Unstated, ""
	case r.ID:
		return Own, id
	default:
		return Foreign, id
	}
}

// addHead records the head of a response.
func (x *Exchange) addHead(resp *http.Response, names string) {
	x.heads = append(x.heads, Head{Status: resp.StatusCode, Names: names, At: x.pool.clock.Since(x.writtenAt)})
}

// UnattributedError reports that only a response was received that names no request and
// may answer an earlier one on its connection. The request may have been executed.
type UnattributedError struct {
	Status int
	Header http.Header
}

// Error returns the status.
func (e *UnattributedError) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " that may answer another request"
}

// Response waits for the headers of the response. It skips informational
// responses and responses that belong to other requests. If it receives one that names
// no request and may belong to another one, the error is an UnattributedError unless the
// response that names the request follows in time.
func (x *Exchange) Response() (*http.Response, error) {
	request := &http.Request{Method: x.request.Method, Header: x.request.Header}
	x.conn.allowance = x.maxHead
	defer func() { x.conn.allowance = -1 }()
	var a await
	for range maxForeignResponses + 1 {
		resp, err := httpresponse.Read(x.conn.reader, request)
		if err != nil {
			x.noReuse = true
			return x.endAwait(&a, err)
		}
		var names string
		x.attribution, names = x.request.attribute(resp.Header)
		x.addHead(resp, names)
		if x.isOwn(resp) && !x.isFollowed(resp) {
			a.response = resp
			return x.endAwait(&a, nil)
		}
		// The next response may belong to this request, but the connection must not be
		// reused.
		x.noReuse = true
		if x.attribution == Unstated {
			if err := x.beginAwait(&a, resp); err != nil {
				return nil, err
			}
		}
		x.skipped++
		if resp == a.response {
			continue
		}
		if err := x.skipBody(resp); err != nil {
			return x.endAwait(&a, errors.Wrap(err, "skip response"))
		}
	}
	return x.endAwait(&a, ErrForeignResponse)
}

// await holds the responses received while the one that names the request is awaited.
type await struct {
	begun bool
	// response is the response if none that names the request follows; nil if there is
	// none that certainly answers it.
	response *http.Response
	// unattributed is the first response that may answer another request.
	unattributed *UnattributedError
}

// beginAwait takes a response that names no request, and limits the time for the one that
// does. It returns an error if that is not awaited.
func (x *Exchange) beginAwait(a *await, resp *http.Response) error {
	if a.begun {
		return nil
	}
	a.begun = true
	wait := x.request.AwaitOwn
	if x.isOwn(resp) {
		// All of it is in the buffer, since another response follows.
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		resp.Body = io.NopCloser(bytes.NewReader(body))
		a.response, wait = resp, followWait
	} else if a.unattributed = (&UnattributedError{Status: resp.StatusCode, Header: resp.Header}); wait <= 0 {
		return a.unattributed
	}
	return x.conn.SetReadDeadline(time.Now().Add(wait))
}

// endAwait returns the response, or the error with which it was awaited in vain.
func (x *Exchange) endAwait(a *await, err error) (*http.Response, error) {
	if err != nil && a.begun {
		x.attribution = Unstated
	}
	switch {
	case a.response != nil:
	case a.unattributed != nil:
		return nil, a.unattributed
	default:
		return nil, err
	}
	x.resp = a.response
	x.noReuse = x.noReuse || x.attribution != Own
	if a.begun {
		return x.resp, x.conn.SetReadDeadline(time.Time{})
	}
	return x.resp, nil
}

// isOwn reports whether the response certainly answers this request: it names the request,
// or it names none, may be its response all the same, and no other request was written to
// the connection before.
func (x *Exchange) isOwn(resp *http.Response) bool {
	if x.attribution != Unstated {
		return x.attribution == Own
	}
	mayBeOwn := x.request.MayBeOwn
	return x.conn.requests == 1 && x.skipped == 0 && (mayBeOwn == nil || mayBeOwn(resp.StatusCode, resp.Header))
}

// isFollowed reports whether more than a response that names no request has come. An
// endpoint may send one that answers none before that which names it.
func (x *Exchange) isFollowed(resp *http.Response) bool {
	return x.attribution == Unstated && resp.ContentLength >= 0 && int64(x.conn.reader.Buffered()) > resp.ContentLength
}

// skipBody reads a response to another request to its end.
func (x *Exchange) skipBody(resp *http.Response) error {
	heads := x.conn.allowance
	x.conn.allowance = maxSkipped
	_, err := io.Copy(io.Discard, resp.Body)
	x.conn.allowance = heads
	return err
}
