// Package framing detects requests with conflicting body lengths. net/http
// accepts such a request by one of the lengths and parses the bytes that follow
// as the next request, which allows request smuggling.
package framing

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
)

// maxLine bounds the part of a line that is kept for parsing, in bytes. The
// relevant header names and values are short; net/http bounds the size of all
// headers.
const maxLine = 256

// state is the scanner's position within a request.
type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Scanner parses the framing of a stream of HTTP/1.1 requests.
type Scanner struct {
	state state
	line  []byte
	// remaining counts the bytes of the body or chunk that have not been read
	// yet.
	remaining int64
	// started is set once a header line was read, so that an empty line ends
	// the headers. Empty lines before a request are ignored.
	started        bool
	contentLengths int
	length         int64
	chunked        bool
	bad            bool
}

// Conflict reports whether the stream contains a request with conflicting
// lengths or with a length that can't be parsed.
func (s *Scanner) Conflict() bool { return s.bad }

// Scan processes the next bytes of the stream.
func (s *Scanner) Scan(b []byte) {
	for len(b) > 0 && !s.bad {
		switch s.state {
		case inBody, inChunk:
			n := min(int64(len(b)), s.remaining)
			b = b[n:]
			if s.remaining -= n; s.remaining == 0 {
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

// scanLine consumes bytes up to the end of a line, processes the line if it is
// complete, and returns the bytes that follow.
func (s *Scanner) scanLine(b []byte) []byte {
	i := bytes.IndexByte(b, '\n')
	end := i
	if i < 0 {
		end = len(b)
	}
	free := maxLine - len(s.line)
	s.line = append(s.line, b[:min(end, free)]...)
	if i < 0 {
		return nil
	}
	line := strings.TrimSuffix(string(s.line), "\r")
	s.line = s.line[:0]
	s.processLine(line)
	return b[i+1:]
}

func (s *Scanner) processLine(line string) {
	switch s.state {
	case inHead:
		s.headerLine(line)
	case inChunkSize:
		s.chunkSizeLine(line)
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if line == "" {
			s.reset()
		}
	}
}

func (s *Scanner) headerLine(line string) {
	if line == "" {
		if s.started {
			s.endHeaders()
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
		s.bad = s.bad || err != nil || n < 0 || s.contentLengths > 0
		s.contentLengths++
		s.length = n
	case "transfer-encoding":
		s.bad = s.bad || s.chunked
		s.chunked = true
	}
}

func (s *Scanner) endHeaders() {
	switch {
	case s.chunked && s.contentLengths > 0:
		s.bad = true
	case s.chunked:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.remaining = inBody, s.length
	default:
		s.reset()
	}
}

func (s *Scanner) chunkSizeLine(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		s.bad = true
	case n == 0:
		s.state = inTrailer
	default:
		s.state, s.remaining = inChunk, n
	}
}

func (s *Scanner) reset() { *s = Scanner{line: s.line[:0]} }

// Conn is a connection that scans the requests read from it.
type Conn struct {
	net.Conn
	scanner  Scanner
	conflict atomic.Bool
}

// Read reads from the connection and scans what was read.
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

// Conflict reports whether a request with conflicting lengths was read.
func (c *Conn) Conflict() bool { return c.conflict.Load() }

// Listener accepts connections whose requests are scanned.
type Listener struct{ net.Listener }

// Accept waits for the next connection and returns it as a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}
