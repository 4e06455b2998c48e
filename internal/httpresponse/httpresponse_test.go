package httpresponse

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// head is a test case of testdata/heads.json: the start of a response to a request, and its
// status, or zero if it is not a response.
type head struct {
	Name   string
	Method string
	Header http.Header
	Head   string
	Status int
}

func readHeads(t *testing.T) []head {
	t.Helper()
	data, err := os.ReadFile("testdata/heads.json")
	if err != nil {
		t.Fatal(err)
	}
	var heads []head
	if err := json.Unmarshal(data, &heads); err != nil {
		t.Fatal(err)
	}
	return heads
}

// Guards against bytes being taken for a response that HTTP does not allow.
func TestRead(t *testing.T) {
	for _, tt := range readHeads(t) {
		t.Run(tt.Name, func(t *testing.T) {
			req := &http.Request{Method: cmp.Or(tt.Method, http.MethodPost), Header: tt.Header}
			resp, err := Read(bufio.NewReader(strings.NewReader(tt.Head)), req)
			if err == nil {
				_ = resp.Body.Close()
			}
			switch {
			case tt.Status == 0 && err == nil:
				t.Errorf("status %d, want an error", resp.StatusCode)
			case tt.Status != 0 && (err != nil || resp.StatusCode != tt.Status):
				t.Errorf("error %v, want status %d", err, tt.Status)
			}
		})
	}
}

// Guards against the same in responses that net/http's transport reads. It skips
// informational responses itself and accepts other versions.
func TestTransport(t *testing.T) {
	for _, tt := range readHeads(t) {
		if strings.HasPrefix(tt.Name, "version") {
			continue
		}
		t.Run(tt.Name, func(t *testing.T) {
			address := serveOnce(t, tt.Head)
			next := &http.Transport{}
			defer next.CloseIdleConnections()
			req, err := http.NewRequestWithContext(t.Context(), cmp.Or(tt.Method, http.MethodPost), "http://"+address+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			maps.Copy(req.Header, tt.Header)
			resp, err := Transport{Next: next}.RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			switch {
			case tt.Status == 0 && err == nil:
				t.Errorf("status %d, want an error", resp.StatusCode)
			case tt.Status != 0 && (err != nil || resp.StatusCode != tt.Status):
				t.Errorf("error %v, want status %d", err, tt.Status)
			}
		})
	}
}

// serveOnce answers one request with a text and closes the connection.
func serveOnce(t *testing.T, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}()
	return l.Addr().String()
}

// Guards against a parse error of net/http counting as an invalid response and the reverse.
func TestErrorsAreTold(t *testing.T) {
	read := func(text string) error {
		_, err := Read(bufio.NewReader(strings.NewReader(text)), nil) //nolint:bodyclose // an error has none
		return err
	}
	if err := read("HTTP/1.1 000 \r\n\r\n"); !errors.Is(err, ErrInvalid) {
		t.Errorf("status 000: %v", err)
	}
	if err := read("HTTP/1.1 200"); !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrInvalid) {
		t.Errorf("truncated head: %v", err)
	}
}
