package forward

import (
	"net/http"
	"testing"
)

// A request must not count as completed if its response is an error, or is
// delimited by the end of the connection: it would look the same if the endpoint
// terminated. Completed requests are not quarantined.
func TestCompletedResponses(t *testing.T) {
	for _, tt := range []struct {
		name string
		resp http.Response
		want bool
	}{
		{"content length", http.Response{StatusCode: http.StatusOK, ContentLength: 3}, true},
		{"chunked", http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}}, true},
		{"end of connection", http.Response{StatusCode: http.StatusOK, ContentLength: -1}, false},
		{"error status", http.Response{StatusCode: http.StatusRequestEntityTooLarge, ContentLength: 3}, false},
	} {
		if got := forwardedResult(&tt.resp).completed; got != tt.want {
			t.Errorf("%s: completed is %v, want %v", tt.name, got, tt.want)
		}
	}
}
