package engine_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// refuseDial means that no connection can be opened.
	refuseDial standin.BreakPoint = "refuseDial"
	// nobodyListens has a port that no test can have been assigned.
	nobodyListens = "http://127.0.0.1:1"

	completeStream = "data: {\"choices\":[{\"delta\":{\"content\":\"booth one is free\"}}]}\n\n" +
		"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
)

type faultPoint struct {
	Point standin.BreakPoint `json:"point"`
	// Error is empty if the response is complete.
	Error string `json:"error"`
	// ErrorReused is the error on a connection that has carried a chat before, if it is
	// another one: a refusal that names no request may be to that chat.
	ErrorReused string `json:"errorReused"`
	Executions  int    `json:"executions"`
}

// A chat request is sent to an engine, and the exchange fails at some point.
// The router may report "not run" only if the engine received no byte of the
// request, must not let net/http repeat it, and must not treat a stream without
// its end marker as complete.
func TestEveryPointOfFailure(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		t.Fatal(err)
	}
	var points []faultPoint
	if err := json.Unmarshal(data, &points); err != nil {
		t.Fatal(err)
	}
	for _, reused := range []bool{false, true} {
		for _, p := range points {
			t.Run(fmt.Sprintf("%s/reused=%t", p.Point, reused), func(t *testing.T) {
				t.Parallel()
				testFault(t, p, reused)
			})
		}
	}
}

func testFault(t *testing.T, p faultPoint, reused bool) {
	b, err := standin.NewBreaking(completeStream, "text/event-stream")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	client := engine.NewClient(endpoint.NewSender(endpoint.NewTransport()))
	e := &table.Endpoint{URL: b.URL(), EchoesID: true}
	before := 0
	if reused {
		if err := chat(t, client, e, "warm", ""); err != nil {
			t.Fatal(err)
		}
		before = 1
	}
	if p.Point == refuseDial {
		e.URL = nobodyListens
	} else {
		b.SetPoint(p.Point)
	}
	err = chat(t, client, e, "r-1", p.Point)
	want := p.Error
	if reused {
		want = cmp.Or(p.ErrorReused, p.Error)
	}
	if got := errorName(err); got != want {
		t.Errorf("error %q (%v), want %q", got, err, want)
	}
	if n, _ := b.Counts(); n-before != p.Executions {
		t.Errorf("executed %d times, want %d", n-before, p.Executions)
	}
}

// silenceTimeout is how long an engine that stops responding is waited for.
const silenceTimeout = time.Second

// chat runs a chat request to its end. Silence doesn't end it, so that with an
// engine that stops responding it runs until its context ends.
func chat(t *testing.T, client *engine.Client, e *table.Endpoint, id string, point standin.BreakPoint) error {
	r := engine.Request{ID: id, Body: []byte(`{"messages":[{"role":"user","content":"which booth?"}]}`)}
	ctx := t.Context()
	if point == standin.SilentAfterBody || point == standin.SilentMidAnswer {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, silenceTimeout)
		defer cancel()
		defer func() {
			if ctx.Err() == nil {
				t.Error("silence has ended the exchange")
			}
		}()
	}
	s, err := client.Chat(ctx, e, r)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

func errorName(err error) string {
	if err == nil {
		return ""
	}
	for name, known := range map[string]error{
		"notSent": engine.ErrNotSent, "refused": engine.ErrRefused,
		"truncated": engine.ErrTruncated, "wrongAnswer": engine.ErrWrongResponse, "unattributed": engine.ErrUnattributed,
	} {
		if errors.Is(err, known) {
			return name
		}
	}
	return "unknown"
}

// Consecutive chats reuse the engine's connection. The end marker is not the
// end of the response body, and a connection with unread bytes could not be
// reused.
func TestCompleteResponsesReuseConnection(t *testing.T) {
	b, err := standin.NewBreaking(completeStream, "text/event-stream")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	transport := endpoint.NewTransport()
	// With one connection per host, each request waits until the connection is
	// returned to the pool.
	transport.MaxConnsPerHost = 1
	client := engine.NewClient(endpoint.NewSender(transport))
	e := &table.Endpoint{URL: b.URL(), EchoesID: true}
	for i := range 20 {
		if err := chat(t, client, e, fmt.Sprintf("r-%d", i), ""); err != nil {
			t.Fatal(err)
		}
	}
	if _, connections := b.Counts(); connections != 1 {
		t.Errorf("%d connections for consecutive chats, want 1", connections)
	}
}
