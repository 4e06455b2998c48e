// Package framing follows the framing of requests: how much of a stream belongs to heads
// and bodies, and whether a request has conflicting body lengths. net/http accepts such a
// request by one of the lengths and parses the bytes that follow as the next request, which
// allows request smuggling.
package framing

import (
	"bytes"
	"strconv"
	"strings"
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

// Usage counts what a stream consists of.
type Usage struct {
	// Lines counts the lines of heads and trailers, Head and Body the bytes. Body includes
	// the framing of chunks.
	Lines, Head, Body int64
	// Requests counts the requests that have come whole.
	Requests int64
}

// Scanner parses the framing of a stream of HTTP/1.1 requests.
type Scanner struct {
	// HeadLimit bounds the head of a request, and its trailers, in bytes; zero means no
	// bound.
	HeadLimit int64

	usage Usage
	// size counts the bytes of the head, or of the trailers, that is being read.
	size     int64
	tooLarge bool
	request
}

// request is the part of a Scanner that begins anew with each request.
type request struct {
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

// HeadTooLarge reports whether a head exceeds HeadLimit, or the trailers of a request do.
func (s *Scanner) HeadTooLarge() bool { return s.tooLarge }

// Usage returns what the stream has consisted of so far.
func (s *Scanner) Usage() Usage { return s.usage }

// IsBetween reports whether nothing of a further request has come.
func (s *Scanner) IsBetween() bool { return s.state == inHead && s.size == 0 }

// IsInHead reports whether part of a head has come, but not all of it.
func (s *Scanner) IsInHead() bool { return s.state == inHead && s.size > 0 }

// Scan processes the next bytes of the stream.
func (s *Scanner) Scan(b []byte) {
	for len(b) > 0 {
		if s.bad {
			// net/http may take the rest for anything, at worst for a head.
			s.countHead(int64(len(b)), int64(bytes.Count(b, []byte{'\n'})))
			return
		}
		switch s.state {
		case inBody, inChunk:
			n := min(int64(len(b)), s.remaining)
			s.usage.Body += n
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
	s.endRequest()
}

// scanLine consumes bytes up to the end of a line, processes the line if it is
// complete, and returns the bytes that follow.
func (s *Scanner) scanLine(b []byte) []byte {
	i := bytes.IndexByte(b, '\n')
	end := i
	if i < 0 {
		end = len(b)
	}
	s.countLine(int64(min(end+1, len(b))), i >= 0)
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

// countLine counts n bytes of a line.
func (s *Scanner) countLine(n int64, whole bool) {
	switch {
	case s.state != inHead && s.state != inTrailer:
		s.usage.Body += n
	case whole:
		s.countHead(n, 1)
	default:
		s.countHead(n, 0)
	}
}

func (s *Scanner) countHead(n, lines int64) {
	s.usage.Head += n
	s.usage.Lines += lines
	s.size += n
	if s.HeadLimit > 0 && s.size > s.HeadLimit {
		s.tooLarge = true
	}
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
			s.endRequest()
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
		s.endRequest()
	}
}

func (s *Scanner) chunkSizeLine(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		s.bad = true
	case n == 0:
		s.state, s.size = inTrailer, 0
	default:
		s.state, s.remaining = inChunk, n
	}
}

func (s *Scanner) endRequest() {
	s.request = request{line: s.line[:0]}
	s.size = 0
	s.usage.Requests++
}
