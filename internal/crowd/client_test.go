//go:build crowd

package crowd

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// sendTimeout is how long a client waits until a part of what it sends is taken.
	sendTimeout = 10 * time.Second
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 20 * time.Second
)

// crowd is a number of clients that all do the same.
type crowd struct {
	clients int
	// rounds is how often each client connects.
	rounds int
	// tls is the configuration of the connections; nil if they have no TLS.
	tls *tls.Config
	// play uses a new connection. What it leaves open is kept open until the crowd ends
	// or the daemon closes it.
	play func(c *client)
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	reader *bufio.Reader
	// number counts the connections of the crowd.
	number int
	// ended is closed when the crowd ends.
	ended chan struct{}
}

// send writes to the connection and reports whether all of it was taken.
func (c *client) send(p []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := c.Write(p)
	return err == nil
}

// await reads an answer whole and reports whether the connection can be used again.
func (c *client) await() bool {
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// start starts the crowd. It returns when each client has played its first round; end ends
// the crowd.
func (c crowd) start(t *testing.T, address string) (end func()) {
	t.Helper()
	ended := make(chan struct{})
	var settled, all sync.WaitGroup
	for i := range c.clients {
		settled.Add(1)
		all.Go(func() {
			first := sync.OnceFunc(settled.Done)
			defer first()
			for round := range c.rounds {
				c.connect(address, i*c.rounds+round, ended, first)
				select {
				case <-ended:
					return
				default:
				}
			}
		})
	}
	settled.Wait()
	return sync.OnceFunc(func() {
		close(ended)
		all.Wait()
	})
}

func (c crowd) dial(address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: sendTimeout}
	if c.tls == nil {
		return d.Dial("tcp", address)
	}
	return tls.DialWithDialer(d, "tcp", address, c.tls)
}

// connect plays one round: it calls played when all was sent, and returns when the
// connection is closed.
func (c crowd) connect(address string, number int, ended chan struct{}, played func()) {
	conn, err := c.dial(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	one := &client{Conn: conn, reader: bufio.NewReaderSize(conn, 512), number: number, ended: ended}
	c.play(one)
	played()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = conn.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, one.reader)
	}()
	select {
	case <-closed:
	case <-ended:
		_ = conn.Close()
		<-closed
	}
}
