package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/catalog"
	"github.com/beechhead/beechhead/internal/outcome"
)

// keptEndpoint is an endpoint that serves several requests on a connection.
type keptEndpoint struct {
	// answers are the responses to the requests of each connection, in order; {id} stands
	// for the id of the request, {pause} for keptPause.
	answers []string
	// closes makes the endpoint close a connection after the last response.
	closes bool

	// later, if set, are those of all connections but the first.
	later []string

	mu       sync.Mutex
	opened   int
	received []string
	// refuses reports whether the first request of each connection is refused.
	refuses bool
}

// refuseNew makes the endpoint refuse the first request of each further connection.
func (e *keptEndpoint) refuseNew() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuses = true
}

// answerWith sets the responses to the requests of further connections.
func (e *keptEndpoint) answerWith(answers ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers = answers
}

// listenKept starts an endpoint whose slots are granted after those of the ones before.
func (s *site) listenKept(t *testing.T, answers ...string) *keptEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &keptEndpoint{answers: answers}
	s.urls = append(s.urls, "http://"+l.Addr().String())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *keptEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	e.mu.Lock()
	answers := e.answers
	if e.opened++; e.opened > 1 && e.later != nil {
		answers = e.later
	}
	if e.refuses {
		answers = []string{strayRefusal}
	}
	e.mu.Unlock()
	for _, answer := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		e.mu.Lock()
		e.received = append(e.received, id)
		e.mu.Unlock()
		for part := range strings.SplitSeq(strings.ReplaceAll(answer, "{id}", id), "{pause}") {
			_, _ = io.WriteString(c, part)
			time.Sleep(keptPause)
		}
	}
	if !e.closes {
		_, _ = r.ReadByte()
	}
}

// hasReceived reports whether the endpoint has received a request.
func (e *keptEndpoint) hasReceived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.received {
		if one == id {
			return true
		}
	}
	return false
}

// keptPause is longer than the rest of a response is awaited of which a part has come.
const keptPause = 50 * time.Millisecond

const (
	namedRefusal = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	keptSuccess  = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood"
	keptStream   = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: 1\r\nContent-Length: 16\r\n\r\nid: 1\ndata: ok\n\n"
	strayRefusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	straySuccess = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwrong"
	strayFailure = "HTTP/1.1 500 Failed\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwrong"
	strayMissing = "HTTP/1.1 404 Missing\r\nContent-Length: 5\r\n\r\nwrong"
)

// Guards against a response that names no request being taken for the answer to the
// request that waits, on a connection that has carried another one.
func TestResponsesWithoutRequestIDOnUsedConnections(t *testing.T) {
	for _, tt := range []struct {
		name string
		kind catalog.Kind
		// second follows the second request on a connection.
		second string
		// want is the body that its caller receives, or the outcome.
		want string
	}{
		{"refusal before the response", catalog.Unsafe, strayRefusal + keptSuccess, "good"},
		{"429 before the response", catalog.Unsafe, strings.Replace(strayRefusal, "503", "429", 1) + keptSuccess, "good"},
		{"421 before the response", catalog.Unsafe, strings.Replace(strayRefusal, "503", "421", 1) + keptSuccess, "good"},
		{"two refusals before the response", catalog.Unsafe, strayRefusal + strayRefusal + keptSuccess, "good"},
		{"success before the response", catalog.Unsafe, straySuccess + keptSuccess, "good"},
		{"failure before the response", catalog.Unsafe, strayFailure + keptSuccess, "good"},
		{"404 before the response", catalog.Unsafe, strayMissing + keptSuccess, "good"},
		{"refusal before a stream", catalog.Stream, strayRefusal + keptStream, "id: 1\ndata: ok\n\n"},
		{"refusal only", catalog.Unsafe, strayRefusal, "unknown"},
		{"refusal that ends the connection", catalog.Unsafe, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "unknown"},
		{"refusal before the response to a safe request", catalog.Safe, strayRefusal + keptSuccess, "good"},
		{"success before the response to a safe request", catalog.Safe, straySuccess + keptSuccess, "good"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &site{}
			first := keptSuccess
			if tt.kind == catalog.Stream {
				first = keptStream
			}
			used := s.listenKept(t, first, tt.second)
			other := s.listenKept(t, first)
			f := newTestForwarder(s)
			f.Protocol.NamedID = namedByID
			f.Budget = budgetOf(1)
			if got := sendKept(t, f, "1", tt.kind); !strings.Contains(first, got) {
				t.Fatalf("the first caller received %q", got)
			}
			s.mu.Lock()
			s.next = 0
			s.mu.Unlock()
			if got := sendKept(t, f, "2", tt.kind); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			if !used.hasReceived("2") {
				t.Error("the connection was not used again")
			}
			if tt.kind != catalog.Safe && other.hasReceived("2") {
				t.Error("the request was sent to a second endpoint")
			}
		})
	}
}

