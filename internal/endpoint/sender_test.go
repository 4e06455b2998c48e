package endpoint_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/standin"
)

func newBreaking(t *testing.T) *standin.Breaking {
	t.Helper()
	b, err := standin.NewBreaking("whole answer", "text/plain")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func send(ctx context.Context, s *endpoint.Sender, url string) error {
	a, err := s.Send(ctx, endpoint.Request{Method: http.MethodGet, URL: url, Header: http.Header{}, Pooled: true})
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// Shows that the fault which Sender prevents can be provoked, so that the tests
// for it are meaningful: net/http repeats a request with an Idempotency-Key
// over a new connection when its reused connection drops before the response,
// and the request is executed twice.
func TestPlainClientRepeats(t *testing.T) {
	b := newBreaking(t)
	client := &http.Client{Transport: endpoint.NewTransport()}
	post := func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.URL(), strings.NewReader("booking"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "b-1")
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	post()
	b.SetPoint(standin.BreakAfterBody)
	post()
	if n, _ := b.Counts(); n != 3 {
		t.Errorf("executed %d times, want 3: the fault was not provoked", n)
	}
}

// Guards against waiting for the same deadline on one stalled connection after
// the other when the network has lost track of all open connections to an
// endpoint. Of a request that stalls, the idle connections are closed, and the
// request itself goes on.
func TestIdleConnectionsToASilentEndpointAreReplaced(t *testing.T) {
	b := newBreaking(t)
	sender := endpoint.NewSender(endpoint.NewTransport())
	b.SetPoint(standin.SilentAfterBody)
	// Open two connections at once: the second request can't use the first
	// one's connection, which is busy.
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- send(ctx, sender, b.URL()) }()
	for n := 0; n == 0; n, _ = b.Counts() {
		time.Sleep(time.Millisecond)
	}
	b.SetPoint(standin.BreakNowhere)
	if err := send(t.Context(), sender, b.URL()); err != nil {
		t.Fatal(err)
	}
	sender.CloseIdle(b.URL())
	if err := send(t.Context(), sender, b.URL()); err != nil {
		t.Fatal(err)
	}
	if _, connections := b.Counts(); connections != 3 {
		t.Errorf("%d connections, want 3 with the idle one replaced", connections)
	}
	select {
	case err := <-ended:
		t.Errorf("the stalled request ended: %v", err)
	default:
	}
	cancel()
	if err := <-ended; err == nil || errors.Is(err, endpoint.ErrNotSent) {
		t.Errorf("stalled request: %v", err)
	}
}

// Guards against closing the idle connections to an endpoint because a caller
// has disconnected.
func TestCallerGoneKeepsIdleConnections(t *testing.T) {
	b := newBreaking(t)
	sender := endpoint.NewSender(endpoint.NewTransport())
	b.SetPoint(standin.SilentAfterBody)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- send(ctx, sender, b.URL()) }()
	for n := 0; n == 0; n, _ = b.Counts() {
		time.Sleep(time.Millisecond)
	}
	b.SetPoint(standin.BreakNowhere)
	if err := send(t.Context(), sender, b.URL()); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("the caller that disconnected got an answer")
	}
	if err := send(t.Context(), sender, b.URL()); err != nil {
		t.Fatal(err)
	}
	if _, connections := b.Counts(); connections != 2 {
		t.Errorf("%d connections, want 2 with the idle one kept", connections)
	}
}
