package standin

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/platform"
)

// FaultyTransport carries requests to a platform's handler in this process
// and, drawn from a seed, loses requests and replies of writes or delivers a
// write after its sender has given it up. It is safe for concurrent use.
type FaultyTransport struct {
	// Change may change a write's body before it is carried out and its
	// reply's body afterwards, for variants that must be caught; nil changes
	// nothing.
	Change func(body []byte) []byte
	Reply  func(body []byte) []byte

	handler http.Handler
	late    sync.WaitGroup

	mu   sync.Mutex
	rand *rand.Rand
}

// Shares of writes that meet each fault, and how late a late write may be.
const (
	lostRequests = 0.12
	lostReplies  = 0.15
	lateWrites   = 0.08
	latest       = 20 * time.Millisecond
)

// NewFaultyTransport returns a transport to a handler.
func NewFaultyTransport(h http.Handler, seed uint64) *FaultyTransport {
	return &FaultyTransport{handler: h, rand: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // the seed makes it repeatable
}

// RoundTrip carries a request.
func (f *FaultyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	if !platform.IsWrite(req.Method, req.URL.Path) {
		return f.carry(req, body).Result(), nil
	}
	if f.Change != nil {
		body = f.Change(body)
	}
	fault, delay := f.draw()
	switch {
	case fault < lostRequests:
		return nil, errLate
	case fault < lostRequests+lostReplies:
		f.carry(req, body)
		return nil, errLate
	case fault < lostRequests+lostReplies+lateWrites:
		f.late.Go(func() {
			time.Sleep(delay)
			f.carry(req, body)
		})
		return nil, errLate
	}
	return f.carry(req, body).Result(), nil
}

func (f *FaultyTransport) draw() (fault float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Float64(), time.Duration(f.rand.Int64N(int64(latest)))
}

// carry lets the handler serve a request.
func (f *FaultyTransport) carry(req *http.Request, body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, httptest.NewRequest(req.Method, req.URL.Path, bytes.NewReader(body)))
	if f.Reply != nil {
		w.Body = bytes.NewBuffer(f.Reply(w.Body.Bytes()))
	}
	return w
}

// Wait waits until all late writes are delivered.
func (f *FaultyTransport) Wait() { f.late.Wait() }
