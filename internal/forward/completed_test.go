package forward

import (
	"net/http"
	"testing"
)

// Guards against taking a request for one that endpoints complete when its
// answer is a failure, or ends where an endpoint's end would end it too.
func TestWhatCountsAsCompleted(t *testing.T) {
	for _, tt := range []struct {
		name string
		resp http.Response
		want bool
	}{
		{"a length", http.Response{StatusCode: http.StatusOK, ContentLength: 3}, true},
		{"chunks", http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}}, true},
		{"the end of the connection", http.Response{StatusCode: http.StatusOK, ContentLength: -1}, false},
		{"a failure", http.Response{StatusCode: http.StatusRequestEntityTooLarge, ContentLength: 3}, false},
	} {
		if got := done(&tt.resp).success; got != tt.want {
			t.Errorf("%s: completed is %v, want %v", tt.name, got, tt.want)
		}
	}
}
