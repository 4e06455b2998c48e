// Package framing finds requests whose length is given in two ways that
// differ. net/http takes such a request by one of them and goes on with what
// it holds for the next request, which may have been smuggled in.
package framing

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
)

// maxLine bounds the length of a line that is looked at, in bytes. The names
// and values that matter are short; net/http bounds the whole head.
const maxLine = 256

// state is where in a request the scanner stands.
type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Scanner follows a stream of HTTP/1.1 requests.
type Scanner struct {
	state state
	line  []byte
	// left counts the bytes of the body or chunk that are still to come.
	left int64
	// started says that the head has begun, so that an empty line ends it.
	started bool
	lengths int
	length  int64
	chunked bool
	bad     bool
}

// Conflict tells whether a request with conflicting lengths was seen, or one
// whose length can't be read.
func (s *Scanner) Conflict() bool { return s.bad }

// Scan takes in the next bytes of the stream.
func (s *Scanner) Scan(b []byte) {
	for len(b) > 0 && !s.bad {
		switch s.state {
		case inBody, inChunk:
			n := min(int64(len(b)), s.left)
			b = b[n:]
			if s.left -= n; s.left == 0 {
				s.endData()
			}
		default:
			b = s.scanLine(b)
		}
	}
}

func (s *Scanner) endData() {
	if s.state == inChunk {
		s.state = inChunkEnd
		return
	}
	s.reset()
}

// scanLine takes bytes up to the end of a line and handles the line.
func (s *Scanner) scanLine(b []byte) []byte {
	i := bytes.IndexByte(b, '\n')
	end := i
	if i < 0 {
		end = len(b)
	}
	room := maxLine - len(s.line)
	s.line = append(s.line, b[:min(end, room)]...)
	if i < 0 {
		return nil
	}
	line := strings.TrimSuffix(string(s.line), "\r")
	s.line = s.line[:0]
	s.handle(line)
	return b[i+1:]
}

func (s *Scanner) handle(line string) {
	switch s.state {
	case inHead:
		s.head(line)
	case inChunkSize:
		s.chunkSize(line)
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if line == "" {
			s.reset()
		}
	}
}

func (s *Scanner) head(line string) {
	if line == "" {
		if s.started {
			s.endHead()
		}
		return
	}
	s.started = true
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseInt(value, 10, 64)
		s.bad = s.bad || err != nil || n < 0 || s.lengths > 0
		s.lengths++
		s.length = n
	case "transfer-encoding":
		s.bad = s.bad || s.chunked
		s.chunked = true
	}
}

func (s *Scanner) endHead() {
	switch {
	case s.chunked && s.lengths > 0:
		s.bad = true
	case s.chunked:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.left = inBody, s.length
	default:
		s.reset()
	}
}

func (s *Scanner) chunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		s.bad = true
	case n == 0:
		s.state = inTrailer
	default:
		s.state, s.left = inChunk, n
	}
}

func (s *Scanner) reset() { *s = Scanner{line: s.line[:0]} }

// Conn is a connection whose requests are scanned as they are read.
type Conn struct {
	net.Conn
	scanner  Scanner
	conflict atomic.Bool
}

// Read reads and scans.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.conflict.Load() {
		c.scanner.Scan(b[:n])
		if c.scanner.Conflict() {
			c.conflict.Store(true)
		}
	}
	return n, err
}

// Conflict tells whether a request with conflicting lengths was read.
func (c *Conn) Conflict() bool { return c.conflict.Load() }

// Listener scans the requests of the connections that it accepts.
type Listener struct{ net.Listener }

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}
