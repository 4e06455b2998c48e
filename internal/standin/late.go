package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/platform"
)

// errLate is the error that the sender of a held write receives.
var errLate = errors.New("the connection broke")

// LateTransport holds writes to the platform back: their sender sees a broken
// connection, and they take effect only when they are delivered. It is safe
// for concurrent use.
type LateTransport struct {
	Next http.RoundTripper

	mu   sync.Mutex
	pass int
	hold int
	held []*http.Request
}

// Hold holds the next n writes, after those that pass.
func (l *LateTransport) Hold(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = n
}

// Pass lets the next n writes pass.
func (l *LateTransport) Pass(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pass = n
}

// RoundTrip sends the request or holds it.
func (l *LateTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if platform.IsWrite(req.Method, req.URL.Path) && l.holds() {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		late := req.Clone(context.WithoutCancel(req.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		l.mu.Lock()
		l.held = append(l.held, late)
		l.mu.Unlock()
		return nil, errLate
	}
	return l.Next.RoundTrip(req)
}

func (l *LateTransport) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pass > 0 {
		l.pass--
		return false
	}
	if l.hold > 0 {
		l.hold--
		return true
	}
	return false
}

// Deliver sends the held writes in their order. Nobody reads their replies.
func (l *LateTransport) Deliver() {
	l.mu.Lock()
	held := l.held
	l.held = nil
	l.mu.Unlock()
	for _, req := range held {
		if resp, err := l.Next.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}
