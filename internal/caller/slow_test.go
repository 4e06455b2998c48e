package caller_test

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/caller"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/internal/tablesync"
)

// startServer starts a server for callers without endpoints or other daemons,
// with short deadlines.
func startServer(t *testing.T) (address string, s *caller.Server, view *membership.View, viewClock *clockwork.FakeClock) {
	t.Helper()
	clock, metrics := clockwork.NewRealClock(), metric.NewRegistry()
	viewClock = clockwork.NewFakeClock()
	view = membership.NewView(viewClock, membership.Host{ID: "host-1", State: membership.Ready, CallerAddress: "10.0.0.1:7400"})
	view.Observe(membership.Host{ID: "host-2", Incarnation: 1, State: membership.Ready, CallerAddress: "10.0.0.2:7400"})
	keeper := tablesync.NewReplica(clock, metrics)
	s = &caller.Server{
		Logger: slog.New(slog.DiscardHandler), Keeper: keeper, View: view, Metrics: metrics, Attainment: attainment.NewRecorder(clock),
		BodyTimeout: 50 * time.Millisecond, StallTimeout: time.Second, MaxRequests: 1,
	}
	server := caller.NewHTTPServer(s.Handler(), nil)
	server.ReadHeaderTimeout = 50 * time.Millisecond
	data, err := json.Marshal(standin.SampleTable(nil))
	if err != nil {
		t.Fatal(err)
	}
	// The classes of the sample table require pools, which are defined by
	// endpoints only.
	data = []byte(strings.Replace(string(data), `"endpoints":null`, sampleEndpoints, 1))
	if err := keeper.Adopt(1, data); err != nil {
		t.Fatal(err)
	}
	keeper.RecordStoreContact(time.Now())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), s, view, viewClock
}

const sampleEndpoints = `"endpoints":[` +
	`{"name":"e","kind":"engine","pool":"assistant","url":"http://127.0.0.1:1","concurrency":1},` +
	`{"name":"s","kind":"service","pool":"booking","url":"http://127.0.0.1:1","concurrency":1}]`

// A caller sends its headers very slowly. It must be disconnected, so that it
// can't use up the host's connections.
func TestSlowHeadersAreDisconnected(t *testing.T) {
	address, _, _, _ := startServer(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: h\r\nX-Drop:")
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if data, err := io.ReadAll(conn); err != nil || strings.Contains(string(data), "200 OK") {
		t.Errorf("read %q, error %v", data, err)
	}
}

// A caller sends its body very slowly. It is told that the request did not run,
// and the connection is closed.
func TestSlowBodiesAreRefused(t *testing.T) {
	address, _, _, _ := startServer(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer studio-key\r\nContent-Length: 100\r\n\r\n{")
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	c := refusalCase{Status: http.StatusRequestTimeout, Reason: "bodyTimeout", Outcome: "notRun"}
	checkRefusal(t, c, response{status: resp.StatusCode, header: resp.Header, body: string(body)})
	if _, err := r.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
}

// A request with a slow body uses up the host's request limit of one. The next
// request is refused immediately, with the addresses of other hosts and a
// Retry-After header.
func TestOverloadedHostReturnsOtherAddresses(t *testing.T) {
	address, s, _, _ := startServer(t)
	s.BodyTimeout = 10 * time.Second
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer studio-key\r\nContent-Length: 100\r\n\r\n{")
	for s.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	got := exchange(t, address, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer studio-key\r\n\r\n", false, http.MethodGet)
	checkRefusal(t, refusalCase{Status: http.StatusServiceUnavailable, Reason: "overloaded", Outcome: "notRun", RetryAfter: "1"}, got)
	checkAddresses(t, got, "10.0.0.2:7400")
}

// A host that was removed from the list of addresses gets a request from a
// caller with an outdated list. The refusal has the addresses of the other
// hosts, and the connection is closed so that the caller's connection pool does
// not reuse it.
func TestLeavingHostReturnsOtherAddresses(t *testing.T) {
	address, _, view, clock := startServer(t)
	view.UpdateSelf(func(h *membership.Host) { h.State = membership.Leaving })
	early := exchange(t, address, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer studio-key\r\n\r\n", false, http.MethodGet)
	if early.status != http.StatusOK || !early.closed {
		t.Errorf("within the lifetime of the list: status %d, connection closed %v", early.status, early.closed)
	}
	clock.Advance(membership.AddressLifetime)
	got := exchange(t, address, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer studio-key\r\n\r\n", false, http.MethodGet)
	checkRefusal(t, refusalCase{Status: http.StatusServiceUnavailable, Reason: "leaving", Outcome: "notRun", RetryAfter: "1"}, got)
	checkAddresses(t, got, "10.0.0.2:7400")
	if !got.closed {
		t.Error("the connection is kept open")
	}
}

func checkAddresses(t *testing.T, got response, want string) {
	t.Helper()
	var body struct {
		Error struct {
			Addresses []string `json:"addresses"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatal(err)
	}
	if strings.Join(body.Error.Addresses, " ") != want {
		t.Errorf("addresses %q, want %q", body.Error.Addresses, want)
	}
}
