package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// Guards against a peer that is taken for lost while it acknowledges, and against one
// that is lost and never found.
func TestLossIsMissingAcknowledgement(t *testing.T) {
	type check struct {
		awaited bool
		since   time.Duration
	}
	lost, silent := check{true, time.Minute}, check{false, time.Minute}
	for _, tt := range []struct {
		name   string
		checks []check
		want   bool
	}{
		{"data is not acknowledged", []check{lost, lost, lost}, true},
		{"too short", []check{lost, lost}, false},
		{"nothing was sent", []check{silent, silent, silent, silent}, false},
		{"data is acknowledged, more is in transit", []check{{true, 0}, {true, 0}, {true, 0}, {true, 0}}, false},
		{"probes of a full window, further and further apart", []check{lost, silent, silent, lost, silent, silent, silent, lost}, false},
		{"an acknowledgement in between", []check{lost, lost, {true, time.Millisecond}, lost, lost}, false},
	} {
		d := lossDetector{limit: 3}
		got := false
		for _, c := range tt.checks {
			got = d.isLost(c.awaited, c.since) || got
		}
		if got != tt.want {
			t.Errorf("%s: lost: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against the end of a request whose endpoint reads nothing of a long body for
// longer than the user timeout, though its machine acknowledges.
func TestEndpointMayStopReading(t *testing.T) {
	t.Parallel()
	const (
		timeout = time.Second
		size    = 16 << 20
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * timeout)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}))
	defer server.Close()
	s := NewSender(newTransport(timeout))
	resp, err := s.Send(t.Context(), Request{Method: http.MethodPost, URL: server.URL, Header: http.Header{}, Body: make([]byte, size)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != strconv.Itoa(size) {
		t.Errorf("the endpoint has read %s bytes, %v", body, err)
	}
}
