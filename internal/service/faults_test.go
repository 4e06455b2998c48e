package service_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// refuseDial means that no connection can be opened.
	refuseDial standin.BreakPoint = "refuseDial"
	// nobodyListens has a port that no test can have been assigned.
	nobodyListens = "http://127.0.0.1:1"
)

type faultCases struct {
	Requests []faultRequest `json:"requests"`
	Points   []faultPoint   `json:"points"`
}

type faultRequest struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Body   string `json:"body"`
	Key    string `json:"key"`
}

type faultPoint struct {
	Point standin.BreakPoint `json:"point"`
	// Error is empty if the response is complete.
	Error      string `json:"error"`
	Executions int    `json:"executions"`
	// Status is 200 if zero.
	Status int `json:"status"`
}

// A request is sent, and the connection to the service fails at some point of
// the exchange. The caller may be told "not run" only if the service received
// no byte of the request. The service must not execute the request twice, even
// where net/http would repeat it by itself after a reused connection is lost:
// requests that look idempotent or carry an Idempotency-Key.
func TestEveryPointOfFailure(t *testing.T) {
	for _, warm := range []bool{false, true} {
		for _, idempotent := range []bool{false, true} {
			for _, r := range readFaults(t).Requests {
				for _, p := range readFaults(t).Points {
					t.Run(fmt.Sprintf("%s/%s/warm=%t/idempotent=%t", r.Name, p.Point, warm, idempotent), func(t *testing.T) {
						t.Parallel()
						testFault(t, r, p, warm, idempotent)
					})
				}
			}
		}
	}
}

// silenceTimeout is the deadline for a service that stops responding. On a
// loaded machine, it takes a few hundred milliseconds until the response that
// then stops has begun.
const silenceTimeout = time.Second

func readFaults(t *testing.T) faultCases {
	t.Helper()
	data, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		t.Fatal(err)
	}
	var f faultCases
	if err := json.Unmarshal(data, &f); err != nil {
		t.Fatal(err)
	}
	return f
}

func testFault(t *testing.T, r faultRequest, p faultPoint, warm, idempotent bool) {
	b := startFaultyService(t)
	client := service.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	e := &table.Endpoint{URL: b.URL(), EchoesID: true}
	before := 0
	if warm {
		if _, err := client.Do(t.Context(), e, service.Request{ID: "warm", Method: http.MethodGet, Path: "/", Idempotent: true, Timeout: time.Minute}); err != nil {
			t.Fatal(err)
		}
		before = 1
	}
	if p.Point == refuseDial {
		e.URL = nobodyListens
	} else {
		b.SetPoint(p.Point)
	}
	req := request(r, p)
	req.Idempotent = idempotent
	resp, err := client.Do(t.Context(), e, req)
	if got := errorName(err); got != p.Error {
		t.Errorf("error %q (%v), want %q", got, err, p.Error)
	}
	if err == nil && resp.Status != p.status() {
		t.Errorf("status %d, want %d", resp.Status, p.status())
	}
	want := p.Executions
	if warm && idempotent && r.pooled() && p.Error == "unknown" && p.Point != standin.SilentAfterBody {
		// Repeated on a new connection, which is allowed for idempotent
		// requests. Silence is no reason for that here.
		want *= 2
	}
	if n, _ := b.Counts(); n-before != want {
		t.Errorf("executed %d times, want %d", n-before, want)
	}
}

// pooled reports whether an idempotent request may use a pooled connection.
func (r faultRequest) pooled() bool {
	return r.Body != "" || r.Method != http.MethodPost && r.Method != http.MethodPut
}

func (p faultPoint) status() int {
	if p.Status == 0 {
		return http.StatusOK
	}
	return p.Status
}

// request returns the request with deadlines that only an unresponsive endpoint
// exceeds.
func request(r faultRequest, p faultPoint) service.Request {
	req := service.Request{ID: "r-1", Method: r.Method, Path: "/slots?day=1", Header: http.Header{}, Body: []byte(r.Body), Timeout: time.Minute}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	switch p.Point {
	case standin.SilentAfterBody, standin.SilentMidAnswer:
		req.Timeout = silenceTimeout
	}
	return req
}

func errorName(err error) string {
	for name, known := range map[string]error{
		"notSent": service.ErrNotSent, "unknown": service.ErrNoResponse,
		"truncated": service.ErrTruncated, "wrongAnswer": service.ErrWrongResponse,
	} {
		if errors.Is(err, known) {
			return name
		}
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func startFaultyService(t *testing.T) *standin.Breaking {
	t.Helper()
	b, err := standin.NewBreaking(`{"slots":["09:00","10:30"]}`, "application/json")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// A second response to an earlier request is still unread on a connection when
// the next caller's request is sent on it. The next caller must get its own
// response or an error, never the other response.
func TestLateResponseIsNotDelivered(t *testing.T) {
	b := startFaultyService(t)
	client := service.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	e := &table.Endpoint{URL: b.URL(), EchoesID: true}
	b.SetPoint(standin.SecondAnswer)
	for i := range 50 {
		id := fmt.Sprintf("r-%d", i)
		resp, err := client.Do(t.Context(), e, service.Request{ID: id, Method: http.MethodGet, Path: "/", Idempotent: true, Timeout: time.Minute})
		if err == nil && resp.Header.Get("X-Request-Id") != id {
			t.Fatalf("request %s got the response to %s", id, resp.Header.Get("X-Request-Id"))
		}
	}
}

// A caller disconnects while it receives a response. The connection to the
// service must not be reused for the next caller, who would read the rest of
// the first response.
func TestCallerDisconnectsMidResponse(t *testing.T) {
	b := startFaultyService(t)
	client := service.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	e := &table.Endpoint{URL: b.URL(), EchoesID: true}
	b.SetPoint(standin.SilentMidAnswer)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := client.Do(ctx, e, service.Request{ID: "gone", Method: http.MethodGet, Path: "/", Idempotent: true, Timeout: time.Minute})
		ended <- err
	}()
	for n := 0; n == 0; n, _ = b.Counts() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("the disconnected caller got a response")
	}
	b.SetPoint(standin.BreakNowhere)
	resp, err := client.Do(t.Context(), e, service.Request{ID: "next", Method: http.MethodGet, Path: "/", Idempotent: true, Timeout: time.Minute})
	if err != nil || string(resp.Body) != b.Answer {
		t.Errorf("next caller: %v, %v", resp, err)
	}
	if _, connections := b.Counts(); connections != 2 {
		t.Errorf("%d connections, want a new one for the next caller", connections)
	}
}
