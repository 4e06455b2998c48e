package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
)

// PathState is the state of the path behind a proxy.
type PathState string

// The states of a path. PathWorks is the zero value.
const (
	PathWorks PathState = ""
	// PathHangs lets neither new nor open connections pass anything on.
	PathHangs PathState = "hangs"
	// PathResets resets new and open connections.
	PathResets PathState = "resets"
	// PathRefuses refuses new connections; open ones live on.
	PathRefuses PathState = "refuses"
	// PathSwallows opens new connections that pass nothing on, which no daemon can
	// tell from a slow endpoint.
	PathSwallows PathState = "swallows"
)

const (
	proxyDialTimeout = 2 * time.Second
	// lossDelay is how long after the loss of their path open connections that hang
	// are reset, as daemons would find themselves on a path of their own.
	lossDelay = 3 * time.Second
)

// Proxy is an HTTP proxy for CONNECT whose path can be broken, for all that connect
// through it.
type Proxy struct {
	listener net.Listener

	mu    sync.Mutex
	state PathState
	// changed is closed when the state changes.
	changed chan struct{}
	pairs   map[*relayed]bool
}

// NewProxy returns a proxy that listens on an address.
func NewProxy(address string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{listener: l, changed: make(chan struct{}), pairs: map[*relayed]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Address returns where to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	for _, one := range p.open() {
		one.reset()
	}
}

// SetState breaks the path or mends it.
func (p *Proxy) SetState(s PathState) {
	p.mu.Lock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	open := p.open()
	switch s {
	case PathResets:
		for _, one := range open {
			one.reset()
		}
	case PathHangs, PathSwallows:
		for _, one := range open {
			one.silence()
		}
		time.AfterFunc(lossDelay, func() {
			for _, one := range open {
				one.reset()
			}
		})
	}
}

func (p *Proxy) open() []*relayed {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*relayed, 0, len(p.pairs))
	for one := range p.pairs {
		all = append(all, one)
	}
	return all
}

func (p *Proxy) current() (PathState, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

// serve opens one connection.
func (p *Proxy) serve(near net.Conn) {
	r := bufio.NewReader(near)
	req, err := http.ReadRequest(r)
	if err != nil || req.Method != http.MethodConnect {
		_ = near.Close()
		return
	}
	pair := &relayed{near: near}
	switch state, changed := p.current(); state {
	case PathHangs:
		// What was sent meanwhile is lost also when the path works again.
		<-changed
		pair.reset()
		return
	case PathResets:
		pair.reset()
		return
	case PathRefuses:
		answerConnect(near, http.StatusBadGateway)
		return
	case PathSwallows:
		pair.silence()
	}
	pair.far, err = net.DialTimeout("tcp", req.Host, proxyDialTimeout)
	switch {
	case endpoint.IsConnectionRefused(err):
		answerConnect(near, http.StatusBadGateway)
		return
	case err != nil:
		answerConnect(near, http.StatusGatewayTimeout)
		return
	}
	if _, err := io.WriteString(near, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		pair.reset()
		return
	}
	p.carry(pair)
}

// answerConnect refuses to open a connection.
func answerConnect(c net.Conn, status int) {
	resp := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1}
	_ = resp.Write(c)
	_ = c.Close()
}

// carry passes both ways until both ends have closed.
func (p *Proxy) carry(pair *relayed) {
	p.mu.Lock()
	p.pairs[pair] = true
	p.mu.Unlock()
	never := func() bool { return false }
	var wg sync.WaitGroup
	wg.Go(func() { pair.copy(pair.far, pair.near, never) })
	wg.Go(func() { pair.copy(pair.near, pair.far, never) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}
