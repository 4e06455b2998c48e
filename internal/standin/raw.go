package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// Raw is an endpoint that answers each request with a text and closes the connection in
// order. It is safe for concurrent use.
type Raw struct {
	listener net.Listener

	mu   sync.Mutex
	text string
}

// NewRaw returns an endpoint that listens on loopback until Close.
func NewRaw() (r *Raw, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r = &Raw{listener: l}
	go r.accept()
	return r, nil
}

// URL returns the endpoint's base URL.
func (r *Raw) URL() string { return "http://" + r.listener.Addr().String() }

// Close ends the endpoint; connections to it are refused from then on.
func (r *Raw) Close() { _ = r.listener.Close() }

// SetText sets the text of the next answers.
func (r *Raw) SetText(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text = text
}

func (r *Raw) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			r.mu.Lock()
			_, _ = io.WriteString(c, r.text)
			r.mu.Unlock()
		}
		_ = c.Close()
	}
}
