package standin

import (
	"io"
	"net"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Relay passes TCP connections on to an address. It can make the open ones go
// silent for good while new ones work, as a firewall does that has lost track
// of them: neither end is told, and bytes sent are still acknowledged.
type Relay struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	// ended is set between End and Listen.
	ended  bool
	pairs  map[*relayed]bool
	faults RelayFaults
}

// RelayFaults are the faults of a relay's connections, old and new.
type RelayFaults struct {
	// DelayMs delays each piece of bytes on its way to the target.
	DelayMs int `json:"delayMs"`
	// CutTo swallows what goes to the target, CutFrom what comes from it.
	CutTo   bool `json:"cutTo"`
	CutFrom bool `json:"cutFrom"`
	// Refuse closes new connections at once.
	Refuse bool `json:"refuse"`
	// EndSilentMs, if positive, resets a connection from whose target nothing has come
	// for so long. It holds from the next bytes on.
	EndSilentMs int `json:"endSilentMs"`
}

// SetFaults switches faults.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Relay) current() RelayFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Reset resets the open connections and returns how many there were.
func (r *Relay) Reset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
	}
	return len(r.pairs)
}

// relayed is one connection through a relay.
type relayed struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// smallBuffer is the size in bytes of the kernel's buffers for the connections of stand-ins.
// A peer that does not read then holds up the other one early, also through a relay.
const smallBuffer = 64 << 10

func limitBuffers(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(smallBuffer)
			_ = tcp.SetWriteBuffer(smallBuffer)
		}
	}
}

// reset resets both ends.
func (p *relayed) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// NewRelay returns a relay to a target such as "127.0.0.1:8000".
func NewRelay(target string) (r *Relay, err error) { return NewRelayOn("127.0.0.1:0", target) }

// NewRelayOn returns a relay that listens on an address.
func NewRelayOn(address, target string) (r *Relay, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r = &Relay{address: l.Addr().String(), listener: l, target: target, pairs: map[*relayed]bool{}}
	go r.accept(l)
	return r, nil
}

// NewURLRelay returns a relay to the host of a URL, and the URL through it.
func NewURLRelay(target string) (r *Relay, through string, err error) {
	u, err := url.Parse(target)
	if err != nil {
		return nil, "", errors.Wrap(err, "parse target")
	}
	r, err = NewRelay(u.Host)
	if err != nil {
		return nil, "", err
	}
	u.Host = r.Address()
	return r, u.String(), nil
}

// Address returns where to connect to.
func (r *Relay) Address() string { return r.address }

// End refuses new connections and resets the open ones, as if the target had
// ended, until it listens again.
func (r *Relay) End() {
	r.mu.Lock()
	_ = r.listener.Close()
	r.ended = true
	r.mu.Unlock()
	r.Reset()
}

// Listen listens again after End. It does nothing if the relay listens.
func (r *Relay) Listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		return nil
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	r.listener, r.ended = l, false
	go r.accept(l)
	return nil
}

// Silence makes the open connections pass nothing any more, and returns how
// many there were.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silence()
	}
	return len(r.pairs)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for p := range r.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

func (r *Relay) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		if r.current().Refuse {
			_ = near.Close()
			continue
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		limitBuffers(near, far)
		p := &relayed{near: near, far: far}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		go r.pass(p)
	}
}

// pass copies both ways until both ends have closed.
func (r *Relay) pass(p *relayed) {
	var wg sync.WaitGroup
	wg.Go(func() {
		p.copy(p.far, p.near, func() bool {
			f := r.current()
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
			return f.CutTo
		})
	})
	wg.Go(func() {
		p.bound(r.current().EndSilentMs)
		p.copy(p.near, p.far, func() bool {
			f := r.current()
			p.bound(f.EndSilentMs)
			return f.CutFrom
		})
	})
	wg.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// bound bounds the time until the next bytes from the target, if it is positive.
func (p *relayed) bound(ms int) {
	if ms > 0 {
		_ = p.far.SetReadDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond))
	}
}

// copy passes bytes on, and the end of the connection or its reset, until it is silent;
// then it swallows them.
func (p *relayed) copy(to, from net.Conn, cut func() bool) {
	_, err := io.Copy(writerFunc(func(b []byte) (int, error) {
		if cut() {
			// A connection that has lost bytes never works again.
			p.silence()
		}
		if p.isSilent() {
			return len(b), nil
		}
		return to.Write(b)
	}), from)
	if (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, os.ErrDeadlineExceeded)) && !p.isSilent() {
		// A response that ends with its connection would look complete.
		p.reset()
		return
	}
	_ = from.Close()
	if !p.isSilent() {
		_ = to.Close()
	}
}

func (p *relayed) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *relayed) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// writerFunc is a function as a writer.
type writerFunc func([]byte) (int, error)

// Write calls the function.
func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