// Guards against a response without a request id that loses its body, or gives way to one of
// another request, when more comes with it on a new connection.
func TestFollowedResponsesOnNewConnections(t *testing.T) {
	const unnamed = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood"
	for name, tt := range map[string]struct{ answer, want string }{
		"a refusal follows":                          {unnamed + strayRefusal, "good"},
		"a success follows":                          {unnamed + straySuccess, "good"},
		"a response to another request follows":      {unnamed + strings.Replace(straySuccess, "Signed", "Id: else\r\nSigned", 1), "good"},
		"bytes that are no response follow":          {unnamed + "HTTP", "good"},
		"the response with the id follows":           {straySuccess + keptSuccess, "good"},
		"the response with the id follows a refusal": {strayRefusal + keptSuccess, "good"},
		"a refusal follows a refusal":                {strayRefusal + strayRefusal, "notRun"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &site{}
			s.listenKept(t, tt.answer)
			f := newTestForwarder(s)
			f.Protocol.NamedID = namedByID
			if got := sendKept(t, f, "1", catalog.Unsafe); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against unsafe requests that end with an unknown outcome while endpoints refuse
// without a request id: after the first refusal the next one proves that it was not run.
func TestRefusedUnsafeRequestsAreSentElsewhere(t *testing.T) {
	s := &site{}
	refuses := s.listenKept(t, keptSuccess, strayRefusal)
	s.listenKept(t, keptSuccess, keptSuccess)
	f := newTestForwarder(s)
	f.Protocol.NamedID = namedByID
	f.Budget = budgetOf(1)
	for _, tt := range []struct{ id, want string }{{"1", "good"}, {"2", "unknown"}, {"3", "good"}} {
		if tt.id == "3" {
			refuses.refuseNew()
		}
		s.mu.Lock()
		s.next = 0
		s.mu.Unlock()
		if got := sendKept(t, f, tt.id, catalog.Unsafe); got != tt.want {
			t.Errorf("request %s: %q, want %q", tt.id, got, tt.want)
		}
	}
	if !refuses.hasReceived("3") {
		t.Error("the endpoint that refuses has not received the last request")
	}
}

// Guards against a refusal that names no request and is believed on a connection that has
// carried nothing, though the endpoints name the requests that they refuse: the request runs
// twice, or its caller is told that it was not run.
func TestUnnamedRefusalsOfEndpointsThatNameThem(t *testing.T) {
	const misdirected = "HTTP/1.1 421 Other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, tt := range []struct {
		name, first, second, want string
		kind                      catalog.Kind
	}{
		{"before the response", namedRefusal, strayRefusal + "{pause}" + keptSuccess, "good", catalog.Unsafe},
		{"before the stream", namedRefusal, strayRefusal + "{pause}" + keptStream, "id: 1\ndata: ok\n\n", catalog.Stream},
		{"alone", namedRefusal, strayRefusal, "unknown", catalog.Unsafe},
		{"of a safe request", namedRefusal, strayRefusal, "elsewhere", catalog.Safe},
		{"of another process", namedRefusal, misdirected, "elsewhere", catalog.Unsafe},
		{"of endpoints that never name them", strayRefusal, strayRefusal, "elsewhere", catalog.Unsafe},
		{"named", namedRefusal, namedRefusal, "elsewhere", catalog.Unsafe},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &site{}
			refuses := s.listenKept(t, tt.first)
			elsewhere := s.listenKept(t, strings.Replace(keptSuccess, "4\r\n\r\ngood", "9\r\n\r\nelsewhere", 1))
			f := newTestForwarder(s)
			f.Protocol.NamedID = namedByID
			f.Budget = budgetOf(1)
			if got := sendKept(t, f, "1", catalog.Unsafe); got != "elsewhere" {
				t.Fatalf("the first caller received %q", got)
			}
			f.Pool.CloseIdleIf(func(string) bool { return true })
			refuses.answerWith(tt.second)
			s.mu.Lock()
			s.next = 0
			s.mu.Unlock()
			if got := sendKept(t, f, "2", tt.kind); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			if elsewhere.hasReceived("2") != (tt.want == "elsewhere") {
				t.Errorf("sent to another endpoint: %v", elsewhere.hasReceived("2"))
			}
		})
	}
}

// sendKept sends a request and returns the body that its caller receives, or the outcome.
func sendKept(t *testing.T, f *Forwarder, id string, kind catalog.Kind) string {
	t.Helper()
	r := unsafeRequest(id)
	if r.Kind = kind; kind == catalog.Safe {
		r.Attempts = 2
	}
	var body strings.Builder
	err := f.Do(t.Context(), r, Sink{
		Head: func(int, http.Header, int64) {},
		Body: func(p []byte) error { body.Write(p); return nil },
	})
	switch {
	case err == nil:
		return body.String()
	case errors.Is(err, ErrTruncated):
		return "broken " + body.String()
	}
	return string(outcome.FromError(err).Outcome)
}
