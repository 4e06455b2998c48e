package tunnel

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// Data from the endpoint travels in frames: two bytes with the length, then that
// many bytes. An empty frame follows when the endpoint has closed its connection
// in order. Without it, the end of the tunnel does not look like the end of a
// response that has no length.
const (
	frameHeaderSize = 2
	maxFrame        = 8 << 10
)

// errNotSyscallConn means that the connection has no file descriptor.
var errNotSyscallConn = errors.New("not a system connection")

// Conn is a connection to an endpoint through another daemon.
type Conn struct {
	net.Conn
	// via is the peer address of the other daemon.
	via string

	header [frameHeaderSize]byte
	// headerRead is the number of bytes of the header that were read, remaining
	// the number of bytes of the frame that were not.
	headerRead, remaining int
	ended                 bool
}

// Via returns the peer address of the daemon that carries the connection.
func (c *Conn) Via() string { return c.via }

// Read reads data of the endpoint.
func (c *Conn) Read(p []byte) (n int, err error) {
	if err := c.nextFrame(); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, unexpectedEOF(err)
}

// nextFrame reads the header of the next frame if the current one has ended.
func (c *Conn) nextFrame() error {
	for c.remaining == 0 && !c.ended {
		n, err := c.Conn.Read(c.header[c.headerRead:])
		if c.headerRead += n; c.headerRead < frameHeaderSize {
			if err != nil {
				return unexpectedEOF(err)
			}
			continue
		}
		c.headerRead = 0
		c.remaining = int(binary.BigEndian.Uint16(c.header[:]))
		c.ended = c.remaining == 0
	}
	if c.ended {
		return io.EOF
	}
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SetKeepAlive switches probes of the connection to the other daemon.
func (c *Conn) SetKeepAlive(enabled bool) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetKeepAlive(enabled)
	}
	return nil
}

// SetKeepAliveConfig configures these probes.
func (c *Conn) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetKeepAliveConfig(config)
	}
	return nil
}

// SyscallConn returns the raw connection to the other daemon.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotSyscallConn
	}
	return sc.SyscallConn()
}

// writeFrame sends the data that follows the room for the header in buf.
func writeFrame(w io.Writer, buf []byte) error {
	binary.BigEndian.PutUint16(buf, uint16(len(buf)-frameHeaderSize))
	_, err := w.Write(buf)
	return err
}
