package httpresponse

import "net/http"

// Transport is a RoundTripper whose responses have passed Check.
type Transport struct {
	Next http.RoundTripper
}

// RoundTrip sends a request. The connection of an invalid response is closed unless its
// body has been read.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
