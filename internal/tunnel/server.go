// Package tunnel carries connections to endpoints through another daemon, for
// daemons that have lost their own path to them. A tunnel is opened with the
// method CONNECT (RFC 9110, section 9.3.6) and has one hop.
package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/internal/http1"
)

const (
	// maxOpen bounds the tunnels through one daemon, each of which takes two
	// descriptors and two buffers.
	maxOpen = 512
	// serverDialTimeout bounds opening a connection for another daemon. It ends
	// before http1.DialTimeout does there, so that the result arrives.
	serverDialTimeout = 150 * time.Millisecond
	// drainTimeout is how long a tunnel stays open for the daemon that uses it
	// after the endpoint has closed its connection.
	drainTimeout = time.Second
)

// Server serves the tunnels of other daemons. All exported fields must be set
// before use. It is safe for concurrent use.
type Server struct {
	// Dial opens a connection to an address directly.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IsEndpoint reports whether an address is that of a known endpoint.
	IsEndpoint func(address string) bool
	// ReachesOther reports whether an endpoint at another address can be reached
	// directly.
	ReachesOther func(ctx context.Context, address string) bool
	// HasPath reports whether this daemon reaches endpoints itself.
	HasPath func() bool
	// OnHead is called with the first bytes of each response of an endpoint: the
	// endpoint has spoken to this daemon too.
	OnHead func(address string, head []byte)
	// Count increments a counter.
	Count func(name string)

	open atomic.Int64
}

// Open returns the number of open tunnels.
func (s *Server) Open() int { return int(s.open.Load()) }

// Wrap returns a handler that serves tunnels and passes other requests on.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
}

// serve opens a tunnel. Status 403 means that the address is not that of an
// endpoint, 503 that this daemon takes no tunnels at the moment, or may have lost its
// path, 502 that the endpoint's machine refused the connection, and 504 that it was not
// reached.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	defer s.open.Add(-1)
	switch {
	case s.open.Add(1) > maxOpen || !s.HasPath():
		s.refuse(w, http.StatusServiceUnavailable)
		return
	case !s.IsEndpoint(r.Host):
		s.refuse(w, http.StatusForbidden)
		return
	}
	remote, err := s.dial(r.Context(), r.Host)
	switch {
	case errors.Is(err, errPathLost):
		s.refuse(w, http.StatusServiceUnavailable)
		return
	case endpoint.IsConnectionRefused(err):
		s.refuse(w, http.StatusBadGateway)
		return
	case err != nil:
		s.refuse(w, http.StatusGatewayTimeout)
		return
	}
	defer func() { _ = remote.Close() }()
	local, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = local.Close() }()
	_ = local.SetDeadline(time.Time{})
	_ = http1.DetectLoss(local)
	if _, err := io.WriteString(local, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	s.Count("tunnels.served")
	s.carry(local, remote, r.Host)
}

// dial opens a connection directly. A refused one is of no use to the other daemon if
// it is the path that refuses.
func (s *Server) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, serverDialTimeout)
	defer cancel()
	c, err := s.Dial(ctx, address)
	if endpoint.IsConnectionRefused(err) && !s.ReachesOther(ctx, address) {
		return nil, errPathLost
	}
	return c, err
}

func (s *Server) refuse(w http.ResponseWriter, status int) {
	s.Count("tunnels.refused")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// carry copies data in both directions until either side has ended. While one side
// reads nothing, the other one is kept.
func (s *Server) carry(local, remote net.Conn, address string) {
	defer http1.WatchLoss(local)()
	defer http1.WatchLoss(remote)()
	var requested atomic.Bool
	up := make(chan struct{})
	go func() {
		defer close(up)
		// The daemon that uses the tunnel ends a request by closing it.
		defer func() { _ = remote.Close() }()
		copyRaw(remote, local, &requested)
	}()
	onData := func(data []byte) {
		if requested.Swap(false) {
			s.OnHead(address, data)
		}
	}
	if err := copyFrames(local, remote, onData); err != nil {
		reset(local)
		return
	}
	if c, ok := local.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	_ = local.SetReadDeadline(time.Now().Add(drainTimeout))
	<-up
}

// copyRaw copies until a read fails, and sets requested before it writes. Data that can't be written is read all the
// same, since closing a connection with unread data would reset it.
func copyRaw(to io.Writer, from io.Reader, requested *atomic.Bool) {
	buf := make([]byte, maxFrame)
	var failed error
	for {
		n, err := from.Read(buf)
		if n > 0 && failed == nil {
			requested.Store(true)
			_, failed = to.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// copyFrames copies data as frames. It returns nil if the data ended in order and
// the end was sent.
func copyFrames(to io.Writer, from net.Conn, onData func([]byte)) error {
	buf := make([]byte, frameHeaderSize+maxFrame)
	for {
		n, err := from.Read(buf[frameHeaderSize:])
		err = endpoint.EndError(from, err)
		if n > 0 {
			onData(buf[frameHeaderSize : frameHeaderSize+n])
			if err := writeFrame(to, buf[:frameHeaderSize+n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return writeFrame(to, buf[:frameHeaderSize])
		case err != nil:
			return err
		}
	}
}

// reset makes the connection end with a reset when it is closed.
func reset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
}
