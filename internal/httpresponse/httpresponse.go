// Package httpresponse decides whether bytes are a response in HTTP (RFC 9110). net/http
// parses heads that are none, such as those with a status code of 000.
package httpresponse

import (
	"bufio"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid means that a response was received that HTTP does not allow. The request may
// have been executed.
var ErrInvalid = errors.New("invalid HTTP response")

// Status codes are 100 to 599; those from firstFinal on end an exchange.
const (
	firstFinal = 200
	lastStatus = 599
)

// Read reads the head of the final response to a request from an HTTP/1.1 connection and
// skips informational ones. A head that is parsed, but not allowed, is an ErrInvalid. The
// body must be read before the connection carries another request. A nil request stands for
// an unconditional GET.
func Read(r *bufio.Reader, req *http.Request) (_ *http.Response, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read response")
		}
	}()
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.ProtoMajor != 1 {
			return nil, errors.Wrapf(ErrInvalid, "version %q", resp.Proto)
		}
		if isInformational(resp.StatusCode) {
			continue
		}
		if err := Check(resp); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// isInformational reports whether a final response follows. Status 101 is not among them:
// nothing that this system sends asks for another protocol.
func isInformational(status int) bool {
	return status/100 == 1 && status != http.StatusSwitchingProtocols
}

// Check returns an ErrInvalid if a final response is not one that HTTP allows for its
// request.
func Check(resp *http.Response) error {
	status := resp.StatusCode
	switch {
	case status < firstFinal || status > lastStatus:
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	case status == http.StatusNotModified && !isConditional(resp.Request):
		return errors.Wrap(ErrInvalid, "status 304 to an unconditional request")
	case status == http.StatusResetContent && resp.ContentLength != 0:
		return errors.Wrap(ErrInvalid, "status 205 with content")
	}
	for name, values := range resp.Header {
		for _, v := range values {
			if strings.ContainsAny(v, "\x00\r\n") {
				return errors.Wrapf(ErrInvalid, "header %s with a control character", name)
			}
		}
	}
	return nil
}

// isConditional reports whether status 304 may answer a request.
func isConditional(req *http.Request) bool {
	if req == nil || req.Method != http.MethodGet && req.Method != http.MethodHead {
		return false
	}
	return req.Header.Get("If-None-Match") != "" || req.Header.Get("If-Modified-Since") != ""
}
