package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
)

// Pool holds one client per peer address, each with its own connections. It is
// safe for concurrent use.
type Pool struct {
	tls     *tls.Config
	wrap    func(*http.Transport)
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[string]*pooledClient
}

// pooledClient is the client of one address with its connections.
type pooledClient struct {
	client    *Client
	transport *http.Transport

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewPool returns an empty pool. If tlsConfig is nil, it uses unencrypted HTTP/2.
// The function wrap may change each transport before it is used.
func NewPool(tlsConfig *tls.Config, wrap func(*http.Transport), options ...connect.ClientOption) *Pool {
	return &Pool{tls: tlsConfig, wrap: wrap, options: options, clients: map[string]*pooledClient{}}
}

// Client returns the client of an address, and creates it on the first use.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := p.clients[address]
	if pc == nil {
		pc = p.newPooledClient(address)
		p.clients[address] = pc
	}
	return pc.client
}

func (p *Pool) newPooledClient(address string) *pooledClient {
	pc := &pooledClient{transport: NewTransport(p.tls.Clone()), conns: map[net.Conn]bool{}}
	p.wrap(pc.transport)
	dial := pc.transport.DialContext
	pc.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return pc.track(c)
	}
	scheme := "http"
	if p.tls != nil {
		scheme = "https"
	}
	pc.client = NewClient(pc.transport, scheme, address, p.options...)
	return pc
}

// UnpooledClient returns a client that is not in the pool, with its own
// connections, and a function that closes them.
func (p *Pool) UnpooledClient(address string) (c *Client, closeConnections func()) {
	pc := p.newPooledClient(address)
	return pc.client, pc.close
}

// CloseConnections closes the connections to an address, even while they are in
// use, and removes its client from the pool. The next client opens new
// connections.
func (p *Pool) CloseConnections(address string) {
	p.mu.Lock()
	pc := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if pc != nil {
		pc.close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	clients := p.clients
	p.clients = map[string]*pooledClient{}
	p.mu.Unlock()
	for _, pc := range clients {
		pc.close()
	}
}

// track records a connection, so that close can close it. It fails if the client is
// closed already.
func (pc *pooledClient) track(c net.Conn) (net.Conn, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	pc.conns[c] = true
	return &trackedConn{Conn: c, owner: pc}, nil
}

func (pc *pooledClient) close() {
	pc.mu.Lock()
	conns := pc.conns
	pc.conns = nil
	pc.closed = true
	pc.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	pc.transport.CloseIdleConnections()
}

// trackedConn is a connection that its client can close.
type trackedConn struct {
	net.Conn
	owner *pooledClient
}

// Close closes the connection and removes it from its client.
func (t *trackedConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.conns, t.Conn)
	t.owner.mu.Unlock()
	return t.Conn.Close()
}
